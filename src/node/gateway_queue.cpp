/**
 * @file gateway_queue.cpp
 * Decides whether a request is sent, waits in the queue of its service or is
 * refused.
 */
#include "node/gateway.h"

#include "node/node_log.h"
#include "table/reasons.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Interval at which sending the queued requests is tried again. It is also
/// tried when a request ends and when the routing state changes.
constexpr Duration QueueCheckInterval = milliseconds(15);
/// Maximum age of a cached ServiceSummary.
constexpr Duration MaxSummaryAge = milliseconds(100);

} // namespace

void Gateway::insertIntoQueue(const std::shared_ptr<Exchange> &exchange) {
  exchange->IsQueued = true;
  RequestQueue &queue = Queues[exchange->Service];
  const auto behind =
      std::ranges::find_if(queue, [&](const std::shared_ptr<Exchange> &other) {
        return exchange->position() < other->position();
      });
  queue.insert(behind, exchange);
}

void Gateway::removeFromQueue(const std::shared_ptr<Exchange> &exchange) {
  AwaitingBody.erase(exchange);
  if (!exchange->IsQueued)
    return;
  exchange->IsQueued = false;
  Queues[exchange->Service].remove(exchange);
}

AdmissionDecision Gateway::admission(const Exchange &exchange, Time now,
                                     bool canBeServedLater) {
  AdmissionInput input;
  input.TimeLeft = exchange.TimeoutAt - now;
  input.TargetLatency = exchange.MatchedRoute->TargetLatency;
  input.Waited = now - exchange.ArrivedAt;
  input.CanBeServedLater = canBeServedLater;
  input.Pause = std::max(exchange.UpstreamsPausedUntil - now, Duration());
  const auto queue = Queues.find(exchange.Service);
  if (queue != Queues.end())
    input.QueuedAhead = static_cast<int>(std::ranges::count_if(
        queue->second, [&](const std::shared_ptr<Exchange> &other) {
          return other->position() <= exchange.position();
        }));
  const ServiceSummary &service = serviceSummary(exchange.Service, now);
  input.AvailableSlots = service.Slots / static_cast<double>(LinkedVmCount);
  input.TypicalProcessingTime = service.TypicalProcessingTime;
  const RangeRow *row = findRangeRow(exchange);
  const Upstream *owner = row == nullptr ? nullptr : Upstreams.find(row->Owner);
  if (owner != nullptr) {
    // Only the slots of the key's owner count, and the queued requests whose
    // keys are in the same range.
    input.AvailableSlots =
        Limits.usableSlots(*owner, input.TypicalProcessingTime);
    input.QueuedAhead = static_cast<int>(std::ranges::count_if(
        queue == Queues.end() ? RequestQueue{} : queue->second,
        [&](const std::shared_ptr<Exchange> &other) {
          return other->Meta.Key && row->Range.contains(*other->Meta.Key);
        }));
  }
  return decideAdmission(input, randomFraction());
}

/// @return range map row of the request's key, or nullptr if there is none
const RangeRow *Gateway::findRangeRow(const Exchange &exchange) const {
  const auto map = Ranges.find(exchange.Service);
  return map == Ranges.end() || !exchange.Meta.Key
             ? nullptr
             : map->second.find(*exchange.Meta.Key);
}

const ServiceSummary &Gateway::serviceSummary(const ServiceId &service,
                                              Time now) {
  auto &[serviceSummary, madeAt] = ServiceSummaryCache[service];
  if (now > madeAt + MaxSummaryAge) {
    serviceSummary = Upstreams.summarizeService(service);
    madeAt = now;
  }
  return serviceSummary;
}

