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

/// Connections that were idle for longer are not used for requests that must
/// not be executed twice: if the peer closes one just then, this cannot be
/// distinguished from a lost response.
constexpr Duration SafeIdle = milliseconds(6000);
/// Maximum wait after an upstream rejected a key as not held, unless another
/// map entry of the range arrives earlier. A lost grant is resent within it.
constexpr Duration OwnerPause = milliseconds(250);
/// Deliveries that certainly were not executed, allowed in addition to the
/// route's attempts.
constexpr int MaxNotRunSends = 4;
/// A request is not retried if less time than this is left.
constexpr Duration LeastTimeToRepeat = milliseconds(30);

} // namespace

void Gateway::send(const std::shared_ptr<Exchange> &exchange,
                   Upstream &upstream, Time now) {
  const bool isSafe = exchange->mayRepeat();
  const Endpoint &address = upstream.Entry.Address;
  auto connection =
      Pool.take(address, now, isSafe ? Duration(seconds(60)) : SafeIdle);
  const bool isNew = connection == nullptr;
  if (isNew) {
    connection = Pool.open(address);
    ++Counters.Connections;
  }
  ++Counters.Sent;
  if (exchange->Sends > 0)
    ++Counters.Repeated;
  Upstreams.countSentRequest(upstream, now);
  exchange->Tried.insert(upstream.Entry.Id);
  exchange->Current = std::make_shared<Attempt>(*this, exchange, upstream.Entry,
                                                std::move(connection), isNew);
  logLine(
      LineWeight::Routine, now, "sent",
      "request={} service={} upstream={} entry_rev={} config={} busy={:.1f} "
      "cost={:.2f} attempt={} new_connection={} waited_ms={} left_ms={}",
      logSafe(exchange->Meta.Id), exchange->Service.Value,
      upstream.Entry.Id.Value, upstream.EntryRevision,
      exchange->Config->config().Version, upstream.Load.busy(now),
      upstream.Load.cost(upstream.Entry.Slots, now), exchange->Sends + 1, isNew,
      toMilliseconds(now - exchange->ArrivedAt),
      toMilliseconds(exchange->TimeoutAt - now));
  exchange->Current->start(now);
}

void Gateway::onLoadReport(const UpstreamId &id,
                           const platform::LoadReport &report) {
  if (Upstream *upstream = Upstreams.find(id))
    upstream->Load.onLoadReport(
        {report.Running, report.Waiting, report.Slots, report.SlownessPercent},
        bootNow());
}

bool Gateway::wouldRepeat(const Exchange &exchange) const {
  return exchange.mayRepeat() && !exchange.IsBodySentOn &&
         exchange.RunSends + 1 < exchange.Matched->MaxAttempts &&
         exchange.TimeoutAt - bootNow() > LeastTimeToRepeat;
}

void Gateway::onAttemptEnd(const std::shared_ptr<Exchange> &exchange,
                           Attempt &attempt, const AttemptResult &result) {
  const Time now = bootNow();
  const auto self = std::exchange(exchange->Current, nullptr);
  const Duration latency = now - attempt.startedAt();
  if (Upstream *upstream = Upstreams.find(attempt.upstream().Id))
    upstream->Load.onAttemptEnd(result.End, latency, now);
  if (result.End == AttemptOutcome::ConnectionBroken ||
      result.End == AttemptOutcome::NotConnected)
    Pool.drop(attempt.upstream().Address);
  else
    Pool.give(attempt.connection());
  if (result.IsArrived) {
    ++exchange->Sends;
    if (!result.IsNotExecuted)
      ++exchange->RunSends;
  }
  if (result.End == AttemptOutcome::NotConnected && attempt.isNewConnection())
    ++Counters.FailedConnections;
  if (result.Cause != Reason::None)
    exchange->LastReason = result.Cause;
  if (result.End == AttemptOutcome::WrongUpstream && OnMisplaced)
    OnMisplaced();
  if (exchange->IsFinished) {
    const platform::LoadReport load =
        attempt.load().value_or(platform::LoadReport{});
    if (exchange->Answer.IsWhole) {
      ++Counters.Answered;
      const std::string &route = exchange->Matched->Name;
      Latencies[route].add(now - exchange->ArrivedAt);
    }
    logLine(result.End == AttemptOutcome::Served ? LineWeight::Routine
                                                 : LineWeight::Notable,
            now, exchange->Answer.IsWhole ? "answered" : "answer_broken",
            "request={} upstream={} status={} cause={} latency_ms={} "
            "total_ms={} running={} waiting={} slowness={} detail={}",
            logSafe(exchange->Meta.Id), attempt.upstream().Id.Value,
            attempt.answerStatus(), reasonInfo(result.Cause).Name,
            toMilliseconds(latency), toMilliseconds(now - exchange->ArrivedAt),
            load.Running, load.Waiting, load.SlownessPercent,
            logSafe(result.Detail));
    noteFinished(exchange);
    return;
  }
  logLine(LineWeight::Notable, now, "attempt_failed",
          "request={} upstream={} cause={} not_run={} latency_ms={} "
          "new_connection={} detail={}",
          logSafe(exchange->Meta.Id), attempt.upstream().Id.Value,
          reasonInfo(result.Cause).Name, result.IsNotExecuted,
          toMilliseconds(latency), attempt.isNewConnection(),
          logSafe(result.Detail));
  retryOrFinish(exchange, result, now);
}

void Gateway::retryOrFinish(const std::shared_ptr<Exchange> &exchange,
                            const AttemptResult &result, Time now) {
  const bool mayRunAgain = exchange->RunSends == 0 || exchange->mayRepeat();
  const int notRun = exchange->Sends - exchange->RunSends;
  const bool hasAttempts =
      exchange->RunSends < exchange->Matched->MaxAttempts &&
      notRun <= MaxNotRunSends;
  const bool hasTime = exchange->TimeoutAt - now > LeastTimeToRepeat;
  const bool isWhole = !exchange->IsBodySentOn;
  bool isAllowed = mayRunAgain && hasAttempts && hasTime && isWhole;
  if (isAllowed && result.IsArrived)
    isAllowed = allowance(exchange->Service)
                    .tryConsume(now, static_cast<int>(Context.Vms.size()));
  if (!isAllowed) {
    const AdmissionDecision decision = admission(*exchange, now, true);
    refuse(exchange, result.Cause, decision.RetryAfter);
    return;
  }
  if (result.End == AttemptOutcome::WrongUpstream) {
    const RangeRow *row = findRow(*exchange);
    exchange->MisplacedFence = row == nullptr ? 0 : row->Fence;
    exchange->AwaitOwnerUntil = now + OwnerPause;
    exchange->Tried.clear();
  }
  place(exchange);
}

} // namespace waxwing
