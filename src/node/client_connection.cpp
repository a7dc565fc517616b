/**
 * @file client_connection.cpp
 * All connections read through one shared buffer, so idle connections need no
 * buffer memory.
 */
#include "node/client_connection.h"

#include "node/node_clock.h"
#include "node/socket_options.h"

#include <array>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>

namespace waxwing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t ReadBufferSize = 65536;
/// Effectively unlimited: responses of upstreams may have any length.
constexpr std::uint64_t MaxResponseBytes = 1ULL << 40;
constexpr std::uint32_t MaxResponseHeaderBytes = 65536;
/// Larger requests may not fit into the peer's receive window.
constexpr std::size_t LargeRequestBytes = 16384;
/// Limit on the bytes of an incomplete element, such as a chunk's header.
constexpr std::size_t MaxUnparsedBytes = 2UL * MaxResponseHeaderBytes;

std::array<char, ReadBufferSize> &readBuffer() {
  static std::array<char, ReadBufferSize> buffer;
  return buffer;
}

} // namespace

ClientConnection::ClientConnection(asio::io_context &loop, Endpoint peer,
                                   const ConnectLimits &limits)
    : Socket(loop), ConnectTimer(loop), Limits(limits), Peer(std::move(peer)) {}

ClientConnection::~ClientConnection() { close(); }

void ClientConnection::open(ConnectCallback onConnectEnd) {
  OnConnectEnd = std::move(onConnectEnd);
  ConnectUntil = bootNow() + Limits.Timeout;
  error_code ec;
  const auto address = asio::ip::make_address(Peer.Address, ec);
  if (ec) {
    OnConnectEnd = nullptr; // says nothing about the link
    asio::post(Socket.get_executor(), [self = shared_from_this(), ec] {
      self->onConnected(nullptr, ec);
    });
    return;
  }
  connect({address, Peer.Port});
}

void ClientConnection::connect(const tcp::endpoint &address) {
  const auto socket = std::make_shared<tcp::socket>(Socket.get_executor());
  error_code ec;
  socket->open(tcp::v4(), ec);
  if (ec) {
    OnConnectEnd = nullptr; // says nothing about the link
    asio::post(Socket.get_executor(), [self = shared_from_this(), ec] {
      self->onConnected(nullptr, ec);
    });
    return;
  }
  setStreamOptions(*socket);
  Connecting.push_back(socket);
  const Duration left = std::max(ConnectUntil - bootNow(), Duration());
  ConnectTimer.expires_after(Limits.RepeatInterval == Duration()
                                 ? left
                                 : std::min(left, Limits.RepeatInterval));
  ConnectTimer.async_wait(
      [weak = weak_from_this(), address](const error_code &result) {
        if (const auto self = weak.lock(); !result && self)
          self->onConnectTimer(address);
      });
  socket->async_connect(
      address, [self = shared_from_this(), socket](const error_code &result) {
        self->onConnected(socket, result);
      });
}

void ClientConnection::onConnectTimer(const tcp::endpoint &address) {
  if (IsOpen || IsClosed)
    return;
  if (bootNow() >= ConnectUntil)
    fail("connect: timed out");
  else
    connect(address);
}

void ClientConnection::onConnected(const std::shared_ptr<tcp::socket> &socket,
                                   const error_code &ec) {
  if (IsClosed || IsOpen)
    return;
  if (ec) {
    fail("connect: " + ec.message(), ec == asio::error::connection_refused
                                         ? ConnectOutcome::Refused
                                         : ConnectOutcome::Failed);
    return;
  }
  error_code ignored;
  for (const auto &other : std::exchange(Connecting, {}))
    if (other != socket)
      other->close(ignored);
  Socket = std::move(*socket);
  IsOpen = true;
  IdleSince = bootNow();
  ConnectTimer.cancel();
  reportConnectEnd(ConnectOutcome::Established);
  scheduleRead();
  flush();
}

void ClientConnection::beginRequest(ResponseObserver *observer,
                                    const std::string &bytes, bool isWhole,
                                    bool isHeadMethod) {
  Observer = observer;
  IsHeadMethod = isHeadMethod;
  IsHeadDelivered = false;
  IsDiscardingResponse = false;
  IsSent = false;
  IsRequestWhole = isWhole;
  Parser.reset();
  UnwrittenOutput += bytes;
  // Deferred, so that the observer is not called from within this function.
  asio::post(Socket.get_executor(),
             [self = shared_from_this()] { self->flush(); });
}

/// A peer that reads a large body slowly must not count as lost.
void ClientConnection::allowSlowPeer() {
  if (IsOpen && !std::exchange(IsSlowPeerAllowed, true))
    setPeerReading(Socket, false);
}

void ClientConnection::send(const std::string &bytes, bool isWhole) {
  UnwrittenOutput += bytes;
  IsRequestWhole = isWhole;
  flush();
}

/// Reads what has arrived on the idle connection, its end included: it belongs
/// to no request, and after the first byte is written it would be taken for the
/// response.
bool ClientConnection::mayStartRequest() {
  readSome();
  return Observer != nullptr && Observer->isStillNeeded();
}