bool Gateway::trySend(const std::shared_ptr<Exchange> &exchange, Time now,
                      bool &canBeServedLater) {
  canBeServedLater = true;
  exchange->UpstreamsPausedUntil = Time();
  const bool hasLinks = Links.areLinksWorking();
  if (!hasLinks && !exchange->Relayed && tryRelay(exchange, now))
    return true;
  UpstreamChoiceRequest request;
  request.Service = exchange->Service;
  request.TriedUpstreams = exchange->TriedUpstreams;
  request.HasConnection = [this](const Endpoint &address) {
    return Pool.hasIdle(address);
  };
  request.PrefersOwnDomain =
      exchange->MatchedRoute->Kind == RequestKind::Download;
  if (isDividedByKey(exchange->Service) && exchange->Meta.Key) {
    const RangeRow *row = findRangeRow(*exchange);
    if (row == nullptr || row->Owner.Value.empty()) {
      exchange->LastReason = Reason::NoOwner;
      canBeServedLater = false;
      return false;
    }
    const bool isRejected = exchange->FenceOfRejectedKey == row->Fence;
    if (row->IsMoving || isRejected) {
      exchange->LastReason = Reason::NoOwner;
      canBeServedLater = !isRejected || now < exchange->WaitForOwnerUntil;
      return false;
    }
    request.RequiredUpstream = row->Owner;
    exchange->SentFence = row->Fence;
  }
  request.HasPermit = [this, now](const Upstream &upstream) {
    return Limits.hasPermit(upstream, now);
  };
  UpstreamChoice choice = Upstreams.choose(
      request, Context, Config->config().Services, now, Random());
  // Also if another upstream is chosen, so that the next request may get it.
  if (choice.WithoutPermit != nullptr &&
      Limits.obtainPermit(*choice.WithoutPermit, now))
    choice.Chosen = choice.WithoutPermit;
  canBeServedLater = choice.IsAnyUsable ||
                     (request.RequiredUpstream &&
                      Upstreams.mayMoveSoon(*request.RequiredUpstream, now));
  // Connections of before may live on without links; new ones fail.
  if (!hasLinks && (exchange->Relayed || choice.Chosen == nullptr ||
                    !Pool.hasIdle(choice.Chosen->Entry.Address))) {
    exchange->LastReason = Reason::NoLinks;
    canBeServedLater = false;
    return false;
  }
  if (choice.PausedUntil != Time()) {
    exchange->UpstreamsPausedUntil = choice.PausedUntil;
    // Another VM may serve the request, while a key has one owner.
    canBeServedLater &= request.RequiredUpstream.has_value();
  }
  if (choice.Chosen == nullptr && choice.WithoutPermit != nullptr) {
    exchange->UpstreamsPausedUntil =
        std::max(exchange->UpstreamsPausedUntil,
                 Limits.nextTryAt(*choice.WithoutPermit));
    exchange->LastReason = Reason::UpstreamLimited;
    return false;
  }
  if (choice.Chosen == nullptr) {
    if (exchange->LastReason == Reason::None)
      exchange->LastReason =
          choice.IsAnyUsable ? Reason::Overloaded : Reason::NoUpstream;
    return false;
  }
  send(exchange, *choice.Chosen, now);
  return true;
}

void Gateway::dispatch(const std::shared_ptr<Exchange> &exchange) {
  const Time now = bootNow();
  if (now >= exchange->TimeoutAt) {
    refuseExpired(exchange, now);
    return;
  }
  if (exchange->Fingerprint == RequestFingerprint())
    exchange->Fingerprint = CrashGuard::fingerprintOf(*exchange);
  if (refuseIfSuspect(exchange, now))
    return;
  const auto queue = Queues.find(exchange->Service);
  bool canBeServedLater = true;
  const bool mustQueue =
      queue != Queues.end() && !queue->second.empty() &&
      !isDividedByKey(exchange->Service) &&
      queue->second.front()->position() <= exchange->position();
  if (!mustQueue && trySend(exchange, now, canBeServedLater))
    return;
  enqueue(exchange, now, canBeServedLater);
}

void Gateway::enqueue(const std::shared_ptr<Exchange> &exchange, Time now,
                      bool canBeServedLater) {
  const AdmissionDecision decision =
      admission(*exchange, now, canBeServedLater);
  if (!decision.ShouldQueue) {
    refuse(exchange,
           exchange->LastReason == Reason::None ? Reason::Overloaded
                                                : exchange->LastReason,
           decision.RetryAfter);
    return;
  }
  ++Counters.Queued;
  exchange->QueuedSince = now;
  insertIntoQueue(exchange);
  logLine(LogPriority::Routine, now, "queued",
          "request={} service={} reason={} ahead={} wait_limit_ms={}",
          sanitizeForLog(exchange->Meta.Id), exchange->Service.Value,
          reasonInfo(exchange->LastReason).Name,
          Queues[exchange->Service].size() - 1,
          toMilliseconds(decision.WaitLimit));
  QueueTimer.scheduleBy(now + QueueCheckInterval);
}

void Gateway::sendQueued(const ServiceId &service) {
  const auto found = Queues.find(service);
  if (found == Queues.end() || found->second.empty())
    return;
  const Time now = bootNow();
  const std::vector<std::shared_ptr<Exchange>> waiting(found->second.begin(),
                                                       found->second.end());
  const bool isDivided = isDividedByKey(service);
  // Set when a request found no upstream with a free slot, so the requests
  // behind that request would find none either.
  bool isServiceFull = false;
  for (const auto &exchange : waiting) {
    if (!exchange->IsQueued || refuseIfSuspect(exchange, now))
      continue;
    bool canBeServedLater = true;
    if (isServiceFull && now < exchange->NextCheckAt)
      continue;
    exchange->NextCheckAt = now + QueueCheckInterval;
    if (trySend(exchange, now, canBeServedLater)) {
      removeFromQueue(exchange);
      continue;
    }
    isServiceFull |= !isDivided && exchange->TriedUpstreams.empty();
    exchange->IsQueued = false;
    found->second.remove(exchange);
    const AdmissionDecision decision =
        admission(*exchange, now, canBeServedLater);
    if (!decision.ShouldQueue) {
      refuse(exchange, exchange->LastReason, decision.RetryAfter);
      continue;
    }
    insertIntoQueue(exchange);
  }
  if (!found->second.empty())
    QueueTimer.scheduleBy(now + QueueCheckInterval);
}

void Gateway::sendAllQueued() {
  std::vector<ServiceId> services;
  for (const auto &[service, queue] : Queues)
    if (!queue.empty())
      services.push_back(service);
  for (const ServiceId &service : services)
    sendQueued(service);
}

} // namespace waxwing
