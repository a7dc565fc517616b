/**
 * @file caller_connection.cpp
 * Request parsing, pipelining and backpressure for one caller.
 */
#include "node/caller_connection.h"

#include "node/attempt.h"
#include "node/node_clock.h"
#include "node/socket_options.h"

#include <algorithm>
#include <array>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace waxwing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t ReadBufferSize = 65536;
/// Requests of one connection that are processed concurrently.
constexpr std::size_t MaxPipelinedRequests = 32;
/// Reading pauses when more pipelined bytes than this are unparsed.
constexpr std::size_t MaxUnparsedBytes = 131072;
/// Time that a caller has to close its side after the last response, from the
/// last bytes that it sent.
constexpr Duration CallerCloseTimeout = seconds(3);
/// Longest time for which bytes after the last response are read and discarded,
/// so that a caller that still sends a body can read the response.
constexpr Duration MaxLingerTime = seconds(10);

std::array<char, ReadBufferSize> &readBuffer() {
  static std::array<char, ReadBufferSize> buffer;
  return buffer;
}

} // namespace

CallerConnection::CallerConnection(tcp::socket socket, ExchangeHandler &handler)
    : Socket(std::move(socket)), Handler(handler),
      Parser({Handler.callerLimits().HeaderBytes,
              Handler.callerLimits().BodyBytes}),
      IdleSince(bootNow()) {}

void CallerConnection::start() {
  error_code ec;
  if (const auto caller = Socket.remote_endpoint(ec); !ec)
    CallerAddress = caller.address().to_string();
  setStreamOptions(Socket);
  setPeerReading(Socket, false); // callers may pause while they receive
  scheduleRead();
}

bool CallerConnection::isBodyFull() const {
  return IncomingExchange != nullptr && !IncomingExchange->IsFinished &&
         IncomingExchange->Body.space() == 0;
}

