/**
 * @file dispatcher_wait.cpp
 * Requests that wait for a slot, an owner or a home, and hedges.
 */
#include "traffic/dispatcher_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Requests are held this long before their deadline at most.
constexpr Duration HeldMargin = milliseconds(10);
/// Attempts that have run for less are not hedged.
constexpr Duration LeastHedgeDelay = milliseconds(2);

} // namespace

void Dispatcher::enqueue(RequestId id, Service &service, const GroupId &group,
                         Time now) {
  Request &request = Requests.at(id);
  TierQueue &queue = Queues[group];
  const TierConfig &tier = tierConfig(request.What);
  const std::size_t ahead = queue.ahead(request.What.Tier, tier);
  const Duration wait = expectedWait(service, group, ahead);
  if (!queue.isEmpty() && now + wait > request.What.Deadline)
    return refuse(id, Reason::DeadlineTooShort, wait);
  if (!queue.push(request.What.Tier, tier, id, now))
    return refuse(id, Reason::QueueFull, wait);
  request.Place = WaitPlace::Queue;
  request.Group = group;
  WaitDeadlines.insert({request.What.Deadline, id});
  const std::size_t before = queue.size();
  pump(group, now);
  if (queue.size() == before)
    Counters.add(DispatchEvent::Queued);
}

