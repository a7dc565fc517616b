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
#include <sys/socket.h>

namespace waxwing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t ReadBytes = 65536;
/// Requests of one connection that are processed concurrently.
constexpr std::size_t MaxPipelined = 32;
/// Larger request bodies are streamed to the upstream while they arrive.
constexpr std::size_t WholeBodyBytes = 65536;
/// Reading pauses when more bytes of a request body than this are unsent.
constexpr std::size_t MaxWaitingBody = 262144;
/// Reading pauses when more pipelined bytes than this are unparsed.
constexpr std::size_t MaxUnparsed = 131072;
/// Time that a caller has to close its side after the last response.
constexpr Duration LingerForCaller = seconds(1);

std::array<char, ReadBytes> &readBuffer() {
  static std::array<char, ReadBytes> buffer;
  return buffer;
}

} // namespace

CallerConnection::CallerConnection(tcp::socket socket, CallerHost &host)
    : Socket(std::move(socket)), Host(host),
      Parser({Host.callerLimits().HeaderBytes, Host.callerLimits().BodyBytes}),
      IdleSince(bootNow()) {}

void CallerConnection::start() {
  setStreamOptions(Socket);
  awaitRead();
}

void CallerConnection::awaitRead() {
  const bool isBodyFull =
      Incoming != nullptr && Incoming->Body.size() > MaxWaitingBody;
  if (IsReading || IsClosed || isBodyFull || InBuf.size() > MaxUnparsed)
    return;
  IsReading = true;
  Socket.async_wait(tcp::socket::wait_read,
                    [self = shared_from_this()](const error_code &ec) {
                      self->IsReading = false;
                      if (!ec && !self->IsClosed) {
                        self->readSome();
                        self->awaitRead();
                      }
                    });
}

void CallerConnection::readSome() {
  error_code ec;
  const std::size_t n = Socket.read_some(asio::buffer(readBuffer()), ec);
  if (ec == asio::error::would_block)
    return;
  if (ec) {
    close();
    return;
  }
  if (ClosingUntil != Time())
    return; // lingering close: discard what the caller still sends
  InBuf.append(readBuffer().data(), n);
  parseAll();
}

void CallerConnection::parseAll() {
  if (IsParsing)
    return;
  const auto self = shared_from_this();
  IsParsing = true;
  while (!IsClosed && !IsLast && !InBuf.empty() && parseOne()) {
  }
  IsParsing = false;
  if (IsLast)
    InBuf.clear();
  flush();
}

bool CallerConnection::parseOne() {
  if (Incoming == nullptr && Exchanges.size() >= MaxPipelined)
    return false;
  if (HeadSince == Time() && Incoming == nullptr)
    HeadSince = bootNow();
  std::size_t consumed = 0;
  const http::ParseState state = Parser.put(InBuf, consumed);
  InBuf.erase(0, consumed);
  if (state != http::ParseState::NeedMore && state != http::ParseState::Done) {
    refuseBytes(state);
    return false;
  }
  if (Parser.isHeadDone() && Incoming == nullptr)
    takeHead();
  if (Incoming == nullptr)
    return false;
  Incoming->Body += Parser.takeBody();
  const bool isWhole = state == http::ParseState::Done;
  Incoming->IsBodyWhole = isWhole;
  const auto exchange = Incoming;
  if (isWhole) {
    Incoming.reset();
    Parser = http::RequestParser(
        {Host.callerLimits().HeaderBytes, Host.callerLimits().BodyBytes});
    HeadSince = Time();
  }
  if (IsIncomingBegun) {
    Host.continueExchange(exchange);
  } else if (isWhole || exchange->Body.size() > WholeBodyBytes) {
    IsIncomingBegun = true;
    Host.beginExchange(exchange);
  }
  if (isWhole) {
    IsIncomingBegun = false;
    if (!exchange->Head.IsKeepAlive)
      IsLast = true;
  }
  return isWhole;
}

void CallerConnection::takeHead() {
  Incoming = std::make_shared<Exchange>();
  Incoming->Head = std::move(Parser.head());
  Incoming->Meta = platform::readRequestMetadata(Incoming->Head.Headers);
  Incoming->ArrivedAt = bootNow();
  HeadSince = Time();
  const std::weak_ptr<CallerConnection> weak = shared_from_this();
  Incoming->OnAnswer = [weak] {
    if (const auto self = weak.lock())
      self->flush();
  };
  Incoming->OnBodyTaken = [weak] {
    if (const auto self = weak.lock())
      self->awaitRead();
  };
  Incoming->CheckCaller = [weak] {
    if (const auto self = weak.lock())
      self->closeIfLeft();
  };
  Exchanges.push_back(Incoming);
  IsIncomingBegun = false;
  if (http::fieldHasToken(Incoming->Head.Headers, "Expect", "100-continue") &&
      Exchanges.size() == 1)
    OutBuf += "HTTP/1.1 100 Continue\r\n\r\n";
}

