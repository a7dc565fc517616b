/**
 * @file gateway_send.cpp
 * Attempts to send requests to upstreams, their outcomes, and retries.
 */
#include "node/gateway.h"
#include "node/node_log.h"
#include "table/reasons.h"

#include <algorithm>
#include <utility>

namespace waxwing {
namespace {

/// Connections that were idle for longer than this are not used for requests
/// that must not be executed twice: the peer may close an idle connection just
/// as the request is sent, which cannot be distinguished from a lost response.
constexpr Duration MaxIdleTimeForNonIdempotent = milliseconds(6000);
/// Maximum wait after an upstream rejected a key as not held, unless another
/// map entry of the range arrives earlier. The leader resends a lost grant
/// within this time.
constexpr Duration MaxOwnerUpdateWait = milliseconds(250);
/// @param uncountedExecutions deliveries that may have been executed and are
/// not
///   counted in the exchange yet
RetryInput retryInput(const Exchange &exchange, int uncountedExecutions,
                      Time now) {
  return {exchange.MatchedRoute->Kind,
          exchange.PossibleExecutionCount + uncountedExecutions,
          exchange.DeliveryCount - exchange.PossibleExecutionCount,
          exchange.MatchedRoute->MaxAttempts,
          exchange.TimeoutAt - now,
          exchange.Body.isStored()};
}

} // namespace

void Gateway::send(const std::shared_ptr<Exchange> &exchange,
                   Upstream &upstream, Time now) {
  const bool isRetryable = exchange->mayRetry();
  const Endpoint &address = upstream.Entry.Address;
  auto connection = Pool.acquire(address, now,
                                 isRetryable ? Duration(seconds(60))
                                             : MaxIdleTimeForNonIdempotent,
                                 exchange->UsedConnections);
  const bool isNew = connection == nullptr;
  if (isNew) {
    connection = Pool.open(
        address, [this, id = upstream.Entry.Id, now](ConnectOutcome outcome) {
          Links.onConnectEnd(id, now, outcome);
        });
    ++Counters.Connections;
  }
  const Duration listAge =
      UpstreamsCompleteAt ? now - UpstreamsCompleteAt() : Duration();
  SentListAges.add(listAge);
  ++Counters.Sent;
  if (exchange->DeliveryCount > 0)
    ++Counters.Retried;
  Upstreams.countSentRequest(upstream, now);
  Limits.onSending(upstream, now);
  exchange->TriedUpstreams.insert(upstream.Entry.Id);
  exchange->LastUpstream = {upstream.Entry.Id, upstream.Entry.StartedAtMs};
  exchange->UsedConnections.push_back(connection);
  exchange->CurrentAttempt = std::make_shared<Attempt>(
      *this, exchange, upstream.Entry, std::move(connection), isNew);
  logLine(
      LogPriority::Routine, now, "sent",
      "request={} service={} upstream={} entry_rev={} config={} busy={:.1f} "
      "cost={:.2f} attempt={} new_connection={} waited_ms={} left_ms={} "
      "list_age_ms={}",
      sanitizeForLog(exchange->Meta.Id), exchange->Service.Value,
      upstream.Entry.Id.Value, upstream.EntryRevision,
      exchange->Config->config().Version, upstream.Load.busy(now),
      upstream.Load.cost(upstream.Entry.Slots, now),
      exchange->DeliveryCount + 1, isNew,
      toMilliseconds(now - exchange->ArrivedAt),
      toMilliseconds(exchange->TimeoutAt - now), toMilliseconds(listAge));
  exchange->CurrentAttempt->start(now);
}

void Gateway::onLoadReport(const UpstreamId &id,
                           const platform::LoadReport &report) {
  if (Upstream *upstream = Upstreams.find(id))
    upstream->Load.onLoadReport(
        {report.Running, report.Waiting, report.Slots, report.SlownessPercent},
        bootNow());
}

void Gateway::onLeavingAnnounced(const UpstreamProcess &process) {
  noteLeaving(process, bootNow());
}

void Gateway::noteLeaving(const UpstreamProcess &process, Time now) {
  if (!Upstreams.leaving().note(process, now))
    return;
  ++Counters.LeavingUpstreams;
  logLine(LogPriority::StateChange, now, "upstream_leaving",
          "upstream={} born={}", sanitizeForLog(process.Id.Value),
          process.StartedAtMs);
  if (OnUpstreamLeaving)
    OnUpstreamLeaving();
}

void Gateway::onPauseAsked(const UpstreamEntry &upstream,
                           std::chrono::duration<double> pause) {
  const Time now = bootNow();
  const auto until =
      Upstreams.pause(upstream.Id, upstream.StartedAtMs, pause, now);
  if (!until)
    return;
  ++Counters.UpstreamPauses;
  logLine(LogPriority::Failure, now, "upstream_paused",
          "upstream={} service={} for_ms={}", sanitizeForLog(upstream.Id.Value),
          sanitizeForLog(upstream.Service.Value), toMilliseconds(*until - now));
}

void Gateway::onLimitNamed(const UpstreamProcess &process,
                           std::optional<double> perS) {
  Limits.onNamed(process, perS, bootNow());
}

bool Gateway::wouldRetry(const Exchange &exchange) const {
  const Time now = bootNow();
  // The failed attempt is not counted in the exchange yet.
  return !mayBeCut(exchange, now) &&
         decideRetry(retryInput(exchange, 1, now)) == RetryDecision::Retry;
}

void Gateway::onAttemptEnd(const std::shared_ptr<Exchange> &exchange,
                           Attempt &attempt, const AttemptResult &result) {
  const Time now = bootNow();
  const auto self = std::exchange(exchange->CurrentAttempt, nullptr);
  const Duration latency = now - attempt.startedAt();
  recordAttemptEnd(attempt, result, now);
  recordCrashEvidence(*exchange, attempt, result, now);
  if (result.IsDelivered) {
    exchange->DeliveryCount += result.Deliveries;
    if (!result.IsNotExecuted)
      ++exchange->PossibleExecutionCount;
  }
  if (result.Cause != Reason::None)
    exchange->LastReason = result.Cause;
  if (result.End == AttemptOutcome::WrongUpstream &&
      attempt.upstream() != nullptr)
    onRejected(exchange, attempt, now);
  if (exchange->IsFinished) {
    const platform::LoadReport load =
        attempt.load().value_or(platform::LoadReport{});
    if (exchange->Response.IsWhole && exchange->Relayed) {
      ++Counters.RelayedServed;
    } else if (exchange->Response.IsWhole) {
      ++Counters.Answered;
      const std::string &route = exchange->MatchedRoute->Name;
      Latencies[route].add(now - exchange->ArrivedAt);
    }
    logLine(result.End == AttemptOutcome::Served ? LogPriority::Routine
                                                 : LogPriority::Failure,
            now, exchange->Response.IsWhole ? "answered" : "answer_broken",
            "request={} upstream={} peer={} status={} cause={} latency_ms={} "
            "total_ms={} running={} waiting={} slowness={} detail={}",
            sanitizeForLog(exchange->Meta.Id), attempt.upstreamId().Value,
            sanitizeForLog(std::string(attempt.peerName())),
            attempt.responseStatus(), reasonInfo(result.Cause).Name,
            toMilliseconds(latency), toMilliseconds(now - exchange->ArrivedAt),
            load.Running, load.Waiting, load.SlownessPercent,
            sanitizeForLog(result.Detail));
    onExchangeFinished(exchange);
    return;
  }
  logLine(LogPriority::Failure, now, "attempt_failed",
          "request={} upstream={} peer={} cause={} not_run={} latency_ms={} "
          "new_connection={} detail={}",
          sanitizeForLog(exchange->Meta.Id), attempt.upstreamId().Value,
          sanitizeForLog(std::string(attempt.peerName())),
          reasonInfo(result.Cause).Name, result.IsNotExecuted,
          toMilliseconds(latency), attempt.isNewConnection(),
          sanitizeForLog(result.Detail));
  retryOrFinish(exchange, result, now);
}

void Gateway::recordCrashEvidence(const Exchange &exchange,
                                  const Attempt &attempt,
                                  const AttemptResult &result, Time now) {
  const UpstreamProcess process = attempt.upstreamProcess();
  const bool isLost = result.Cause == Reason::ConnectionLost ||
                      result.Cause == Reason::CutOffAnswer;
  if (isLost && result.IsDelivered && !process.Id.Value.empty())
    Crashes.onRequestLost(exchange.Fingerprint, process, now);
  const bool isExecuted =
      result.Cause == Reason::None || result.Cause == Reason::UpstreamFailed;
  if (isExecuted && attempt.hasResponseHead())
    Crashes.onRequestExecuted(exchange.Fingerprint, now);
}

/// An upstream of a service divided by key may not hold the key. Any other
/// rejection means that the address is in use by another process.
void Gateway::onRejected(const std::shared_ptr<Exchange> &exchange,
                         const Attempt &attempt, Time now) {
  const UpstreamEntry &target = *attempt.upstream();
  const Upstream *successor = Upstreams.findOtherAt(target.Address, target.Id);
  if (isDividedByKey(exchange->Service) && successor == nullptr) {
    exchange->FenceOfRejectedKey = exchange->SentFence;
    // The keys of a leaving owner get another one soon.
    exchange->WaitForOwnerUntil = Upstreams.isLeaving(target.Id)
                                      ? exchange->TimeoutAt
                                      : now + MaxOwnerUpdateWait;
    exchange->TriedUpstreams.clear();
    if (OnKeyRejected)
      OnKeyRejected();
    return;
  }
  if (Upstreams.markMisaddressed(target.Id, target.StartedAtMs))
    logLine(
        LogPriority::StateChange, now, "upstream_misaddressed",
        "upstream={} service={} address={} answered_by={}",
        sanitizeForLog(target.Id.Value), sanitizeForLog(target.Service.Value),
        formatEndpoint(target.Address),
        successor == nullptr ? "-" : sanitizeForLog(successor->Entry.Id.Value));
  Crashes.onProcessEnded({target.Id, target.StartedAtMs}, now);
  // The repeated delivery reached the service that uses the address now.
  if (successor != nullptr && successor->Entry.Service != exchange->Service &&
      exchange->DeliveryCount > 1)
    retryBudget(successor->Entry.Service).addRepeatedAttempt(now);
}

void Gateway::retryOrFinish(const std::shared_ptr<Exchange> &exchange,
                            const AttemptResult &result, Time now) {
  const bool isAllowed =
      !mayBeCut(*exchange, now) &&
      decideRetry(retryInput(*exchange, 0, now)) == RetryDecision::Retry &&
      (!result.IsDelivered ||
       retryBudget(exchange->Service)
           .tryConsume(now, static_cast<int>(Context.Vms.size())));
  if (!isAllowed) {
    refuse(exchange, result.Cause,
           result.RetryAfter > Duration() ? result.RetryAfter
           : isRefusing(now)              ? ShutdownRetryAfter
                             : admission(*exchange, now, true).RetryAfter);
    return;
  }
  dispatch(exchange);
}

} // namespace waxwing
