/**
 * @file caller_edge.cpp
 * HTTP of callers to typed requests and back.
 */
#include "router/caller_edge.h"

#include "core/sha256_func.h"
#include "net/url_func.h"
#include "table/reasons.h"
#include "upstream/upstream_protocol.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <xxhash.h>

namespace waxwing {
namespace {

/// Methods that HTTP defines as idempotent.
constexpr std::array<std::string_view, 5> IdempotentMethods{
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS"};

constexpr std::string_view BearerPrefix = "Bearer ";

/// Headers of an upstream's answer that concern one connection only.
constexpr std::array<std::string_view, 8> ConnectionHeaders{
    "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection",
    "TE",         "Trailer",    "Transfer-Encoding",  "Upgrade"};

bool isPassedOn(const HttpHeader &header) {
  if (absl::StartsWithIgnoreCase(header.Name,
                                 std::string(InternalHeaderPrefix)))
    return false;
  return std::ranges::none_of(ConnectionHeaders, [&](std::string_view name) {
    return absl::EqualsIgnoreCase(header.Name, std::string(name));
  });
}

/// @return an upstream's answer as the caller may see it
HttpResponse passOn(HttpResponse &&answer) {
  HttpResponse response{answer.Status, {}, std::move(answer.Body)};
  for (const HttpHeader &header : answer.Headers.rows())
    if (isPassedOn(header))
      response.Headers.add(header.Name, header.Value);
  response.Headers.add(std::string(VerdictHeader),
                       std::string(verdictName(Verdict::Ran)));
  return response;
}

std::uint64_t fingerprintOf(const HttpRequest &message) {
  const std::string text =
      fmt::format("{} {}\n{}", message.Method, message.Target, message.Body);
  return XXH3_64bits(text.data(), text.size());
}

HttpResponse refusal(Reason why, Verdict proven, Duration retryAfter) {
  const ReasonInfo &info = reasonInfo(why);
  HttpResponse response;
  response.Status = info.HttpStatus;
  response.Headers.add(std::string(VerdictHeader),
                       std::string(verdictName(proven)));
  response.Headers.add(std::string(ReasonHeader), std::string(info.Name));
  if (retryAfter > Duration())
    response.Headers.add(
        "Retry-After",
        std::to_string(
            std::chrono::ceil<std::chrono::seconds>(retryAfter).count()));
  response.Body = std::string(info.Name) + "\n";
  return response;
}

/// @return the typed request, or nothing when the target is malformed
std::optional<CallerRequest> readRequest(const HttpRequest &message,
                                         bool isForwarded, Time now) {
  const auto target = parseTarget(message.Target);
  if (!target || target->Parts.size() < 2)
    return std::nullopt;
  CallerRequest request;
  request.Team = TeamId(target->Parts[0]);
  request.Service = qualify<ServiceId>(request.Team, target->Parts[1]);
  if (target->Parts.size() > 2)
    request.Key = target->Parts[2];
  request.IsIdempotent = std::ranges::find(IdempotentMethods, message.Method) !=
                         IdempotentMethods.end();
  const HttpHeaders &headers = message.Headers;
  const std::string_view credentials = headers.find("Authorization");
  if (credentials.starts_with(BearerPrefix))
    request.CallerKeySha256 =
        sha256Hex(credentials.substr(BearerPrefix.size()));
  if (headers.contains(IdempotencyHeader))
    request.IdempotencyKey = std::string(headers.find(IdempotencyHeader));
  const std::string deadline(headers.find(DeadlineHeader));
  std::int64_t ms = 0;
  if (!deadline.empty()) {
    if (!absl::SimpleAtoi(deadline, &ms) || ms < 0)
      return std::nullopt;
    request.Deadline = now + milliseconds(ms);
  }
  request.ArrivedAt = readWallClock();
  request.ContentHash = fingerprintOf(message);
  if (isForwarded) {
    request.ForwardedTier = TierId(std::string(headers.find(TierHeader)));
    request.ForwardedCaller = CallerId(std::string(headers.find(CallerHeader)));
    request.ForwardedFor = headers.find(PurposeHeader) == IdempotencyPurpose
                               ? ForwardPurpose::IdempotencyHome
                               : ForwardPurpose::UpstreamHome;
  }
  return request;
}

} // namespace

CallerEdge::CallerEdge(std::function<void()> wakeDecisions)
    : Events(EdgeRequestLimit, std::move(wakeDecisions)),
      Answers(EdgeRequestLimit,
              [this] {
                Io.post([this] {
                  Answers.drain(
                      [this](SendResponse &&it) { answer(std::move(it)); });
                });
              }),
      Callers(Io, {}, [this](HttpExchange it) { take(std::move(it), false); }),
      Forwarded(Io, {},
                [this](HttpExchange it) { take(std::move(it), true); }) {
  Callers.onConnectionLost(
      [this](std::uint64_t id) { loseConnection(id, false); });
  Forwarded.onConnectionLost(
      [this](std::uint64_t id) { loseConnection(id, true); });
}

absl::Status CallerEdge::listen(const Endpoint &callers,
                                const Endpoint &forwarded) {
  if (const absl::Status status = Callers.listen(callers); !status.ok())
    return status;
  return Forwarded.listen(forwarded);
}

void CallerEdge::drain() {
  Callers.drain();
  Forwarded.drain();
}

HttpReply CallerEdge::echoId(const HttpExchange &exchange) {
  return [reply = exchange.Reply,
          id = std::string(exchange.Request.Headers.find(RequestIdHeader))](
             HttpResponse response) {
    response.Headers.add(std::string(RequestIdHeader), id);
    reply(std::move(response));
  };
}

void CallerEdge::take(HttpExchange exchange, bool isForwarded) {
  if (isForwarded)
    exchange.Reply = echoId(exchange);
  auto request = readRequest(exchange.Request, isForwarded, readClock());
  if (!request) {
    exchange.Reply(refusal(Reason::BadRequest, Verdict::NotRun, Duration()));
    return;
  }
  request->Id = RequestId(NextRequest++);
  request->Message =
      std::make_shared<const HttpRequest>(std::move(exchange.Request));
  const RequestId id = request->Id;
  if (WaitingRequests.size() >= EdgeRequestLimit ||
      !Events.push(*std::move(request))) {
    ++RingRefusals;
    exchange.Reply(refusal(Reason::RingFull, Verdict::NotRun, seconds(1)));
    return;
  }
  WaitingRequests[id] = {std::move(exchange.Reply), exchange.ConnectionId,
                         isForwarded};
  ++InFlight;
}

void CallerEdge::answer(SendResponse answer) {
  const auto it = WaitingRequests.find(answer.Request);
  if (it == WaitingRequests.end())
    return;
  const HttpReply reply = std::move(it->second.Reply);
  WaitingRequests.erase(it);
  --InFlight;
  if (answer.Cause != Reason::None) {
    HttpResponse response =
        refusal(answer.Cause, answer.ExecutionVerdict, answer.RetryAfter);
    if (!answer.Detail.empty())
      response.Body = answer.Detail + "\n";
    reply(std::move(response));
    return;
  }
  reply(passOn(std::move(answer.Response)));
}

void CallerEdge::loseConnection(std::uint64_t connection, bool isForwarded) {
  for (const auto &[id, waiting] : WaitingRequests)
    if (waiting.ConnectionId == connection &&
        waiting.IsForwarded == isForwarded)
      Events.push(CallerDisconnected{id});
}

} // namespace waxwing
