/**
 * @file caller_edge.cpp
 * Converts callers' HTTP requests to typed requests, and results to HTTP
 * responses.
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

/// Response headers that apply to one connection only and are not forwarded.
constexpr std::array<std::string_view, 8> HopByHopHeaders{
    "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection",
    "TE",         "Trailer",    "Transfer-Encoding",  "Upgrade"};

bool isEndToEndHeader(const HttpHeader &header) {
  if (absl::StartsWithIgnoreCase(header.Name,
                                 std::string(InternalHeaderPrefix)))
    return false;
  return std::ranges::none_of(HopByHopHeaders, [&](std::string_view name) {
    return absl::EqualsIgnoreCase(header.Name, std::string(name));
  });
}

/// @return the upstream's response without hop-by-hop and internal headers,
///   with the execution verdict (that the request was executed) added
HttpResponse toCallerResponse(HttpResponse &&upstreamResponse) {
  HttpResponse response{
      upstreamResponse.Status, {}, std::move(upstreamResponse.Body)};
  for (const HttpHeader &header : upstreamResponse.Headers.rows())
    if (isEndToEndHeader(header))
      response.Headers.add(header.Name, header.Value);
  response.Headers.add(std::string(VerdictHeader),
                       std::string(verdictName(Verdict::Ran)));
  return response;
}

std::uint64_t contentHashOf(const HttpRequest &message) {
  const std::string text =
      fmt::format("{} {}\n{}", message.Method, message.Target, message.Body);
  return XXH3_64bits(text.data(), text.size());
}

HttpResponse errorResponse(Reason reason, Verdict verdict,
                           Duration retryAfter) {
  const ReasonInfo &info = reasonInfo(reason);
  HttpResponse response;
  response.Status = info.HttpStatus;
  response.Headers.add(std::string(VerdictHeader),
                       std::string(verdictName(verdict)));
  response.Headers.add(std::string(ReasonHeader), std::string(info.Name));
  if (retryAfter > Duration())
    response.Headers.add(
        "Retry-After",
        std::to_string(
            std::chrono::ceil<std::chrono::seconds>(retryAfter).count()));
  response.Body = std::string(info.Name) + "\n";
  return response;
}

/// @return the request, or std::nullopt if the target or deadline is malformed
std::optional<CallerRequest> parseCallerRequest(const HttpRequest &message,
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
  request.ContentHash = contentHashOf(message);
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

CallerEdge::CallerEdge(std::function<void()> wakeDecisionThread)
    : Events(EdgeRequestLimit, std::move(wakeDecisionThread)),
      Responses(EdgeRequestLimit,
                [this] {
                  Io.post([this] {
                    Responses.drain([this](SendResponse &&it) {
                      sendResponse(std::move(it));
                    });
                  });
                }),
      CallerServer(
          Io, {},
          [this](HttpExchange it) { handleRequest(std::move(it), false); }),
      ForwardServer(Io, {}, [this](HttpExchange it) {
        handleRequest(std::move(it), true);
      }) {
  CallerServer.onConnectionLost(
      [this](std::uint64_t id) { handleConnectionLost(id, false); });
  ForwardServer.onConnectionLost(
      [this](std::uint64_t id) { handleConnectionLost(id, true); });
}

absl::Status CallerEdge::listen(const Endpoint &callers,
                                const Endpoint &forwarded) {
  if (const absl::Status status = CallerServer.listen(callers); !status.ok())
    return status;
  return ForwardServer.listen(forwarded);
}

void CallerEdge::drain() {
  CallerServer.drain();
  ForwardServer.drain();
}

HttpReply CallerEdge::withRequestIdEcho(const HttpExchange &exchange) {
  return [reply = exchange.Reply,
          id = std::string(exchange.Request.Headers.find(RequestIdHeader))](
             HttpResponse response) {
    response.Headers.add(std::string(RequestIdHeader), id);
    reply(std::move(response));
  };
}

void CallerEdge::handleRequest(HttpExchange exchange, bool isForwarded) {
  if (isForwarded)
    exchange.Reply = withRequestIdEcho(exchange);
  auto request = parseCallerRequest(exchange.Request, isForwarded, readClock());
  if (!request) {
    exchange.Reply(
        errorResponse(Reason::BadRequest, Verdict::NotRun, Duration()));
    return;
  }
  request->Id = RequestId(NextRequestId++);
  request->Message =
      std::make_shared<const HttpRequest>(std::move(exchange.Request));
  const RequestId id = request->Id;
  if (PendingRequests.size() >= EdgeRequestLimit ||
      !Events.push(*std::move(request))) {
    ++RingRejections;
    exchange.Reply(
        errorResponse(Reason::RingFull, Verdict::NotRun, seconds(1)));
    return;
  }
  PendingRequests[id] = {std::move(exchange.Reply), exchange.ConnectionId,
                         isForwarded};
  ++InFlight;
}

void CallerEdge::sendResponse(SendResponse response) {
  const auto it = PendingRequests.find(response.Request);
  if (it == PendingRequests.end())
    return;
  const HttpReply reply = std::move(it->second.Reply);
  PendingRequests.erase(it);
  --InFlight;
  if (response.Cause != Reason::None) {
    HttpResponse error = errorResponse(
        response.Cause, response.ExecutionVerdict, response.RetryAfter);
    if (!response.Detail.empty())
      error.Body = response.Detail + "\n";
    reply(std::move(error));
    return;
  }
  reply(toCallerResponse(std::move(response.Response)));
}

void CallerEdge::handleConnectionLost(std::uint64_t connection,
                                      bool isForwarded) {
  for (const auto &[id, pending] : PendingRequests)
    if (pending.ConnectionId == connection &&
        pending.IsForwarded == isForwarded)
      Events.push(CallerDisconnected{id});
}

} // namespace waxwing
