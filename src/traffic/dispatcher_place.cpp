/**
 * @file dispatcher_place.cpp
 * The choice of where a request runs or waits.
 */
#include "traffic/dispatcher_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// The owner of a key in a failure domain taken out, or drained, gets work
/// for this long, until the key has moved.
constexpr Duration LeavingOwnerSpan = seconds(1);
/// Own upstreams are preferred up to this multiple of another home's score.
constexpr double OwnPreference = 2;

bool isAvoided(const DispatchRequest &request, const UpstreamId &upstream) {
  return std::ranges::find(request.Avoid, upstream) != request.Avoid.end();
}

} // namespace

void Dispatcher::submit(const DispatchRequest &request, Time now) {
  leaveWait(request.Id);
  Requests[request.Id].What = request;
  const TeamConfig *team = findTeam(request.Team);
  if (team == nullptr || !team->Services.contains(request.Service))
    return refuse(request.Id, Reason::UnknownService, Duration());
  if (now >= request.Deadline)
    return refuse(request.Id, Reason::DeadlinePassed, Duration());
  place(request.Id, now);
}

void Dispatcher::place(RequestId id, Time now) {
  const DispatchRequest &request = Requests.at(id).What;
  const auto it = Services.find(request.Service);
  if (it == Services.end() || it->second.Config == nullptr)
    return refuse(id, Reason::UnknownService, Duration());
  if (it->second.Config->IsDividedByKey)
    return placeKeyed(id, it->second, now);
  placeAnywhere(id, it->second, now);
}

void Dispatcher::placeKeyed(RequestId id, Service &service, Time now) {
  const DispatchRequest &request = Requests.at(id).What;
  const auto found = findOwner(service, request, now);
  if (const Reason *why = std::get_if<Reason>(&found))
    return hold(id, service, *why);
  const KeyTarget &target = std::get<KeyTarget>(found);
  if (rightAt(service, target.Upstream, now) != HomeRight::None)
    return enqueue(id, service, target.Upstream, now);
  // A forwarded request is never sent on.
  if (request.IsForwarded)
    return refuse(id, Reason::ForwardRefused, Duration());
  const HomeAssignment *home = Homes.find(request.Service, target.Upstream);
  if (home == nullptr || home->Router == Self ||
      service.Loads.isSuspect(home->Router, now))
    return hold(id, service, Reason::HomeUnknown);
  const double draw = std::uniform_real_distribution<>()(Random);
  if (!service.Throttles[request.Tier].admit(draw, now))
    return refuse(id, Reason::TierShareExhausted, seconds(1));
  startAt(id, service, {home->Router, home->ForwardEndpoint, {target.Upstream}},
          target.Upstream, false, now);
}

std::variant<Dispatcher::KeyTarget, Reason>
Dispatcher::findOwner(const Service &service, const DispatchRequest &request,
                      Time now) const {
  if (!service.Owners || service.Owners->Shards.empty())
    return Reason::NoOwner;
  const auto [unit, owner] = ownerOf(*service.Owners, request.Key);
  const auto moving = service.Moving.find(unit);
  const bool isMoving = moving != service.Moving.end() &&
                        moving->second.first == owner.Fence &&
                        now < moving->second.second;
  const TeamConfig &team = *findTeam(request.Team);
  const auto upstream = team.Upstreams.find(owner.Owner);
  if (isMoving || upstream == team.Upstreams.end() ||
      upstream->second.Service != request.Service)
    return Reason::NoOwner;
  const auto leaving = IneligibleSince.find(owner.Owner);
  if (leaving != IneligibleSince.end() &&
      now >= leaving->second + LeavingOwnerSpan)
    return Reason::NoOwner;
  return KeyTarget{owner.Owner, {unit, owner.Fence}};
}

void Dispatcher::placeAnywhere(RequestId id, Service &service, Time now) {
  const DispatchRequest &request = Requests.at(id).What;
  if (service.Eligible.empty())
    return refuse(id, Reason::NoUpstream, seconds(1));
  const std::optional<UpstreamId> own = chooseOwn(service, request, now);
  const bool isHome = std::ranges::any_of(service.Own, [&](const auto &it) {
    return !isAvoided(request, it) &&
           rightAt(service, it, now) != HomeRight::None;
  });
  if (request.IsForwarded || !Leasing) {
    if (isHome || (!Leasing && !service.Own.empty()))
      return enqueue(id, service, request.Service, now);
    return refuse(id, Reason::ForwardRefused, Duration());
  }
  const HomePeer self = selfAsPeer(service);
  std::vector<HomePeer> peers = service.Peers;
  if (isHome)
    peers.push_back(self);
  const HomePeer *peer = choosePeer(service, peers, request, now);
  const bool isOwnGood =
      own &&
      (peer == nullptr || service.Loads.score(self, now) <=
                              OwnPreference * service.Loads.score(*peer, now));
  if (isOwnGood || (peer != nullptr && peer->Router == Self))
    return enqueue(id, service, request.Service, now);
  if (peer == nullptr)
    return hold(id, service, Reason::HomeUnknown);
  const double draw = std::uniform_real_distribution<>()(Random);
  if (!service.Throttles[request.Tier].admit(draw, now))
    return refuse(id, Reason::TierShareExhausted, seconds(1));
  startAt(id, service, *peer, UpstreamId(), false, now);
}

