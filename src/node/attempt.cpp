/**
 * @file attempt.cpp
 * Responses are buffered until they are complete or large, so that a request
 * whose response is truncated can be retried on another upstream.
 */
#include "node/attempt.h"

#include "node/node_clock.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace waxwing {
namespace {

/// Responses up to this size are buffered until they are complete.
constexpr std::size_t MaxBufferedResponseBytes = 262144;
/// Reading from the upstream pauses when more response bytes than this wait for
/// the caller, and resumes below half of it.
constexpr std::size_t MaxUnsentBytes = 524288;
/// Bytes of a request that wait in the connection while the upstream does not
/// read.
constexpr std::size_t MaxUnwrittenRequestBytes = 65536;
constexpr int StatusServiceUnavailable = 503;
/// The peer is not the upstream that the request names, or does not hold its
/// key.
constexpr int StatusMisdirected = 421;

/// Appends the fields by which the target knows what to do with the request.
struct TargetFieldWriter {
  std::string &Head;
  std::int64_t RemainingMs;

  void operator()(const UpstreamEntry &upstream) const {
    platform::appendAttemptHeaders(Head, upstream.Id.Value, RemainingMs);
  }
  void operator()(const RelayHop &hop) const {
    appendRelayRequest(Head, hop.Request);
  }
};

bool hasNoBody(const http::RequestHead &request, int status) {
  return request.Method == "HEAD" || status == 204 || status == 304;
}

} // namespace

Attempt::Attempt(AttemptHandler &handler,
                 const std::shared_ptr<Exchange> &exchange,
                 AttemptTarget target,
                 std::shared_ptr<ClientConnection> connection,
                 bool isNewConnection)
    : Handler(handler), ParentExchange(exchange), Target(std::move(target)),
      Connection(std::move(connection)), IsNewConnection(isNewConnection) {}

Attempt::~Attempt() {
  if (!HasEnded && Connection)
    Connection->close();
}

const UpstreamId &Attempt::upstreamId() const {
  static const UpstreamId unknown;
  if (const UpstreamEntry *entry = upstream())
    return entry->Id;
  return Relay ? Relay->Upstream.Id : unknown;
}

UpstreamProcess Attempt::upstreamProcess() const {
  if (const UpstreamEntry *entry = upstream())
    return {entry->Id, entry->StartedAtMs};
  return Relay ? Relay->Upstream : UpstreamProcess();
}

std::string_view Attempt::peerName() const {
  const auto *hop = std::get_if<RelayHop>(&Target);
  return hop == nullptr ? "-" : std::string_view(hop->Peer.Vm.Value);
}

std::string Attempt::requestHead(Time now) const {
  const auto exchange = ParentExchange.lock();
  const http::RequestHead &request = exchange->Head;
  std::string head;
  head.reserve(512);
  fmt::format_to(std::back_inserter(head), "{} {} HTTP/1.1\r\n", request.Method,
                 request.Target);
  for (const auto &[name, value] : request.Headers) {
    const bool isReplaced = http::isHopByHop(request.Headers, name) ||
                            platform::isRewrittenPerAttempt(name) ||
                            isRelayField(name) || name == "Expect" ||
                            name == "expect" ||
                            (request.IsChunked && name == "Content-Length");
    if (!isReplaced)
      fmt::format_to(std::back_inserter(head), "{}: {}\r\n", name, value);
  }
  if (request.IsChunked)
    head += "Transfer-Encoding: chunked\r\n";
  const auto left =
      std::chrono::duration_cast<milliseconds>(exchange->TimeoutAt - now);
  std::visit(TargetFieldWriter{head, std::max<std::int64_t>(left.count(), 1)},
             Target);
  head += "\r\n";
  return head;
}

void Attempt::start(Time now) {
  StartedAt = now;
  const auto exchange = ParentExchange.lock();
  std::string bytes = requestHead(now);
  const bool continues = appendRequestBody(bytes, MaxUnwrittenRequestBytes);
  Connection->beginRequest(this, bytes, !continues,
                           exchange->Head.Method == "HEAD");
}