void CallerConnection::scheduleRead() {
  if (IsReading || IsClosed || isBodyFull() ||
      UnparsedInput.size() > MaxUnparsedBytes)
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

void CallerConnection::readSome() {
  std::size_t size = ReadBufferSize;
  if (IncomingExchange != nullptr && !IncomingExchange->IsFinished)
    size = std::clamp<std::size_t>(IncomingExchange->Body.space(), 1, size);
  error_code ec;
  const std::size_t n = Socket.read_some(asio::buffer(readBuffer(), size), ec);
  if (ec == asio::error::would_block)
    return;
  if (ec) {
    close(ConnectionEnd::CallerLeft);
    return;
  }
  if (LingerUntil != Time()) {
    // Lingering close: discard what the caller still sends.
    LingerUntil = std::min(bootNow() + CallerCloseTimeout,
                           LingerStartedAt + MaxLingerTime);
    return;
  }
  UnparsedInput.append(readBuffer().data(), n);
  parseRequests();
}

void CallerConnection::parseRequests() {
  if (IsParsing)
    return;
  const auto self = shared_from_this();
  IsParsing = true;
  while (!IsClosed && !IsLastRequest && !UnparsedInput.empty() &&
         parseRequest()) {
  }
  IsParsing = false;
  if (IsLastRequest)
    UnparsedInput.clear();
  flush();
}

bool CallerConnection::parseRequest() {
  if (IncomingExchange == nullptr && !canAcceptRequest())
    return false;
  if (HeadStartedAt == Time() && IncomingExchange == nullptr) {
    HeadStartedAt = bootNow();
    Parser = http::RequestParser(
        {Handler.callerLimits().HeaderBytes, Handler.callerLimits().BodyBytes});
  }
  std::size_t consumed = 0;
  const http::ParseState state = Parser.put(UnparsedInput, consumed);
  UnparsedInput.erase(0, consumed);
  if (state != http::ParseState::NeedMore && state != http::ParseState::Done) {
    rejectMalformed(state);
    return false;
  }
  const bool isNew = Parser.isHeadComplete() && IncomingExchange == nullptr;
  if (isNew)
    startExchange();
  if (IncomingExchange == nullptr)
    return false;
  const auto exchange = IncomingExchange;
  const std::string bytes = Parser.takeBody();
  if (!exchange->IsFinished)
    exchange->Body.append(bytes);
  const bool isWhole = state == http::ParseState::Done;
  if (isWhole) {
    exchange->Body.markWhole();
    IncomingExchange.reset();
    HeadStartedAt = Time();
    if (!exchange->Head.IsKeepAlive)
      IsLastRequest = true;
  }
  if (isNew)
    Handler.beginExchange(exchange);
  else if (!exchange->IsFinished)
    Handler.continueExchange(exchange);
  sendContinue();
  return isWhole;
}

bool CallerConnection::canAcceptRequest() {
  if (Exchanges.empty())
    return true;
  const Exchange &last = *Exchanges.back();
  if (last.Response.MustClose) {
    IsLastRequest = true;
    return false;
  }
  // Whether the response to an HTTP/1.0 request closes the connection is known
  // when its head has arrived.
  return last.Head.Version >= 11 && Exchanges.size() < MaxPipelinedRequests;
}

void CallerConnection::sendContinue() {
  if (Exchanges.empty() || IsClosed)
    return;
  Exchange &exchange = *Exchanges.front();
  const bool isAwaited = std::exchange(exchange.NeedsContinue, false);
  // The interim response is pointless once the final one is determined or the
  // caller has begun to send.
  if (isAwaited && !exchange.IsFinished && exchange.Body.received() == 0)
    UnwrittenOutput += "HTTP/1.1 100 Continue\r\n\r\n";
}

void CallerConnection::startExchange() {
  IncomingExchange = std::make_shared<Exchange>();
  IncomingExchange->Head = std::move(Parser.head());
  IncomingExchange->Meta =
      platform::readRequestMetadata(IncomingExchange->Head.Headers);
  IncomingExchange->Caller = CallerAddress;
  IncomingExchange->ArrivedAt = bootNow();
  HeadStartedAt = Time();
  const std::weak_ptr<CallerConnection> weak = shared_from_this();
  IncomingExchange->OnResponse = [weak] {
    if (const auto self = weak.lock())
      self->flush();
  };
  IncomingExchange->OnBodyConsumed = [weak] {
    if (const auto self = weak.lock())
      self->scheduleRead();
  };
  IncomingExchange->CheckCallerConnected = [weak] {
    if (const auto self = weak.lock())
      self->closeIfDisconnected();
  };
  IncomingExchange->Body = RequestBody(Handler.bodyMemory());
  IncomingExchange->NeedsContinue = http::fieldHasToken(
      IncomingExchange->Head.Headers, "Expect", "100-continue");
  if (!Exchanges.empty())
    Exchanges.back()->HasSuccessor = true;
  Exchanges.push_back(IncomingExchange);
}

void CallerConnection::closeIfDisconnected() {
  if (IsClosed || LingerUntil != Time())
    return;
  char next = 0;
  const auto n =
      recv(Socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool isDisconnected =
      n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  if (isDisconnected)
    close(ConnectionEnd::CallerLeft);
}

/// Queues an error response behind those of earlier requests and stops reading
/// requests.
void CallerConnection::rejectMalformed(http::ParseState state) {
  IsLastRequest = true;
  if (IncomingExchange != nullptr) {
    // The body is malformed: cancel the request if it was started already.
    const auto exchange = std::exchange(IncomingExchange, nullptr);
    if (exchange->IsFinished)
      return; // its response was sent already
    Handler.cancelExchange(exchange, ConnectionEnd::Malformed);
    exchange->IsFinished = true;
    exchange->Response = {};
    exchange->Response.Bytes =
        state == http::ParseState::BodyTooLarge
            ? "HTTP/1.1 413 Content Too Large\r\nContent-Length: "
              "0\r\nConnection: close\r\n\r\n"
            : "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: "
              "close\r\n\r\n";
    exchange->Response.IsWhole = exchange->Response.MustClose = true;
    return;
  }
  const auto exchange = std::make_shared<Exchange>();
  exchange->IsFinished = true;
  exchange->Response.Bytes =
      state == http::ParseState::HeaderTooLarge
          ? "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: "
            "0\r\nConnection: close\r\n\r\n"
          : "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: "
            "close\r\n\r\n";
  exchange->Response.IsWhole = exchange->Response.MustClose = true;
  Exchanges.push_back(exchange);
}

void CallerConnection::flush() {
  if (IsWriting || IsClosed)
    return;
  const auto self = shared_from_this();
  while (!IsClosed && !IsWriting) {
    if (UnwrittenOutput.empty() && !Exchanges.empty()) {
      const auto front = Exchanges.front();
      UnwrittenOutput = std::exchange(front->Response.Bytes, {});
      if (front->CurrentAttempt)
        front->CurrentAttempt->onResponseConsumed();
    }
    if (UnwrittenOutput.empty()) {
      if (Exchanges.empty() || !(Exchanges.front()->Response.IsWhole ||
                                 Exchanges.front()->Response.IsBroken))
        return;
      finishFirstExchange();
      continue;
    }
    error_code ec;
    const std::size_t n = Socket.write_some(asio::buffer(UnwrittenOutput), ec);
    UnwrittenOutput.erase(0, n);
    if (ec == asio::error::would_block) {
      IsWriting = true;
      Socket.async_wait(tcp::socket::wait_write,
                        [self](const error_code &result) {
                          self->IsWriting = false;
                          if (!result)
                            self->flush();
                        });
      return;
    }
    if (ec) {
      close(ConnectionEnd::CallerLeft);
      return;
    }
  }
}

void CallerConnection::finishFirstExchange() {
  const auto exchange = Exchanges.front();
  if (exchange->Response.IsBroken) {
    close(ConnectionEnd::BrokenResponse);
    return;
  }
  Exchanges.pop_front();
  IdleSince = bootNow();
  const bool isRequestIncomplete = exchange == IncomingExchange;
  if (exchange->Response.MustClose || isRequestIncomplete ||
      (IsLastRequest && Exchanges.empty())) {
    beginLingeringClose();
    return;
  }
  sendContinue();
  parseRequests();
  scheduleRead();
}

void CallerConnection::endIfIdle() {
  if (LingerUntil != Time() || IsClosed || !isIdle())
    return;
  readSome();
  if (!IsClosed && isIdle())
    beginLingeringClose();
}

/// Shuts down the sending side and keeps reading. Closing with unread bytes
/// would reset the connection, and the caller could lose the response.
void CallerConnection::beginLingeringClose() {
  error_code ec;
  Socket.shutdown(tcp::socket::shutdown_send, ec);
  if (ec) {
    close(ConnectionEnd::CallerLeft);
    return;
  }
  LingerStartedAt = bootNow();
  LingerUntil = LingerStartedAt + CallerCloseTimeout;
  IsLastRequest = true;
  UnparsedInput.clear();
  for (const auto &exchange : std::exchange(Exchanges, {}))
    Handler.cancelExchange(exchange, ConnectionEnd::ClosingResponse);
  IncomingExchange.reset();
  scheduleRead();
}

bool CallerConnection::isHeadSlow(Time now) const {
  return HeadStartedAt != Time() &&
         now > HeadStartedAt + Handler.callerLimits().HeaderTimeout;
}

bool CallerConnection::isUnused(Time now) const {
  return isIdle() && now > IdleSince + Handler.callerLimits().IdleTimeout;
}

void CallerConnection::closeIfTimedOut(Time now) {
  if (LingerUntil != Time() && now > LingerUntil) {
    close(ConnectionEnd::LingerTimeout);
    return;
  }
  // A caller that leaves while its body is not read is not noticed by reading.
  if (isBodyFull()) {
    pollfd state{Socket.native_handle(), POLLRDHUP, 0};
    if (poll(&state, 1, 0) > 0) {
      close(ConnectionEnd::CallerLeft);
      return;
    }
  }
  if (!isHeadSlow(now) && !isUnused(now))
    return;
  // After a stall of the process, the timers may expire before what arrived
  // meanwhile is read.
  readSome();
  if (isHeadSlow(now) && !Exchanges.empty()) {
    // The requests in progress are answered first.
    HeadStartedAt = Time();
    UnparsedInput.clear();
    IsLastRequest = true;
  } else if (isHeadSlow(now))
    close(ConnectionEnd::HeaderTimeout);
  else if (isUnused(now))
    close(ConnectionEnd::IdleTimeout);
}

void CallerConnection::close(ConnectionEnd why) {
  if (IsClosed)
    return;
  IsClosed = true;
  const auto self = shared_from_this();
  error_code ec;
  if (!Exchanges.empty() && Exchanges.front()->Response.EndsWithConnection)
    Socket.set_option(asio::socket_base::linger(true, 0), ec);
  Socket.close(ec); // the descriptor is released even on error
  for (const auto &exchange : Exchanges)
    Handler.cancelExchange(exchange, why);
  Exchanges.clear();
  IncomingExchange.reset();
  Handler.onCallerClosed(this);
}

} // namespace waxwing