void CallerConnection::closeIfLeft() {
  if (IsClosed || ClosingUntil != Time())
    return;
  char next = 0;
  const auto n =
      recv(Socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool hasLeft =
      n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  if (hasLeft)
    close();
}

/// Queues an error response behind those of earlier requests and stops reading
/// requests.
void CallerConnection::refuseBytes(http::ParseState state) {
  IsLast = true;
  if (Incoming != nullptr) {
    // The body is malformed: cancel the request if it was started already.
    const auto exchange = std::exchange(Incoming, nullptr);
    if (IsIncomingBegun)
      Host.cancelExchange(exchange);
    exchange->IsFinished = true;
    exchange->Answer = {};
    exchange->Answer.Bytes =
        state == http::ParseState::BodyTooLarge
            ? "HTTP/1.1 413 Content Too Large\r\nContent-Length: "
              "0\r\nConnection: close\r\n\r\n"
            : "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: "
              "close\r\n\r\n";
    exchange->Answer.IsWhole = exchange->Answer.MustClose = true;
    return;
  }
  const auto exchange = std::make_shared<Exchange>();
  exchange->IsFinished = true;
  exchange->Answer.Bytes =
      state == http::ParseState::HeaderTooLarge
          ? "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: "
            "0\r\nConnection: close\r\n\r\n"
          : "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: "
            "close\r\n\r\n";
  exchange->Answer.IsWhole = exchange->Answer.MustClose = true;
  Exchanges.push_back(exchange);
}

void CallerConnection::flush() {
  if (IsWriting || IsClosed)
    return;
  const auto self = shared_from_this();
  while (!IsClosed && !IsWriting) {
    if (OutBuf.empty() && !Exchanges.empty()) {
      const auto front = Exchanges.front();
      OutBuf = std::exchange(front->Answer.Bytes, {});
      if (front->Current)
        front->Current->onAnswerTaken();
    }
    if (OutBuf.empty()) {
      if (Exchanges.empty() || !(Exchanges.front()->Answer.IsWhole ||
                                 Exchanges.front()->Answer.IsBroken))
        return;
      finishFront();
      continue;
    }
    error_code ec;
    const std::size_t n = Socket.write_some(asio::buffer(OutBuf), ec);
    OutBuf.erase(0, n);
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
      close();
      return;
    }
  }
}

void CallerConnection::finishFront() {
  const auto exchange = Exchanges.front();
  if (exchange->Answer.IsBroken) {
    close();
    return;
  }
  Exchanges.pop_front();
  IdleSince = bootNow();
  const bool isEarly = exchange == Incoming;
  if (exchange->Answer.MustClose || isEarly || (IsLast && Exchanges.empty())) {
    beginClosing();
    return;
  }
  parseAll();
  awaitRead();
}

/// Shuts down the sending side and keeps reading. Closing with unread bytes
/// would reset the connection, and the caller could lose the response.
void CallerConnection::beginClosing() {
  error_code ec;
  Socket.shutdown(tcp::socket::shutdown_send, ec);
  if (ec) {
    close();
    return;
  }
  ClosingUntil = bootNow() + LingerForCaller;
  IsLast = true;
  InBuf.clear();
  for (const auto &exchange : std::exchange(Exchanges, {}))
    if (!exchange->IsFinished)
      Host.cancelExchange(exchange);
  Incoming.reset();
  awaitRead();
}

void CallerConnection::checkTimes(Time now) {
  if (ClosingUntil != Time() && now > ClosingUntil) {
    close();
    return;
  }
  const CallerLimits &limits = Host.callerLimits();
  const bool isHeadSlow =
      HeadSince != Time() && now > HeadSince + limits.HeaderTimeout;
  const bool isUnused = isIdle() && now > IdleSince + limits.IdleTimeout;
  if (isHeadSlow || isUnused)
    close();
}

void CallerConnection::close() {
  if (IsClosed)
    return;
  IsClosed = true;
  const auto self = shared_from_this();
  error_code ec;
  Socket.close(ec); // the descriptor is released even on error
  for (const auto &exchange : Exchanges)
    if (!exchange->Answer.IsWhole || !exchange->IsFinished)
      Host.cancelExchange(exchange);
  Exchanges.clear();
  Incoming.reset();
  Host.onCallerClosed(this);
}

} // namespace waxwing