bool Attempt::appendRequestBody(std::string &out, std::size_t room) {
  const auto exchange = ParentExchange.lock();
  const std::string_view piece = exchange->Body.bytesFrom(BodyOffset, room);
  BodyOffset += piece.size();
  IsRequestWhole =
      exchange->Body.isWhole() && BodyOffset == exchange->Body.received();
  if (!exchange->Head.IsChunked) {
    out.append(piece);
    return !IsRequestWhole;
  }
  if (!piece.empty())
    fmt::format_to(std::back_inserter(out), "{:x}\r\n{}\r\n", piece.size(),
                   piece);
  if (IsRequestWhole)
    out += "0\r\n\r\n";
  return !IsRequestWhole;
}

void Attempt::sendBody() {
  const auto self = shared_from_this(); // sending may end the attempt
  const auto exchange = ParentExchange.lock();
  if (!exchange || HasEnded || IsRequestWhole)
    return;
  const std::size_t waiting = Connection->unwrittenBytes();
  std::string bytes;
  if (waiting < MaxUnwrittenRequestBytes)
    appendRequestBody(bytes, MaxUnwrittenRequestBytes - waiting);
  // Until a byte has reached an upstream, another one can get the request. A
  // body that was received completely stays stored, since the upstream may
  // still refuse to execute the request.
  const bool isStreamed =
      !exchange->Body.isWhole() || !exchange->Body.isStored();
  if (isStreamed && Connection->isSent())
    exchange->Body.dropBefore(BodyOffset);
  if (!bytes.empty())
    Connection->send(bytes, IsRequestWhole);
  if (!HasEnded && exchange->OnBodyConsumed)
    exchange->OnBodyConsumed();
}

void Attempt::continueBody() { sendBody(); }

void Attempt::cancel() {
  HasEnded = true;
  Connection->close();
}

void Attempt::abortResponse() {
  const auto self = shared_from_this();
  Connection->close();
  onConnectionLost("response without end", true);
}

bool Attempt::isStillNeeded() {
  const auto self =
      shared_from_this(); // CheckCallerConnected() may cancel this attempt
  const auto exchange = ParentExchange.lock();
  if (exchange && exchange->CheckCallerConnected)
    exchange->CheckCallerConnected();
  if (!exchange || exchange->IsCallerDisconnected || HasEnded)
    return false;
  if (upstream() == nullptr || !Handler.hasLeft(upstreamProcess()))
    return true;
  Connection->close();
  onConnectionLost("upstream has left", false);
  return false;
}

/// @return false if the response belongs to another request
bool Attempt::isOwnResponse(const http::ResponseHead &head,
                            const platform::ResponseMetadata &meta) {
  if (const auto *hop = std::get_if<RelayHop>(&Target)) {
    Relay = readRelayResult(head.Headers);
    IsResponseIdentified = Relay && Relay->Number == hop->Request.Number;
    if (!IsResponseIdentified)
      Relay.reset();
    return IsResponseIdentified;
  }
  const auto exchange = ParentExchange.lock();
  const std::string id = exchange ? exchange->Meta.Id : meta.RequestId;
  const bool isWithoutId = meta.RequestId.empty();
  // The peer is not the target, so it refuses this request as well, whichever
  // request the response belongs to.
  const bool isOtherUpstream = head.Status == StatusMisdirected &&
                               isWithoutId && !meta.UpstreamId.empty() &&
                               meta.UpstreamId != upstreamId().Value;
  // On a connection that has carried other requests, a response without an id
  // may be an earlier one that was sent again.
  const bool mayBeRepeated = !IsNewConnection && !isOtherUpstream;
  IsResponseIdentified = !isWithoutId || !mayBeRepeated;
  return meta.RequestId == id || (isWithoutId && !mayBeRepeated);
}

