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
/// A request is not retried after more deliveries than this that upstreams
/// certainly did not execute. These do not count as attempts of the route.
constexpr int MaxDeliveriesNotExecuted = 4;
/// A request is not retried if less time than this is left.
constexpr Duration MinTimeForRetry = milliseconds(30);

} // namespace

void Gateway::send(const std::shared_ptr<Exchange> &exchange,
                   Upstream &upstream, Time now) {
  const bool isRetryable = exchange->mayRetry();
  const Endpoint &address = upstream.Entry.Address;
  auto connection = Pool.acquire(address, now,
                                 isRetryable ? Duration(seconds(60))
                                             : MaxIdleTimeForNonIdempotent);
  const bool isNew = connection == nullptr;
  if (isNew) {
    connection = Pool.open(address);
    ++Counters.Connections;
  }
  ++Counters.Sent;
  if (exchange->DeliveryCount > 0)
    ++Counters.Retried;
  Upstreams.countSentRequest(upstream, now);
  exchange->TriedUpstreams.insert(upstream.Entry.Id);
  exchange->CurrentAttempt = std::make_shared<Attempt>(
      *this, exchange, upstream.Entry, std::move(connection), isNew);
  logLine(
      LogPriority::Routine, now, "sent",
      "request={} service={} upstream={} entry_rev={} config={} busy={:.1f} "
      "cost={:.2f} attempt={} new_connection={} waited_ms={} left_ms={}",
      sanitizeForLog(exchange->Meta.Id), exchange->Service.Value,
      upstream.Entry.Id.Value, upstream.EntryRevision,
      exchange->Config->config().Version, upstream.Load.busy(now),
      upstream.Load.cost(upstream.Entry.Slots, now),
      exchange->DeliveryCount + 1, isNew,
      toMilliseconds(now - exchange->ArrivedAt),
      toMilliseconds(exchange->TimeoutAt - now));
  exchange->CurrentAttempt->start(now);
}

void Gateway::onLoadReport(const UpstreamId &id,
                           const platform::LoadReport &report) {
  if (Upstream *upstream = Upstreams.find(id))
    upstream->Load.onLoadReport(
        {report.Running, report.Waiting, report.Slots, report.SlownessPercent},
        bootNow());
}

bool Gateway::wouldRetry(const Exchange &exchange) const {
  return exchange.mayRetry() && !exchange.IsBodyForwarded &&
         exchange.PossibleExecutionCount + 1 <
             exchange.MatchedRoute->MaxAttempts &&
         exchange.TimeoutAt - bootNow() > MinTimeForRetry;
}

void Gateway::onAttemptEnd(const std::shared_ptr<Exchange> &exchange,
                           Attempt &attempt, const AttemptResult &result) {
  const Time now = bootNow();
  const auto self = std::exchange(exchange->CurrentAttempt, nullptr);
  const Duration latency = now - attempt.startedAt();
  if (Upstream *upstream = Upstreams.find(attempt.upstream().Id))
    upstream->Load.onAttemptEnd(result.End, latency, now);
  if (result.End == AttemptOutcome::ConnectionBroken ||
      result.End == AttemptOutcome::NotConnected)
    Pool.closeIdle(attempt.upstream().Address);
  else
    Pool.release(attempt.connection());
  if (result.IsDelivered) {
    ++exchange->DeliveryCount;
    if (!result.IsNotExecuted)
      ++exchange->PossibleExecutionCount;
  }
  if (result.End == AttemptOutcome::NotConnected && attempt.isNewConnection())
    ++Counters.FailedConnections;
  if (result.Cause != Reason::None)
    exchange->LastReason = result.Cause;
  if (result.End == AttemptOutcome::WrongUpstream && OnKeyRejected)
    OnKeyRejected();
  if (exchange->IsFinished) {
    const platform::LoadReport load =
        attempt.load().value_or(platform::LoadReport{});
    if (exchange->Response.IsWhole) {
      ++Counters.Answered;
      const std::string &route = exchange->MatchedRoute->Name;
      Latencies[route].add(now - exchange->ArrivedAt);
    }
    logLine(result.End == AttemptOutcome::Served ? LogPriority::Routine
                                                 : LogPriority::Failure,
            now, exchange->Response.IsWhole ? "answered" : "answer_broken",
            "request={} upstream={} status={} cause={} latency_ms={} "
            "total_ms={} running={} waiting={} slowness={} detail={}",
            sanitizeForLog(exchange->Meta.Id), attempt.upstream().Id.Value,
            attempt.responseStatus(), reasonInfo(result.Cause).Name,
            toMilliseconds(latency), toMilliseconds(now - exchange->ArrivedAt),
            load.Running, load.Waiting, load.SlownessPercent,
            sanitizeForLog(result.Detail));
    onExchangeFinished(exchange);
    return;
  }
  logLine(LogPriority::Failure, now, "attempt_failed",
          "request={} upstream={} cause={} not_run={} latency_ms={} "
          "new_connection={} detail={}",
          sanitizeForLog(exchange->Meta.Id), attempt.upstream().Id.Value,
          reasonInfo(result.Cause).Name, result.IsNotExecuted,
          toMilliseconds(latency), attempt.isNewConnection(),
          sanitizeForLog(result.Detail));
  retryOrFinish(exchange, result, now);
}

void Gateway::retryOrFinish(const std::shared_ptr<Exchange> &exchange,
                            const AttemptResult &result, Time now) {
  const bool mayRunAgain =
      exchange->PossibleExecutionCount == 0 || exchange->mayRetry();
  const int deliveriesNotExecuted =
      exchange->DeliveryCount - exchange->PossibleExecutionCount;
  const bool hasAttempts =
      exchange->PossibleExecutionCount < exchange->MatchedRoute->MaxAttempts &&
      deliveriesNotExecuted <= MaxDeliveriesNotExecuted;
  const bool hasTime = exchange->TimeoutAt - now > MinTimeForRetry;
  const bool isWhole = !exchange->IsBodyForwarded;
  bool isAllowed = mayRunAgain && hasAttempts && hasTime && isWhole;
  if (isAllowed && result.IsDelivered)
    isAllowed = retryBudget(exchange->Service)
                    .tryConsume(now, static_cast<int>(Context.Vms.size()));
  if (!isAllowed) {
    const AdmissionDecision decision = admission(*exchange, now, true);
    refuse(exchange, result.Cause, decision.RetryAfter);
    return;
  }
  if (result.End == AttemptOutcome::WrongUpstream) {
    const RangeRow *row = findRangeRow(*exchange);
    exchange->FenceOfRejectedKey = row == nullptr ? 0 : row->Fence;
    exchange->WaitForOwnerUntil = now + MaxOwnerUpdateWait;
    exchange->TriedUpstreams.clear();
  }
  dispatch(exchange);
}

} // namespace waxwing
