/**
 * @file dispatcher_wait.cpp
 * Requests waiting for a slot, an owner or a home (the router that alone uses
 * an upstream's slots); hedged attempts.
 */
#include "traffic/dispatcher_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Held requests (waiting for an owner or a home) are refused this long before
/// their deadline.
constexpr Duration HeldRefusalMargin = milliseconds(10);
/// Attempts younger than this are not hedged.
constexpr Duration MinHedgeDelay = milliseconds(2);

} // namespace

void Dispatcher::enqueue(RequestId id, Service &service, const QueueId &queueId,
                         Time now) {
  Request &request = Requests.at(id);
  TierQueue &queue = Queues[queueId];
  const TierConfig &tier = tierConfig(request.Spec);
  const std::size_t ahead = queue.requestsAhead(request.Spec.Tier, tier);
  const Duration wait = expectedWait(service, queueId, ahead);
  if (!queue.isEmpty() && now + wait > request.Spec.Deadline)
    return refuse(id, Reason::DeadlineTooShort, wait);
  if (!queue.push(request.Spec.Tier, tier, id, now))
    return refuse(id, Reason::QueueFull, wait);
  request.Place = WaitPlace::Queue;
  request.Queue = queueId;
  WaitDeadlines.insert({request.Spec.Deadline, id});
  const std::size_t before = queue.size();
  startQueued(queueId, now);
  if (queue.size() == before)
    Counters.add(DispatchEvent::Queued);
}

Duration Dispatcher::expectedWait(const Service &service,
                                  const QueueId &queueId,
                                  std::size_t ahead) const {
  std::vector<UpstreamId> upstreams;
  if (const auto *upstream = std::get_if<UpstreamId>(&queueId))
    upstreams.push_back(*upstream);
  else
    upstreams = service.LocalUpstreams;
  double rate = 0; ///< requests per microsecond that all slots serve
  for (const UpstreamId &it : upstreams) {
    const auto slots = Slots.find(it);
    const Duration mean =
        slots == Slots.end() ? Duration() : slots->second.latency().mean();
    if (mean > Duration())
      rate += static_cast<double>(service.Config->Slots) /
              static_cast<double>(mean.count());
  }
  if (rate == 0)
    return {};
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(ahead + 1) / rate));
}

void Dispatcher::holdRequest(RequestId id, Service &service, Reason why) {
  Request &request = Requests.at(id);
  std::size_t &count = service.HeldRequestCounts[request.Spec.Tier];
  if (count >= tierConfig(request.Spec).QueueLimit)
    return refuse(id, why, seconds(1));
  ++count;
  if (!std::exchange(request.HasBeenHeld, true))
    Counters.add(DispatchEvent::Held);
  request.Place = WaitPlace::Held;
  request.ReasonForHolding = why;
  Held.push_back(id);
  WaitDeadlines.insert({request.Spec.Deadline - HeldRefusalMargin, id});
}

void Dispatcher::stopWaiting(RequestId id) {
  const auto it = Requests.find(id);
  if (it == Requests.end())
    return;
  Request &request = it->second;
  if (request.Place == WaitPlace::Queue) {
    Queues[request.Queue].erase(request.Spec.Tier, id);
    WaitDeadlines.erase({request.Spec.Deadline, id});
  }
  if (request.Place == WaitPlace::Held) {
    --Services[request.Spec.Service].HeldRequestCounts[request.Spec.Tier];
    std::erase(Held, id);
    WaitDeadlines.erase({request.Spec.Deadline - HeldRefusalMargin, id});
  }
  request.Place = WaitPlace::NotWaiting;
}

bool Dispatcher::isLastSlot(const Service &service, const QueueId &queueId,
                            Time now) const {
  const auto *upstream = std::get_if<UpstreamId>(&queueId);
  int free = 0;
  int used = 0;
  for (const UpstreamId &local :
       upstream == nullptr ? service.LocalUpstreams : std::vector{*upstream}) {
    free += freeSlotCount(service, local, now);
    const auto slots = Slots.find(local);
    used += slots == Slots.end() ? 0 : slots->second.inFlight();
  }
  // A free slot on otherwise idle upstreams (such as a cold upstream's only
  // slot) is not reserved; it is shared by weight alone.
  return free == 1 && used > 0;
}

