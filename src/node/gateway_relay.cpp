/**
 * @file gateway_relay.cpp
 * Requests that are passed from a VM without links to the upstreams to one that
 * has them. The first VM keeps the caller, the route, the timeouts and the
 * decision on retries; the second one chooses upstreams, as for its own
 * callers' requests.
 */
#include "node/gateway.h"
#include "node/node_log.h"
#include "table/reasons.h"

#include <utility>

namespace waxwing {
namespace {

/// VMs to which one request is passed at most. Each of them tries several
/// upstreams.
constexpr std::size_t MaxPeersPerRequest = 3;
/// Connections that were idle for longer are not used for requests that must
/// not be executed twice, since the other VM may be closing them.
constexpr Duration MaxIdleTimeForNonIdempotent = milliseconds(6000);
constexpr Duration MaxIdleTime = seconds(60);

/// @return what the outcome of a relayed attempt says about the other VM
RelayOutcome relayOutcome(const Attempt &attempt, const AttemptResult &result) {
  const bool isLost = result.End == AttemptOutcome::NotConnected ||
                      result.End == AttemptOutcome::ConnectionBroken;
  // A response that is cut off is the upstream's failure.
  if (isLost && !attempt.hasResponseHead())
    return RelayOutcome::Unreachable;
  const bool isUnable = result.Cause == Reason::NoLinks ||
                        result.Cause == Reason::Draining ||
                        result.Cause == Reason::NoConfiguration;
  return isUnable ? RelayOutcome::Unable : RelayOutcome::Working;
}

/// @return the terms of @p request as a route
Route makeTerms(const RelayRequest &request) {
  Route terms;
  terms.Name = "relayed";
  terms.Kind = request.Kind;
  terms.Timeout = request.TimeLeft;
  terms.TargetLatency = request.TargetLatency;
  terms.Priority = request.Priority;
  terms.MaxAttempts = 1;
  return terms;
}

/// @return the reason that another VM is told. VMs of earlier versions know it,
///   and take it for a reason of this VM and not of the request
Reason reasonForPeer(Reason reason) {
  if (reason == Reason::SuspectedCrasher)
    return Reason::NoUpstream;
  return reason == Reason::UpstreamLimited ? Reason::Overloaded : reason;
}

} // namespace

absl::Status Gateway::listenForPeers(const Endpoint &address) {
  return Relays.listen(address);
}

bool Gateway::tryRelay(const std::shared_ptr<Exchange> &exchange, Time now) {
  if (exchange->TriedPeers.size() >= MaxPeersPerRequest)
    return false;
  const auto target = Peers.choose(exchange->TriedPeers, randomFraction(),
                                   randomFraction(), now);
  if (!target)
    return false;
  auto connection = PeerPool.acquire(
      target->Address, now,
      exchange->mayRetry() ? MaxIdleTime : MaxIdleTimeForNonIdempotent);
  const bool isNew = connection == nullptr;
  if (isNew)
    connection = PeerPool.open(target->Address);
  ++Counters.RelayedSent;
  if (exchange->DeliveryCount > 0)
    ++Counters.Retried;
  Peers.onSent(target->Vm);
  exchange->TriedPeers.insert(target->Vm);
  const Route &route = *exchange->MatchedRoute;
  const Duration waited = now - exchange->ArrivedAt;
  const RelayRequest request{++LastRelayNumber,
                             exchange->Service,
                             route.Kind,
                             route.Priority,
                             std::max(route.TargetLatency - waited, Duration()),
                             exchange->TimeoutAt - now,
                             exchange->CallerDeadlineAt - now,
                             exchange->Caller};
  exchange->CurrentAttempt =
      std::make_shared<Attempt>(*this, exchange, RelayHop{*target, request},
                                std::move(connection), isNew);
  logLine(LogPriority::Routine, now, "relayed",
          "request={} service={} peer={} number={} config={} attempt={} "
          "new_connection={} waited_ms={} left_ms={}",
          sanitizeForLog(exchange->Meta.Id), exchange->Service.Value,
          sanitizeForLog(target->Vm.Value), request.Number,
          exchange->Config->config().Version, exchange->TriedPeers.size(),
          isNew, toMilliseconds(waited), toMilliseconds(request.TimeLeft));
  exchange->CurrentAttempt->start(now);
  return true;
}

void Gateway::recordAttemptEnd(const Attempt &attempt,
                               const AttemptResult &result, Time now) {
  const bool isLost = result.End == AttemptOutcome::ConnectionBroken ||
                      result.End == AttemptOutcome::NotConnected;
  if (const auto *hop = std::get_if<RelayHop>(&attempt.target())) {
    Peers.onEnd(hop->Peer.Vm, relayOutcome(attempt, result), now);
    if (isLost && !attempt.hasResponseHead())
      PeerPool.closeIdle(hop->Peer.Address);
    else
      PeerPool.release(attempt.connection());
    return;
  }
  const UpstreamEntry &entry = *attempt.upstream();
  Upstreams.onAttemptEnd(entry.Id, result.End, now - attempt.startedAt(), now);
  if (isLost)
    Pool.closeIdle(entry.Address);
  else
    Pool.release(attempt.connection());
  if (result.End == AttemptOutcome::NotConnected && attempt.isNewConnection())
    ++Counters.FailedConnections;
}

void Gateway::recordCancelled(const Attempt &attempt, Time now) {
  if (const auto *hop = std::get_if<RelayHop>(&attempt.target()))
    Peers.onEnd(hop->Peer.Vm, RelayOutcome::Cancelled, now);
  else if (Upstream *upstream = Upstreams.find(attempt.upstreamId()))
    upstream->Load.onAttemptEnd(AttemptOutcome::Cancelled, {}, now);
}

void Gateway::beginRelayed(const std::shared_ptr<Exchange> &exchange) {
  const Time now = bootNow();
  ++ActiveExchanges;
  exchange->Response.MustClose = !exchange->Head.IsKeepAlive;
  exchange->Config = Config;
  const auto request = readRelayRequest(exchange->Head.Headers);
  exchange->Relayed.emplace();
  exchange->CallerDeadlineAt = exchange->TimeoutAt = now;
  if (!request) {
    exchange->Response.MustClose = true;
    refuse(exchange, Reason::BadRequest, {});
    return;
  }
  exchange->Relayed->Request = *request;
  exchange->Caller = request->Caller;
  exchange->Relayed->Terms = makeTerms(*request);
  exchange->MatchedRoute = &exchange->Relayed->Terms;
  exchange->Service = request->Service;
  exchange->TimeoutAt = exchange->ArrivedAt + request->TimeLeft;
  exchange->CallerDeadlineAt = exchange->ArrivedAt + request->CallerTimeLeft;
  if (const Reason why = whyNotRelaying(*request); why != Reason::None) {
    refuse(exchange, why, {});
    return;
  }
  const bool isKeyMissing =
      isDividedByKey(request->Service) && !exchange->Meta.Key;
  if (isKeyMissing) {
    refuse(exchange, Reason::NoOwner, {});
    return;
  }
  armTimeout(exchange);
  if (exchange->Body.isReadyToSend())
    dispatch(exchange);
  else
    AwaitingBody.insert(exchange);
}

/// @return why this VM sends no requests of other VMs, or None if it does
Reason Gateway::whyNotRelaying(const RelayRequest &request) const {
  if (IsDraining)
    return Reason::Draining;
  if (!Config || Config->rules(request.Service) == nullptr)
    return Reason::NoConfiguration;
  return Links.areLinksWorking() ? Reason::None : Reason::NoLinks;
}

std::string Gateway::relayFields(const Exchange &exchange, Reason reason,
                                 Duration retryAfter) {
  std::string fields;
  if (exchange.Relayed)
    appendRelayResult(fields,
                      {exchange.Relayed->Request.Number,
                       exchange.PossibleExecutionCount > 0 ? Verdict::MayHaveRun
                                                           : Verdict::NotRun,
                       reasonForPeer(reason), exchange.DeliveryCount,
                       retryAfter, exchange.LastUpstream});
  return fields;
}

} // namespace waxwing
