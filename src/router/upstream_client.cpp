/**
 * @file upstream_client.cpp
 * Sends attempts as HTTP requests.
 */
#include "router/upstream_client.h"

#include "upstream/upstream_protocol.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>

namespace waxwing {
namespace {

constexpr Duration ProbeTimeout = milliseconds(500);
constexpr Duration CancelTimeout = milliseconds(500);
/// Time between attempts to pass results on while the result ring is full.
constexpr Duration ReportRetryPeriod = milliseconds(1);

/// @return whether a caller's header is copied to the forwarded request
bool isForwardedHeader(const HttpHeader &header) {
  static const std::vector<std::string_view> allowed{
      "Content-Type", "Accept", "Accept-Encoding", "Idempotency-Key", "Range"};
  HttpHeaders headers;
  headers.add(header.Name, "");
  return std::ranges::any_of(
      allowed, [&](std::string_view name) { return headers.contains(name); });
}

HttpRequest prepareRequest(const StartAttempt &attempt,
                           const std::string &wireId, Time now) {
  HttpRequest request;
  request.Method = attempt.Message->Method;
  request.Target = attempt.Message->Target;
  request.Body = attempt.Message->Body;
  for (const HttpHeader &header : attempt.Message->Headers.rows())
    if (isForwardedHeader(header))
      request.Headers.add(header.Name, header.Value);
  request.Headers.add(std::string(RequestIdHeader), wireId);
  const auto left = std::chrono::duration_cast<milliseconds>(
      std::max(attempt.Deadline - now, Duration()));
  request.Headers.add(std::string(DeadlineHeader),
                      std::to_string(left.count()));
  if (const auto *target = std::get_if<UpstreamTarget>(&attempt.Target)) {
    if (target->Owned) {
      request.Headers.add(std::string(UnitHeader),
                          formatUnit(target->Owned->Unit));
      request.Headers.add(std::string(TokenHeader),
                          std::to_string(target->Owned->Fence.Value));
      request.Headers.add(std::string(KeyHashHeader),
                          std::to_string(target->Key.Value));
    }
  } else {
    const auto &router = std::get<RouterTarget>(attempt.Target);
    const bool isIdempotency =
        router.Purpose == ForwardPurpose::IdempotencyHome;
    request.Headers.add(std::string(TierHeader), router.Tier.Value);
    request.Headers.add(std::string(CallerHeader), attempt.Caller.Value);
    request.Headers.add(
        std::string(PurposeHeader),
        std::string(isIdempotency ? IdempotencyPurpose : UpstreamPurpose));
  }
  return request;
}

const Endpoint &addressOf(const AttemptTarget &target) {
  return std::visit(
      [](const auto &it) -> const Endpoint & { return it.Address; }, target);
}

} // namespace

UpstreamClient::UpstreamClient(std::size_t connections,
                               std::function<void()> wakeDecisionThread)
    : DirectClient(Io, connections), ForwardClient(Io, MaxForwardConnections),
      Commands(AttemptLimit,
               [this] {
                 Io.post([this] {
                   Commands.drain([this](UpstreamCommand &&command) {
                     std::visit(
                         [this](auto &&it) {
                           execute(std::forward<decltype(it)>(it));
                         },
                         std::move(command));
                   });
                 });
               }),
      AttemptResults(AttemptLimit, wakeDecisionThread),
      ProbeResults(ProbeRingCapacity, wakeDecisionThread),
      ClosedConnections(ProbeRingCapacity, std::move(wakeDecisionThread)),
      WireIdPrefix(fmt::format("{:x}", std::random_device()())) {
  DirectClient.onPeerClosed([this](const Endpoint &address) {
    ClosedConnections.push(LastConnectionClosed{address});
  });
}

void UpstreamClient::execute(StartAttempt attempt) {
  const std::string wireId =
      fmt::format("{}-{}", WireIdPrefix, attempt.Attempt.Value);
  HttpRequest request = prepareRequest(attempt, wireId, readClock());
  const AttemptId id = attempt.Attempt;
  InFlightAttempt &exchange = InFlightAttempts[id];
  exchange.To = addressOf(attempt.Target);
  exchange.WireId = wireId;
  exchange.IsForwarded = std::holds_alternative<RouterTarget>(attempt.Target);
  exchange.ClientId =
      clientOf(exchange).send(exchange.To, std::move(request), attempt.Deadline,
                              [this, id](HttpOutcome outcome) {
                                handleOutcome(id, std::move(outcome));
                              });
}

void UpstreamClient::execute(const CancelAttempt &attempt) {
  const auto it = InFlightAttempts.find(attempt.Attempt);
  if (it != InFlightAttempts.end())
    clientOf(it->second).cancel(it->second.ClientId);
}

void UpstreamClient::execute(const ProbeUpstream &probe) {
  HttpRequest request;
  request.Target = std::string(StatusPath);
  const Time now = readClock();
  DirectClient.sendUnpooled(
      probe.Address, std::move(request), now + ProbeTimeout,
      [this, upstream = probe.Upstream, now](const HttpOutcome &outcome) {
        const bool isAnswered = outcome.Progress == HttpProgress::Answered;
        ProbeResults.push({upstream, isAnswered, outcome.IsRefused, now});
      });
}

void UpstreamClient::execute(const CloseIdleConnections &command) {
  const auto it = InFlightAttempts.find(command.Attempt);
  if (it != InFlightAttempts.end())
    clientOf(it->second).closeIdle(it->second.To, command.StartedAt);
}

void UpstreamClient::handleOutcome(AttemptId attempt, HttpOutcome outcome) {
  const auto it = InFlightAttempts.find(attempt);
  const InFlightAttempt exchange = std::move(it->second);
  InFlightAttempts.erase(it);
  const AttemptClassification end =
      exchange.IsForwarded ? classifyRouterOutcome(outcome, exchange.WireId)
                           : classifyUpstreamOutcome(outcome, exchange.WireId);
  // The response carried the id of another request, so further data on this
  // connection would also belong to other requests.
  if (end.FailureReason == Reason::CrossedAnswer)
    clientOf(exchange).closeConnection(exchange.To, outcome.ConnectionId);
  if (outcome.Progress == HttpProgress::Cancelled && !exchange.IsForwarded)
    notifyCancelled(exchange);
  reportResult({attempt, end.FailureReason, end.Proven, end.RetryAfter,
                outcome.ConnectionId, std::move(outcome.Response)});
}

void UpstreamClient::notifyCancelled(const InFlightAttempt &exchange) {
  HttpRequest request;
  request.Method = "POST";
  request.Target = std::string(CancelPath);
  request.Headers.add(std::string(RequestIdHeader), exchange.WireId);
  DirectClient.send(exchange.To, std::move(request),
                    readClock() + CancelTimeout, [](const HttpOutcome &) {});
}

void UpstreamClient::reportResult(AttemptEnded end) {
  UnreportedResults.push_back(std::move(end));
  flushUnreportedResults();
}

void UpstreamClient::flushUnreportedResults() {
  while (!UnreportedResults.empty()) {
    if (!AttemptResults.push(std::move(UnreportedResults.front()))) {
      Io.runAt(readClock() + ReportRetryPeriod,
               [this] { flushUnreportedResults(); });
      return;
    }
    UnreportedResults.pop_front();
  }
}

} // namespace waxwing