bool Attempt::onResponseHead(http::ResponseHead &head) {
  const auto exchange = ParentExchange.lock();
  platform::ResponseMetadata meta =
      platform::readResponseMetadata(head.Status, head.Headers);
  if (!isOwnResponse(head, meta))
    return false;
  ResponseHead = std::move(head);
  ResponseMetadata = std::move(meta);
  ResponseStatus = ResponseHead.Status;
  HasResponseHead = true;
  if (ResponseMetadata.Load)
    Handler.onLoadReport(upstreamId(), *ResponseMetadata.Load);
  if (ResponseMetadata.IsLeaving && !upstreamId().Value.empty())
    Handler.onLeavingAnnounced(upstreamProcess());
  const bool isFromUpstream = !Relay || Relay->Execution == Verdict::Ran;
  // A response that has no signature may be another process's.
  const bool isLimitNamed =
      ResponseMetadata.LimitPerS.has_value() || ResponseMetadata.IsSigned;
  if (isFromUpstream && isLimitNamed && !upstreamId().Value.empty())
    Handler.onLimitNamed(upstreamProcess(), ResponseMetadata.LimitPerS);
  const bool isPauseAsked = upstream() != nullptr &&
                            ResponseStatus == StatusServiceUnavailable &&
                            ResponseMetadata.RetryAfterS.has_value();
  if (isPauseAsked)
    Handler.onPauseAsked(*upstream(), std::chrono::duration<double>(
                                          *ResponseMetadata.RetryAfterS));
  if (ResponseMetadata.KeepAliveS)
    Connection->IdleUntil = bootNow() + seconds(*ResponseMetadata.KeepAliveS);
  else
    Connection->IdleUntil = Time::max();
  return true;
}

/// Classifies a response by its status and headers, before it is forwarded.
AttemptResult Attempt::classifyResponse() const {
  if (!Relay)
    return classifyUpstreamResponse();
  const int deliveries = std::max(Relay->Deliveries, 1);
  if (Relay->Execution == Verdict::Ran) {
    AttemptResult result = classifyUpstreamResponse();
    result.Deliveries = deliveries;
    return result;
  }
  const bool isNotExecuted = Relay->Execution == Verdict::NotRun;
  return {isNotExecuted ? AttemptOutcome::Shed : AttemptOutcome::Failed,
          Relay->Cause,
          isNotExecuted,
          !isNotExecuted || Relay->Deliveries > 0,
          fmt::format("deliveries {}", Relay->Deliveries),
          Relay->RetryAfter,
          deliveries};
}

AttemptResult Attempt::classifyUpstreamResponse() const {
  if (ResponseMetadata.IsNotExecuted && !IsResponseIdentified)
    return {AttemptOutcome::Failed, Reason::CrossedAnswer, false, true,
            fmt::format("status {} without the request's id", ResponseStatus)};
  if (ResponseMetadata.IsNotExecuted) {
    const bool isWrongUpstream = ResponseStatus == StatusMisdirected;
    return {isWrongUpstream ? AttemptOutcome::WrongUpstream
                            : AttemptOutcome::Shed,
            isWrongUpstream ? Reason::WrongToken : Reason::UpstreamShed, true,
            true, fmt::format("status {}", ResponseStatus)};
  }
  const bool isSuccess = ResponseStatus >= 200 && ResponseStatus < 300;
  if (isSuccess && (!ResponseMetadata.IsSigned || ResponseMetadata.IsEncoded))
    return {AttemptOutcome::Failed, Reason::UnsignedAnswer, false, true,
            "successful response without the upstream's signature"};
  if (ResponseStatus >= 500)
    return {AttemptOutcome::Failed, Reason::UpstreamFailed, false, true,
            fmt::format("status {}", ResponseStatus)};
  return {};
}

bool Attempt::isForCaller(const Exchange &exchange,
                          const AttemptResult &result) const {
  if (Relay && Relay->Execution != Verdict::Ran)
    return false;
  return result.End == AttemptOutcome::Served ||
         (result.Cause == Reason::UpstreamFailed &&
          !Handler.wouldRetry(exchange));
}

void Attempt::appendBody(std::string &out, std::string_view bytes) const {
  if (bytes.empty())
    return;
  if (IsChunkedResponse)
    fmt::format_to(std::back_inserter(out), "{:x}\r\n{}\r\n", bytes.size(),
                   bytes);
  else
    out.append(bytes);
}