Duration Dispatcher::expectedWait(const Service &service, const GroupId &group,
                                  std::size_t ahead) const {
  std::vector<UpstreamId> upstreams;
  if (const auto *upstream = std::get_if<UpstreamId>(&group))
    upstreams.push_back(*upstream);
  else
    upstreams = service.Own;
  double rate = 0; ///< requests that the group serves in a microsecond
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

void Dispatcher::hold(RequestId id, Service &service, Reason why) {
  Request &request = Requests.at(id);
  std::size_t &count = service.HeldCounts[request.What.Tier];
  if (count >= tierConfig(request.What).QueueLimit)
    return refuse(id, why, seconds(1));
  ++count;
  if (!std::exchange(request.WasHeld, true))
    Counters.add(DispatchEvent::Held);
  request.Place = WaitPlace::Held;
  request.HeldWhy = why;
  Held.push_back(id);
  WaitDeadlines.insert({request.What.Deadline - HeldMargin, id});
}

void Dispatcher::leaveWait(RequestId id) {
  const auto it = Requests.find(id);
  if (it == Requests.end())
    return;
  Request &request = it->second;
  if (request.Place == WaitPlace::Queue) {
    Queues[request.Group].erase(request.What.Tier, id);
    WaitDeadlines.erase({request.What.Deadline, id});
  }
  if (request.Place == WaitPlace::Held) {
    --Services[request.What.Service].HeldCounts[request.What.Tier];
    std::erase(Held, id);
    WaitDeadlines.erase({request.What.Deadline - HeldMargin, id});
  }
  request.Place = WaitPlace::Nowhere;
}

bool Dispatcher::isLastSlot(const Service &service, const GroupId &group,
                            Time now) const {
  const auto *upstream = std::get_if<UpstreamId>(&group);
  int free = 0;
  int used = 0;
  for (const UpstreamId &own :
       upstream == nullptr ? service.Own : std::vector{*upstream}) {
    free += freeSlots(service, own, now);
    const auto slots = Slots.find(own);
    used += slots == Slots.end() ? 0 : slots->second.inFlight();
  }
  // A cold upstream's only slot is shared by weight alone.
  return free == 1 && used > 0;
}

void Dispatcher::pump(const GroupId &group, Time now) {
  TierQueue &queue = Queues[group];
  std::vector<RequestId> moved;
  while (!queue.isEmpty()) {
    const RequestId any = *queue.peek(false, now);
    const auto known = Services.find(Requests.at(any).What.Service);
    const bool isLast = known != Services.end() &&
                        known->second.Config != nullptr &&
                        isLastSlot(known->second, group, now);
    const auto id = queue.peek(isLast, now);
    if (!id)
      break;
    const DispatchRequest &what = Requests.at(*id).What;
    const auto it = Services.find(what.Service);
    if (it == Services.end() || it->second.Config == nullptr) {
      refuse(*id, Reason::UnknownService, Duration());
      continue;
    }
    Service &service = it->second;
    if (const auto *upstream = std::get_if<UpstreamId>(&group)) {
      const auto found = findOwner(service, what, now);
      const auto *target = std::get_if<KeyTarget>(&found);
      if (target == nullptr || target->Upstream != *upstream ||
          rightAt(service, *upstream, now) == HomeRight::None) {
        leaveWait(*id);
        moved.push_back(*id);
        continue;
      }
      if (freeSlots(service, *upstream, now) <= 0)
        break;
      queue.charge(what.Tier);
      startHere(*id, service, *upstream, target->Unit, false, now);
      continue;
    }
    const bool isHome = std::ranges::any_of(service.Own, [&](const auto &own) {
      return rightAt(service, own, now) != HomeRight::None;
    });
    if (!isHome) {
      leaveWait(*id);
      moved.push_back(*id);
      continue;
    }
    const auto own = chooseOwn(service, what, now);
    if (!own)
      break;
    queue.charge(what.Tier);
    startHere(*id, service, *own, std::nullopt, false, now);
  }
  for (const RequestId id : moved)
    place(id, now);
}

void Dispatcher::pumpAll(Time now) {
  std::vector<GroupId> groups;
  for (const auto &[group, queue] : Queues)
    if (!queue.isEmpty())
      groups.push_back(group);
  for (const GroupId &group : groups)
    pump(group, now);
}

void Dispatcher::placeHeld(Time now) {
  for (const RequestId id : std::vector<RequestId>(Held)) {
    leaveWait(id);
    place(id, now);
  }
}

void Dispatcher::expire(Time now) {
  while (!WaitDeadlines.empty() && WaitDeadlines.begin()->first <= now) {
    const RequestId id = WaitDeadlines.begin()->second;
    const Request &request = Requests.at(id);
    const Reason why = request.Place == WaitPlace::Held
                           ? request.HeldWhy
                           : Reason::DeadlinePassed;
    refuse(id, why, seconds(1));
  }
}

void Dispatcher::refuse(RequestId id, Reason why, Duration retryAfter) {
  leaveWait(id);
  const auto it = Requests.find(id);
  if (it != Requests.end() && it->second.Attempts.empty())
    Requests.erase(it);
  Decisions.emplace_back(
      DispatchRefusal{id, why, std::max<Duration>(retryAfter, seconds(1))});
}

void Dispatcher::hedge(Time now) {
  for (auto &[id, service] : Services) {
    const Duration delay = service.Hedges.delay();
    if (delay == Duration())
      continue;
    const Time startedBefore = now - std::max(delay, LeastHedgeDelay);
    while (!service.Hedgeable.empty() &&
           service.Hedgeable.begin()->first <= startedBefore) {
      const RequestId request = service.Hedgeable.begin()->second;
      service.Hedgeable.erase(service.Hedgeable.begin());
      hedgeOne(request, service, now);
    }
  }
}

void Dispatcher::hedgeOne(RequestId id, Service &service, Time now) {
  const auto it = Requests.find(id);
  if (it == Requests.end() || it->second.Attempts.size() != 1)
    return;
  const Attempt &first = Attempts.at(it->second.Attempts.front());
  std::vector<HomePeer> peers = service.Peers;
  std::erase_if(
      peers, [&](const HomePeer &peer) { return peer.Router == first.Router; });
  DispatchRequest what = it->second.What;
  if (first.Own)
    what.Avoid.push_back(*first.Own);
  const auto own = chooseOwn(service, what, now);
  const bool isHere = own && own != first.Own;
  const HomePeer *peer =
      isHere ? nullptr : choosePeer(service, peers, what, now);
  if (!isHere && peer == nullptr)
    return;
  if (!service.Hedges.spend())
    return Counters.add(DispatchEvent::HedgeNoBudget);
  Counters.add(DispatchEvent::Hedged);
  if (isHere)
    startHere(id, service, *own, std::nullopt, true, now);
  else
    startAt(id, service, *peer, UpstreamId(), true, now);
}

} // namespace waxwing