void Dispatcher::startQueued(const QueueId &queueId, Time now) {
  TierQueue &queue = Queues[queueId];
  std::vector<RequestId> requeued;
  while (!queue.isEmpty()) {
    const RequestId firstQueued = *queue.peek(false, now);
    const auto known = Services.find(Requests.at(firstQueued).Spec.Service);
    const bool isLast = known != Services.end() &&
                        known->second.Config != nullptr &&
                        isLastSlot(known->second, queueId, now);
    const auto id = queue.peek(isLast, now);
    if (!id)
      break;
    const DispatchRequest &request = Requests.at(*id).Spec;
    const auto it = Services.find(request.Service);
    if (it == Services.end() || it->second.Config == nullptr) {
      refuse(*id, Reason::UnknownService, Duration());
      continue;
    }
    Service &service = it->second;
    if (const auto *upstream = std::get_if<UpstreamId>(&queueId)) {
      const auto found = findOwner(service, request, now);
      const auto *target = std::get_if<OwnerTarget>(&found);
      if (target == nullptr || target->Upstream != *upstream ||
          homeRight(service, *upstream, now) == HomeRight::None) {
        stopWaiting(*id);
        requeued.push_back(*id);
        continue;
      }
      if (freeSlotCount(service, *upstream, now) <= 0)
        break;
      queue.recordServed(request.Tier);
      startLocalAttempt(*id, service, *upstream, target->Unit, false, now);
      continue;
    }
    const bool isHome =
        std::ranges::any_of(service.LocalUpstreams, [&](const auto &local) {
          return homeRight(service, local, now) != HomeRight::None;
        });
    if (!isHome) {
      stopWaiting(*id);
      requeued.push_back(*id);
      continue;
    }
    const auto local = chooseLocalUpstream(service, request, now);
    if (!local)
      break;
    queue.recordServed(request.Tier);
    startLocalAttempt(*id, service, *local, std::nullopt, false, now);
  }
  for (const RequestId id : requeued)
    assignTarget(id, now);
}

void Dispatcher::startAllQueued(Time now) {
  std::vector<QueueId> queueIds;
  for (const auto &[queueId, queue] : Queues)
    if (!queue.isEmpty())
      queueIds.push_back(queueId);
  for (const QueueId &queueId : queueIds)
    startQueued(queueId, now);
}

void Dispatcher::retryHeldRequests(Time now) {
  for (const RequestId id : std::vector<RequestId>(Held)) {
    stopWaiting(id);
    assignTarget(id, now);
  }
}

void Dispatcher::refuseExpired(Time now) {
  while (!WaitDeadlines.empty() && WaitDeadlines.begin()->first <= now) {
    const RequestId id = WaitDeadlines.begin()->second;
    const Request &request = Requests.at(id);
    const Reason why = request.Place == WaitPlace::Held
                           ? request.ReasonForHolding
                           : Reason::DeadlinePassed;
    refuse(id, why, seconds(1));
  }
}

void Dispatcher::refuse(RequestId id, Reason why, Duration retryAfter) {
  stopWaiting(id);
  const auto it = Requests.find(id);
  if (it != Requests.end() && it->second.Attempts.empty())
    Requests.erase(it);
  Decisions.emplace_back(
      DispatchRefusal{id, why, std::max<Duration>(retryAfter, seconds(1))});
}

void Dispatcher::startDueHedges(Time now) {
  for (auto &[id, service] : Services) {
    const Duration delay = service.Hedges.delay();
    if (delay == Duration())
      continue;
    const Time startedBefore = now - std::max(delay, MinHedgeDelay);
    while (!service.HedgeCandidates.empty() &&
           service.HedgeCandidates.begin()->first <= startedBefore) {
      const RequestId request = service.HedgeCandidates.begin()->second;
      service.HedgeCandidates.erase(service.HedgeCandidates.begin());
      startHedge(request, service, now);
    }
  }
}

void Dispatcher::startHedge(RequestId id, Service &service, Time now) {
  const auto it = Requests.find(id);
  if (it == Requests.end() || it->second.Attempts.size() != 1)
    return;
  const Attempt &first = Attempts.at(it->second.Attempts.front());
  std::vector<HomePeer> peers = service.Peers;
  std::erase_if(
      peers, [&](const HomePeer &peer) { return peer.Router == first.Router; });
  DispatchRequest request = it->second.Spec;
  if (first.LocalUpstream)
    request.Avoid.push_back(*first.LocalUpstream);
  const auto local = chooseLocalUpstream(service, request, now);
  const bool isHere = local && local != first.LocalUpstream;
  const HomePeer *peer =
      isHere ? nullptr : choosePeer(service, peers, request, now);
  if (!isHere && peer == nullptr)
    return;
  if (!service.Hedges.spend())
    return Counters.add(DispatchEvent::HedgeNoBudget);
  Counters.add(DispatchEvent::Hedged);
  if (isHere)
    startLocalAttempt(id, service, *local, std::nullopt, true, now);
  else
    startForwardedAttempt(id, service, *peer, UpstreamId(), true, now);
}

} // namespace waxwing