std::optional<UpstreamId> Dispatcher::chooseOwn(const Service &service,
                                                const DispatchRequest &request,
                                                Time now) const {
  std::optional<UpstreamId> best;
  std::pair<int, Duration> bestKey;
  const bool mayAvoid = std::ranges::any_of(
      service.Own, [&](const auto &it) { return !isAvoided(request, it); });
  for (const UpstreamId &it : service.Own) {
    if (freeSlots(service, it, now) <= 0 ||
        (mayAvoid && isAvoided(request, it)))
      continue;
    const auto slots = Slots.find(it);
    const std::pair key = slots == Slots.end()
                              ? std::pair(0, Duration())
                              : std::pair(slots->second.inFlight(),
                                          slots->second.latency().mean());
    if (!best || key < bestKey) {
      best = it;
      bestKey = key;
    }
  }
  return best;
}

HomePeer Dispatcher::selfAsPeer(const Service &service) const {
  return {Self, Leasing ? Leasing->ForwardEndpoint : Endpoint(), service.Own};
}

const HomePeer *Dispatcher::choosePeer(const Service &service,
                                       const std::vector<HomePeer> &peers,
                                       const DispatchRequest &request,
                                       Time now) {
  const auto isUsable = [&](const HomePeer &peer) {
    return !std::ranges::all_of(peer.Upstreams, [&](const UpstreamId &it) {
      return isAvoided(request, it);
    });
  };
  const HomePeer *peer = service.Loads.choose(peers, Random, now, isUsable);
  if (peer != nullptr)
    return peer;
  // Nothing but what failed before is left: another try there beats none.
  return service.Loads.choose(peers, Random, now,
                              [](const HomePeer &) { return true; });
}

void Dispatcher::startHere(RequestId id, Service &service,
                           const UpstreamId &upstream,
                           std::optional<GrantedUnit> unit, bool isHedge,
                           Time now) {
  const DispatchRequest &request = Requests.at(id).What;
  const std::uint64_t coldStarts = Slots[upstream].begin();
  Counters.add(DispatchEvent::StartedHere);
  noteStart(id, service,
            {id, request.Service, Self, upstream, unit, coldStarts, now},
            UpstreamTarget{upstream, upstreamConfig(upstream).Address, unit,
                           request.Key},
            isHedge);
}

void Dispatcher::startAt(RequestId id, Service &service, const HomePeer &peer,
                         const UpstreamId &upstream, bool isHedge, Time now) {
  const DispatchRequest &request = Requests.at(id).What;
  Counters.add(DispatchEvent::Forwarded);
  noteStart(
      id, service,
      {id, request.Service, peer.Router, std::nullopt, std::nullopt, 0, now},
      RouterTarget{peer.Router, peer.ForwardEndpoint, request.Tier, upstream},
      isHedge);
}

void Dispatcher::noteStart(RequestId id, Service &service, Attempt attempt,
                           AttemptTarget target, bool isHedge) {
  Request &request = Requests.at(id);
  leaveWait(id);
  service.Loads.begin(attempt.Router, attempt.StartedAt);
  if (!isHedge) {
    // A forwarded request counts in the budget of the router it entered by.
    if (!request.What.IsForwarded)
      service.Hedges.onFirstAttempt();
    const bool mayHedge = request.What.IsIdempotent &&
                          !request.What.IsForwarded &&
                          !service.Config->IsDividedByKey && Leasing;
    if (mayHedge)
      service.Hedgeable.insert({attempt.StartedAt, id});
  }
  const AttemptId attemptId(NextAttempt++);
  request.Attempts.push_back(attemptId);
  Attempts[attemptId] = std::move(attempt);
  Decisions.emplace_back(DispatchStart{id, attemptId, std::move(target),
                                       request.What.Deadline, isHedge});
}

} // namespace waxwing
