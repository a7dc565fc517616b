/**
 * @file upstream_port.cpp
 * Attempts as HTTP exchanges.
 */
#include "router/upstream_port.h"

#include "upstream/upstream_protocol.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>

namespace waxwing {
namespace {

constexpr Duration ProbeTimeout = milliseconds(500);
constexpr Duration CancelTimeout = milliseconds(500);
constexpr Duration ReportRetryPeriod = milliseconds(1);

/// Headers of the caller that must not reach upstreams as they are.
bool isForwardedHeader(const HttpHeader &header) {
  static const std::vector<std::string_view> kept{
      "Content-Type", "Accept", "Accept-Encoding", "Idempotency-Key", "Range"};
  HttpHeaders probe;
  probe.add(header.Name, "");
  return std::ranges::any_of(
      kept, [&](std::string_view name) { return probe.contains(name); });
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

UpstreamPort::UpstreamPort(std::size_t connections,
                           std::function<void()> wakeDecisions)
    : Client(Io, connections), Forwards(Io, ForwardConnections),
      Commands(AttemptLimit,
               [this] {
                 Io.post([this] {
                   Commands.drain([this](PortCommand &&command) {
                     std::visit(
                         [this](auto &&it) {
                           carryOut(std::forward<decltype(it)>(it));
                         },
                         std::move(command));
                   });
                 });
               }),
      Ends(AttemptLimit, wakeDecisions), Probes(ProbeLimit, wakeDecisions),
      Closings(ProbeLimit, std::move(wakeDecisions)),
      WirePrefix(fmt::format("{:x}", std::random_device()())) {
  Client.onPeerClosed([this](const Endpoint &address) {
    Closings.push(LastConnectionClosed{address});
  });
}

void UpstreamPort::carryOut(StartAttempt attempt) {
  const std::string wireId =
      fmt::format("{}-{}", WirePrefix, attempt.Attempt.Value);
  HttpRequest request = prepareRequest(attempt, wireId, readClock());
  const AttemptId id = attempt.Attempt;
  Exchange &exchange = Exchanges[id];
  exchange.To = addressOf(attempt.Target);
  exchange.WireId = wireId;
  exchange.IsForwarded = std::holds_alternative<RouterTarget>(attempt.Target);
  exchange.ClientId = clientOf(exchange).send(
      exchange.To, std::move(request), attempt.Deadline,
      [this, id](HttpOutcome outcome) { finish(id, std::move(outcome)); });
}

void UpstreamPort::carryOut(const CancelAttempt &attempt) {
  const auto it = Exchanges.find(attempt.Attempt);
  if (it != Exchanges.end())
    clientOf(it->second).cancel(it->second.ClientId);
}

void UpstreamPort::carryOut(const ProbeUpstream &probe) {
  HttpRequest request;
  request.Target = std::string(StatusPath);
  const Time now = readClock();
  Client.sendUnpooled(
      probe.Address, std::move(request), now + ProbeTimeout,
      [this, upstream = probe.Upstream, now](const HttpOutcome &outcome) {
        const bool isAnswered = outcome.Progress == HttpProgress::Answered;
        Probes.push({upstream, isAnswered, outcome.IsRefused, now});
      });
}

void UpstreamPort::carryOut(const CloseIdleConnections &drop) {
  const auto it = Exchanges.find(drop.Attempt);
  if (it != Exchanges.end())
    clientOf(it->second).closeIdle(it->second.To, drop.StartedAt);
}

void UpstreamPort::finish(AttemptId attempt, HttpOutcome outcome) {
  const auto it = Exchanges.find(attempt);
  const Exchange exchange = std::move(it->second);
  Exchanges.erase(it);
  const AttemptClassification end =
      exchange.IsForwarded ? classifyRouterOutcome(outcome, exchange.WireId)
                           : classifyUpstreamOutcome(outcome, exchange.WireId);
  // Whatever else this connection brings belongs to another request.
  if (end.FailureReason == Reason::CrossedAnswer)
    clientOf(exchange).closeConnection(exchange.To, outcome.ConnectionId);
  if (outcome.Progress == HttpProgress::Cancelled && !exchange.IsForwarded)
    tellCancelled(exchange);
  report({attempt, end.FailureReason, end.Proven, end.RetryAfter,
          outcome.ConnectionId, std::move(outcome.Response)});
}

void UpstreamPort::tellCancelled(const Exchange &exchange) {
  HttpRequest request;
  request.Method = "POST";
  request.Target = std::string(CancelPath);
  request.Headers.add(std::string(RequestIdHeader), exchange.WireId);
  Client.send(exchange.To, std::move(request), readClock() + CancelTimeout,
              [](const HttpOutcome &) {});
}

void UpstreamPort::report(AttemptEnded end) {
  UnreportedEnds.push_back(std::move(end));
  reportWaiting();
}

void UpstreamPort::reportWaiting() {
  while (!UnreportedEnds.empty()) {
    if (!Ends.push(std::move(UnreportedEnds.front()))) {
      Io.runAt(readClock() + ReportRetryPeriod, [this] { reportWaiting(); });
      return;
    }
    UnreportedEnds.pop_front();
  }
}

} // namespace waxwing
