/**
 * @file attempt.cpp
 * Responses are buffered until they are complete or large, so that a request
 * whose response breaks off can be retried on another upstream.
 */
#include "node/attempt.h"

#include "node/node_clock.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace waxwing {
namespace {

/// Responses up to this size are buffered until they are complete.
constexpr std::size_t WholeAnswerBytes = 262144;
/// Reading from the upstream pauses when more response bytes than this wait for
/// the caller, and resumes below half of it.
constexpr std::size_t MaxUntakenBytes = 524288;

bool hasNoBody(const http::RequestHead &request, int status) {
  return request.Method == "HEAD" || status == 204 || status == 304;
}

} // namespace

Attempt::Attempt(AttemptHost &host, const std::shared_ptr<Exchange> &exchange,
                 const UpstreamEntry &upstream,
                 std::shared_ptr<ClientConnection> connection,
                 bool isNewConnection)
    : Host(host), Owner(exchange), Target(upstream),
      Connection(std::move(connection)), IsNewConnection(isNewConnection) {}

Attempt::~Attempt() {
  if (!IsEnded && Connection)
    Connection->close();
}

std::string Attempt::requestHead(Time now) const {
  const auto exchange = Owner.lock();
  const http::RequestHead &request = exchange->Head;
  std::string head;
  head.reserve(512);
  fmt::format_to(std::back_inserter(head), "{} {} HTTP/1.1\r\n", request.Method,
                 request.Target);
  for (const auto &[name, value] : request.Headers) {
    const bool isOwn = http::isHopByHop(request.Headers, name) ||
                       platform::isRewrittenPerAttempt(name) ||
                       name == "Expect" || name == "expect" ||
                       (request.IsChunked && name == "Content-Length");
    if (!isOwn)
      fmt::format_to(std::back_inserter(head), "{}: {}\r\n", name, value);
  }
  if (request.IsChunked)
    head += "Transfer-Encoding: chunked\r\n";
  const auto left =
      std::chrono::duration_cast<milliseconds>(exchange->TimeoutAt - now);
  platform::appendAttemptHeaders(head, Target.Id.Value,
                                 std::max<std::int64_t>(left.count(), 1));
  head += "\r\n";
  return head;
}

void Attempt::start(Time now) {
  StartedAt = now;
  const auto exchange = Owner.lock();
  Connection->begin(this, requestHead(now), exchange->Head.Method == "HEAD");
  Connection->setRequestWhole(exchange->IsBodyWhole);
  sendBody();
}

void Attempt::sendBody() {
  const auto exchange = Owner.lock();
  if (!exchange || IsEnded)
    return;
  std::string bytes;
  if (exchange->Head.IsChunked) {
    if (!exchange->Body.empty())
      fmt::format_to(std::back_inserter(bytes), "{:x}\r\n{}\r\n",
                     exchange->Body.size(), exchange->Body);
    if (exchange->IsBodyWhole)
      bytes += "0\r\n\r\n";
  } else {
    bytes = exchange->Body;
  }
  if (!exchange->IsBodyWhole) {
    exchange->Body.clear();
    exchange->IsBodySentOn = true;
  } else if (exchange->IsBodySentOn) {
    exchange->Body.clear();
  }
  Connection->setRequestWhole(exchange->IsBodyWhole);
  if (!bytes.empty())
    Connection->send(bytes);
  if (exchange->OnBodyTaken)
    exchange->OnBodyTaken();
}

void Attempt::continueBody() { sendBody(); }

void Attempt::cancel() {
  IsEnded = true;
  Connection->close();
}

bool Attempt::isStillWanted() {
  const auto self =
      shared_from_this(); // CheckCallerConnected() may cancel this attempt
  const auto exchange = Owner.lock();
  if (exchange && exchange->CheckCaller)
    exchange->CheckCaller();
  return exchange && !exchange->IsCallerGone && !IsEnded;
}

bool Attempt::onAnswerHead(http::ResponseHead &head) {
  const auto exchange = Owner.lock();
  platform::ResponseMetadata meta =
      platform::readResponseMetadata(head.Status, head.Headers);
  const bool isForeign = !meta.RequestId.empty() && exchange &&
                         meta.RequestId != exchange->Meta.Id;
  if (isForeign)
    return false;
  ResponseHead = std::move(head);
  ResponseMetadata = std::move(meta);
  AnswerStatus = ResponseHead.Status;
  HasHead = true;
  if (ResponseMetadata.Load)
    Host.onLoadReport(Target.Id, *ResponseMetadata.Load);
  if (ResponseMetadata.KeepAliveS)
    Connection->IdleUntil = bootNow() + seconds(*ResponseMetadata.KeepAliveS);
  else
    Connection->IdleUntil = Time::max();
  return true;
}