/// Moves the buffered response to the caller's connection, starting with the
/// response head.
void Attempt::forwardToCaller(bool isWhole) {
  const auto exchange = ParentExchange.lock();
  if (!exchange || exchange->IsCallerDisconnected)
    return;
  std::string &out = exchange->Response.Bytes;
  if (!IsForwarding) {
    IsForwarding = true;
    exchange->Response.IsStarted = true;
    const bool isBodyless = hasNoBody(exchange->Head, ResponseStatus);
    const bool isLengthKnown = isWhole || ResponseHead.BodyLength.has_value();
    IsChunkedResponse = !isBodyless && !isLengthKnown;
    if (IsChunkedResponse && exchange->Head.Version < 11) {
      IsChunkedResponse = false;
      exchange->Response.MustClose = true;
      exchange->Response.EndsWithConnection = true;
    }
    if (!exchange->Body.isWhole() ||
        (Handler.isDraining() && !exchange->HasSuccessor))
      exchange->Response.MustClose = true;
    fmt::format_to(std::back_inserter(out), "HTTP/1.1 {} {}\r\n",
                   ResponseStatus, ResponseHead.ReasonPhrase);
    for (const auto &[name, value] : ResponseHead.Headers) {
      if (!http::isHopByHop(ResponseHead.Headers, name) &&
          !isRelayField(name) &&
          (isBodyless ||
           (name != "Content-Length" && name != "content-length")))
        fmt::format_to(std::back_inserter(out), "{}: {}\r\n", name, value);
    }
    if (exchange->Relayed)
      appendRelayResult(out, {exchange->Relayed->Request.Number, Verdict::Ran,
                              Reason::None, exchange->DeliveryCount + 1,
                              Duration(), upstreamProcess()});
    if (IsChunkedResponse)
      out += "Transfer-Encoding: chunked\r\n";
    else if (!isBodyless && isLengthKnown)
      fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n",
                     isWhole ? ResponseBody.size() : *ResponseHead.BodyLength);
    if (exchange->Response.MustClose || !exchange->Head.IsKeepAlive)
      out += "Connection: close\r\n";
    out += "\r\n";
  }
  if (!hasNoBody(exchange->Head, ResponseStatus))
    appendBody(out, ResponseBody);
  ResponseBody.clear();
  if (isWhole) {
    if (IsChunkedResponse)
      out += "0\r\n\r\n";
    exchange->Response.IsWhole = true;
    exchange->IsFinished = true;
  }
  if (exchange->OnResponse)
    exchange->OnResponse();
}

void Attempt::onResponseBody(std::string bytes) {
  const auto self = shared_from_this(); // forwarding may end the exchange
  ResponseBody += bytes;
  const auto exchange = ParentExchange.lock();
  if (!exchange)
    return;
  if (!IsForwarding) {
    if (ResponseBody.size() <= MaxBufferedResponseBytes)
      return;
    const AttemptResult result = classifyResponse();
    if (!isForCaller(*exchange, result)) {
      // The rest of the response is of no use and may have no end.
      Connection->close();
      finish(result);
      return;
    }
  }
  forwardToCaller(false);
  if (HasEnded)
    return;
  if (exchange->Response.Bytes.size() > MaxUnsentBytes) {
    IsPaused = true;
    Connection->setPaused(true);
  }
}

void Attempt::onResponseConsumed() {
  const auto exchange = ParentExchange.lock();
  if (IsPaused && exchange &&
      exchange->Response.Bytes.size() < MaxUnsentBytes / 2) {
    IsPaused = false;
    Connection->setPaused(false);
  }
}

void Attempt::onResponseEnd() {
  const auto self = shared_from_this();
  if (!HasResponseHead) {
    onConnectionLost("response without a head", true);
    return;
  }
  const AttemptResult result = classifyResponse();
  const auto exchange = ParentExchange.lock();
  if (exchange && (IsForwarding || isForCaller(*exchange, result)))
    forwardToCaller(true);
  finish(result);
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
    result.Cause =
        HasResponseHead ? Reason::CutOffAnswer : Reason::ConnectionLost;
  }
  const auto exchange = ParentExchange.lock();
  if (IsForwarding && exchange) {
    exchange->Response.IsBroken = true;
    exchange->IsFinished = true;
    if (exchange->OnResponse)
      exchange->OnResponse();
  }
  finish(result);
}

void Attempt::finish(const AttemptResult &result) {
  if (HasEnded)
    return;
  HasEnded = true;
  if (const auto exchange = ParentExchange.lock())
    Handler.onAttemptEnd(exchange, *this, result);
}

} // namespace waxwing