void ClientConnection::flush() {
  if (!IsOpen || IsWriting || IsClosed || UnwrittenOutput.empty())
    return;
  if (!IsSent && Observer != nullptr && !mayStartRequest())
    return;
  if (!IsRequestWhole || UnwrittenOutput.size() > LargeRequestBytes)
    allowSlowPeer();
  error_code ec;
  const std::size_t n = Socket.write_some(asio::buffer(UnwrittenOutput), ec);
  if (n > 0)
    IsSent = true;
  UnwrittenOutput.erase(0, n);
  if (ec && ec != asio::error::would_block) {
    // The peer may have sent a response before it closed the connection.
    if (IsReading)
      readSome();
    if (!IsClosed) {
      HasTimedOut = ec == asio::error::timed_out;
      fail("write: " + ec.message());
    }
    return;
  }
  if (UnwrittenOutput.empty()) {
    if (Observer != nullptr && !IsRequestWhole)
      Observer->onRequestWritten();
    return;
  }
  allowSlowPeer();
  IsWriting = true;
  Socket.async_wait(tcp::socket::wait_write,
                    [self = shared_from_this()](const error_code &result) {
                      self->IsWriting = false;
                      if (!result)
                        self->flush();
                    });
}

void ClientConnection::setPaused(bool isPaused) {
  IsPaused = isPaused;
  if (!isPaused)
    scheduleRead();
}

void ClientConnection::scheduleRead() {
  if (!IsOpen || IsReading || IsPaused || IsClosed)
    return;
  IsReading = true;
  Socket.async_wait(tcp::socket::wait_read,
                    [self = shared_from_this()](const error_code &ec) {
                      self->IsReading = false;
                      if (!ec && !self->IsClosed) {
                        self->readSome();
                        self->scheduleRead();
                      }
                    });
}

void ClientConnection::readSome() {
  const auto self = shared_from_this();
  error_code ec;
  const std::size_t n = Socket.read_some(asio::buffer(readBuffer()), ec);
  if (ec == asio::error::would_block)
    return;
  if (ec) {
    const bool isComplete = ec == asio::error::eof && Observer != nullptr &&
                            IsHeadDelivered && !IsDiscardingResponse &&
                            Parser != nullptr &&
                            Parser->finishAtEof() == http::ParseState::Done;
    if (isComplete) {
      IsReuseForbidden = true;
      finishResponse();
      return;
    }
    HasTimedOut = ec == asio::error::timed_out;
    fail("read: " + ec.message());
    return;
  }
  const std::string_view bytes(readBuffer().data(), n);
  if (UnparsedInput.empty()) {
    parse(bytes);
    return;
  }
  const std::string all = std::exchange(UnparsedInput, {}) + std::string(bytes);
  parse(all);
}

bool ClientConnection::parse(std::string_view bytes) {
  while (!bytes.empty()) {
    if (Observer == nullptr || !IsSent) {
      // Unsolicited bytes: the connection state is unknown, so it is closed.
      fail("received bytes without a pending request");
      return false;
    }
    if (!Parser)
      Parser = std::make_unique<http::ResponseParser>(
          http::ParseLimits{MaxResponseHeaderBytes, MaxResponseBytes},
          IsHeadMethod);
    std::size_t consumed = 0;
    const http::ParseState state = Parser->put(bytes, consumed);
    bytes.remove_prefix(consumed);
    if (Parser->isHeadComplete() && !IsHeadDelivered) {
      if (Parser->head().Status < 200) {
        Parser.reset(); // interim response (1xx)
        continue;
      }
      IsHeadDelivered = true;
      if (!Parser->head().IsKeepAlive)
        IsReuseForbidden = true;
      IsDiscardingResponse = !Observer->onResponseHead(Parser->head());
      if (IsClosed || Observer == nullptr)
        return false;
      if (IsDiscardingResponse)
        IsReuseForbidden = true;
    }
    if (std::string body = Parser->takeBody();
        !body.empty() && !IsDiscardingResponse) {
      Observer->onResponseBody(std::move(body));
      if (IsClosed || Observer == nullptr)
        return false;
    }
    if (state == http::ParseState::Done) {
      if (IsDiscardingResponse) {
        Parser.reset();
        IsHeadDelivered = false;
        IsDiscardingResponse = false;
        continue;
      }
      if (!bytes.empty())
        IsReuseForbidden = true;
      finishResponse();
      return false;
    }
    if (state != http::ParseState::NeedMore) {
      fail("malformed HTTP response");
      return false;
    }
    break;
  }
  UnparsedInput.append(bytes);
  if (UnparsedInput.size() > MaxUnparsedBytes) {
    fail("malformed HTTP response");
    return false;
  }
  return true;
}

void ClientConnection::finishResponse() {
  // If the response ended before the request was sent completely, the peer
  // still expects request bytes, so the connection cannot carry another
  // request.
  if (!IsRequestWhole || !UnwrittenOutput.empty())
    IsReuseForbidden = true;
  ResponseObserver *observer = std::exchange(Observer, nullptr);
  Parser.reset();
  UnparsedInput.clear();
  IsPaused = false;
  IdleSince = bootNow();
  if (IsReuseForbidden)
    close();
  else if (std::exchange(IsSlowPeerAllowed, false))
    setPeerReading(Socket, true);
  observer->onResponseEnd();
}

void ClientConnection::fail(const std::string &why, ConnectOutcome outcome) {
  const auto self = shared_from_this();
  ResponseObserver *observer = std::exchange(Observer, nullptr);
  close();
  reportConnectEnd(outcome);
  if (observer != nullptr)
    observer->onConnectionLost(why, IsSent);
}

void ClientConnection::reportConnectEnd(ConnectOutcome outcome) {
  if (const auto callback = std::exchange(OnConnectEnd, nullptr))
    callback(outcome);
}

void ClientConnection::close() {
  if (IsClosed)
    return;
  IsClosed = true;
  Observer = nullptr;
  error_code ec;
  Socket.set_option(asio::socket_base::linger(true, 0), ec);
  Socket.close(ec); // the descriptor is released even on error
  for (const auto &socket : std::exchange(Connecting, {}))
    socket->close(ec);
}

} // namespace waxwing