/// Classifies a response by its status and headers, before it is forwarded.
AttemptResult Attempt::judgeWholeAnswer() const {
  if (ResponseMetadata.IsNotExecuted) {
    const bool isMisplaced = AnswerStatus == 421;
    return {isMisplaced ? AttemptOutcome::WrongUpstream : AttemptOutcome::Shed,
            isMisplaced ? Reason::WrongToken : Reason::UpstreamShed, true, true,
            fmt::format("status {}", AnswerStatus)};
  }
  const bool isSuccess = AnswerStatus >= 200 && AnswerStatus < 300;
  if (isSuccess && (!ResponseMetadata.IsSigned || ResponseMetadata.IsEncoded))
    return {AttemptOutcome::Failed, Reason::UnsignedAnswer, false, true,
            "successful response without the upstream's signature"};
  if (AnswerStatus >= 500)
    return {AttemptOutcome::Failed, Reason::UpstreamFailed, false, true,
            fmt::format("status {}", AnswerStatus)};
  return {};
}

void Attempt::appendBody(std::string &out, std::string_view bytes) const {
  if (bytes.empty())
    return;
  if (IsChunkedOut)
    fmt::format_to(std::back_inserter(out), "{:x}\r\n{}\r\n", bytes.size(),
                   bytes);
  else
    out.append(bytes);
}

/// Moves the buffered response to the caller's connection, starting with the
/// response head.
void Attempt::deliver(bool isWhole) {
  const auto exchange = Owner.lock();
  if (!exchange || exchange->IsCallerGone)
    return;
  std::string &out = exchange->Answer.Bytes;
  if (!IsDelivering) {
    IsDelivering = true;
    exchange->Answer.IsStarted = true;
    const bool isBodyless = hasNoBody(exchange->Head, AnswerStatus);
    const bool isLengthKnown = isWhole || ResponseHead.BodyLength.has_value();
    IsChunkedOut = !isBodyless && !isLengthKnown;
    if (IsChunkedOut && exchange->Head.Version < 11) {
      IsChunkedOut = false;
      exchange->Answer.MustClose = true;
    }
    fmt::format_to(std::back_inserter(out), "HTTP/1.1 {} {}\r\n", AnswerStatus,
                   ResponseHead.ReasonPhrase);
    for (const auto &[name, value] : ResponseHead.Headers) {
      if (!http::isHopByHop(ResponseHead.Headers, name) &&
          (isBodyless ||
           (name != "Content-Length" && name != "content-length")))
        fmt::format_to(std::back_inserter(out), "{}: {}\r\n", name, value);
    }
    if (IsChunkedOut)
      out += "Transfer-Encoding: chunked\r\n";
    else if (!isBodyless && isLengthKnown)
      fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n",
                     isWhole ? AnswerBody.size() : *ResponseHead.BodyLength);
    if (exchange->Answer.MustClose || !exchange->Head.IsKeepAlive)
      out += "Connection: close\r\n";
    out += "\r\n";
  }
  if (!hasNoBody(exchange->Head, AnswerStatus))
    appendBody(out, AnswerBody);
  AnswerBody.clear();
  if (isWhole) {
    if (IsChunkedOut)
      out += "0\r\n\r\n";
    exchange->Answer.IsWhole = true;
    exchange->IsFinished = true;
  }
  if (exchange->OnAnswer)
    exchange->OnAnswer();
}

void Attempt::onAnswerBody(std::string bytes) {
  const auto self = shared_from_this(); // forwarding may end the exchange
  AnswerBody += bytes;
  const auto exchange = Owner.lock();
  if (!exchange)
    return;
  if (!IsDelivering) {
    if (AnswerBody.size() <= WholeAnswerBytes ||
        judgeWholeAnswer().End != AttemptOutcome::Served)
      return;
  }
  deliver(false);
  if (IsEnded)
    return;
  if (exchange->Answer.Bytes.size() > MaxUntakenBytes) {
    IsPaused = true;
    Connection->setPaused(true);
  }
}

void Attempt::onAnswerTaken() {
  const auto exchange = Owner.lock();
  if (IsPaused && exchange &&
      exchange->Answer.Bytes.size() < MaxUntakenBytes / 2) {
    IsPaused = false;
    Connection->setPaused(false);
  }
}

void Attempt::onAnswerEnd() {
  const auto self = shared_from_this();
  AttemptResult result = judgeWholeAnswer();
  const auto exchange = Owner.lock();
  if (exchange && !IsDelivering) {
    const bool isUpstreamsFailure = result.Cause == Reason::UpstreamFailed;
    if (result.End == AttemptOutcome::Served ||
        (isUpstreamsFailure && !Host.wouldRepeat(*exchange)))
      deliver(true);
  } else if (exchange) {
    deliver(true);
  }
  end(result);
}

void Attempt::onConnectionLost(const std::string &why, bool isSent) {
  const auto self = shared_from_this();
  AttemptResult result;
  result.Detail = why;
  if (!isSent) {
    result = {AttemptOutcome::NotConnected, Reason::ConnectFailed, true, false,
              why};
  } else {
    result.End = AttemptOutcome::ConnectionBroken;
    result.Cause = HasHead ? Reason::CutOffAnswer : Reason::ConnectionLost;
  }
  const auto exchange = Owner.lock();
  if (IsDelivering && exchange) {
    exchange->Answer.IsBroken = true;
    exchange->IsFinished = true;
    if (exchange->OnAnswer)
      exchange->OnAnswer();
  }
  end(result);
}

void Attempt::end(const AttemptResult &result) {
  if (IsEnded)
    return;
  IsEnded = true;
  if (const auto exchange = Owner.lock())
    Host.onAttemptEnd(exchange, *this, result);
}

} // namespace waxwing
