/**
 * @file dispatcher_place.cpp
 * Choice of the upstream, router or queue for a request.
 */
#include "traffic/dispatcher_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// A key's owner that is drained or in a failure domain taken out still gets
/// requests for this long, until the key has moved.
constexpr Duration IneligibleOwnerGrace = seconds(1);
/// A free local upstream is preferred while this router's score (estimated
/// wait) is at most this multiple of the chosen peer's.
constexpr double MaxLocalScoreRatio = 2;

bool isAvoided(const DispatchRequest &request, const UpstreamId &upstream) {
  return std::ranges::find(request.Avoid, upstream) != request.Avoid.end();
}

} // namespace

void Dispatcher::submit(const DispatchRequest &request, Time now) {
  stopWaiting(request.Id);
  Requests[request.Id].Spec = request;
  const TeamConfig *team = findTeam(request.Team);
  if (team == nullptr || !team->Services.contains(request.Service))
    return refuse(request.Id, Reason::UnknownService, Duration());
  if (now >= request.Deadline)
    return refuse(request.Id, Reason::DeadlinePassed, Duration());
  assignTarget(request.Id, now);
}

void Dispatcher::assignTarget(RequestId id, Time now) {
  const DispatchRequest &request = Requests.at(id).Spec;
  const auto it = Services.find(request.Service);
  if (it == Services.end() || it->second.Config == nullptr)
    return refuse(id, Reason::UnknownService, Duration());
  if (it->second.Config->IsDividedByKey)
    return routeToKeyOwner(id, it->second, now);
  routeToAnyUpstream(id, it->second, now);
}

void Dispatcher::routeToKeyOwner(RequestId id, Service &service, Time now) {
  const DispatchRequest &request = Requests.at(id).Spec;
  const auto found = findOwner(service, request, now);
  if (const Reason *why = std::get_if<Reason>(&found))
    return holdRequest(id, service, *why);
  const OwnerTarget &target = std::get<OwnerTarget>(found);
  if (homeRight(service, target.Upstream, now) != HomeRight::None)
    return enqueue(id, service, target.Upstream, now);
  // Requests are forwarded at most once.
  if (request.IsForwarded)
    return refuse(id, Reason::ForwardRefused, Duration());
  const HomeAssignment *home = Homes.find(request.Service, target.Upstream);
  if (home == nullptr || home->Router == Self ||
      service.Loads.isSuspect(home->Router, now))
    return holdRequest(id, service, Reason::HomeUnknown);
  const double draw = std::uniform_real_distribution<>()(Random);
  if (!service.Throttles[request.Tier].admit(draw, now))
    return refuse(id, Reason::TierShareExhausted, seconds(1));
  startForwardedAttempt(
      id, service, {home->Router, home->ForwardEndpoint, {target.Upstream}},
      target.Upstream, false, now);
}

std::variant<Dispatcher::OwnerTarget, Reason>
Dispatcher::findOwner(const Service &service, const DispatchRequest &request,
                      Time now) const {
  if (!service.Owners || service.Owners->Shards.empty())
    return Reason::NoOwner;
  const auto [unit, owner] = ownerOf(*service.Owners, request.Key);
  const auto refused = service.RefusedUnits.find(unit);
  const bool isRefused = refused != service.RefusedUnits.end() &&
                         refused->second.first == owner.Fence &&
                         now < refused->second.second;
  const TeamConfig &team = *findTeam(request.Team);
  const auto upstream = team.Upstreams.find(owner.Owner);
  if (isRefused || upstream == team.Upstreams.end() ||
      upstream->second.Service != request.Service)
    return Reason::NoOwner;
  const auto ineligible = IneligibleSince.find(owner.Owner);
  if (ineligible != IneligibleSince.end() &&
      now >= ineligible->second + IneligibleOwnerGrace)
    return Reason::NoOwner;
  return OwnerTarget{owner.Owner, {unit, owner.Fence}};
}

void Dispatcher::routeToAnyUpstream(RequestId id, Service &service, Time now) {
  const DispatchRequest &request = Requests.at(id).Spec;
  if (service.EligibleUpstreams.empty())
    return refuse(id, Reason::NoUpstream, seconds(1));
  const std::optional<UpstreamId> local =
      chooseLocalUpstream(service, request, now);
  const bool isHome =
      std::ranges::any_of(service.LocalUpstreams, [&](const auto &it) {
        return !isAvoided(request, it) &&
               homeRight(service, it, now) != HomeRight::None;
      });
  if (request.IsForwarded || !LeaseIdentity) {
    if (isHome || (!LeaseIdentity && !service.LocalUpstreams.empty()))
      return enqueue(id, service, request.Service, now);
    return refuse(id, Reason::ForwardRefused, Duration());
  }
  const HomePeer self = selfAsPeer(service);
  std::vector<HomePeer> peers = service.Peers;
  if (isHome)
    peers.push_back(self);
  const HomePeer *peer = choosePeer(service, peers, request, now);
  const bool isLocalPreferred =
      local && (peer == nullptr ||
                service.Loads.score(self, now) <=
                    MaxLocalScoreRatio * service.Loads.score(*peer, now));
  if (isLocalPreferred || (peer != nullptr && peer->Router == Self))
    return enqueue(id, service, request.Service, now);
  if (peer == nullptr)
    return holdRequest(id, service, Reason::HomeUnknown);
  const double draw = std::uniform_real_distribution<>()(Random);
  if (!service.Throttles[request.Tier].admit(draw, now))
    return refuse(id, Reason::TierShareExhausted, seconds(1));
  startForwardedAttempt(id, service, *peer, UpstreamId(), false, now);
}

std::optional<UpstreamId> Dispatcher::chooseLocalUpstream(
    const Service &service, const DispatchRequest &request, Time now) const {
  std::optional<UpstreamId> best;
  std::pair<int, Duration> bestRank;
  const bool hasAlternative =
      std::ranges::any_of(service.LocalUpstreams, [&](const auto &it) {
        return !isAvoided(request, it);
      });
  for (const UpstreamId &it : service.LocalUpstreams) {
    if (freeSlotCount(service, it, now) <= 0 ||
        (hasAlternative && isAvoided(request, it)))
      continue;
    const auto slots = Slots.find(it);
    const std::pair rank = slots == Slots.end()
                               ? std::pair(0, Duration())
                               : std::pair(slots->second.inFlight(),
                                           slots->second.latency().mean());
    if (!best || rank < bestRank) {
      best = it;
      bestRank = rank;
    }
  }
  return best;
}

HomePeer Dispatcher::selfAsPeer(const Service &service) const {
  return {Self, LeaseIdentity ? LeaseIdentity->ForwardEndpoint : Endpoint(),
          service.LocalUpstreams};
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
  // Only peers whose upstreams all failed this request are left; trying one
  // of them again is better than holding the request.
  return service.Loads.choose(peers, Random, now,
                              [](const HomePeer &) { return true; });
}

void Dispatcher::startLocalAttempt(RequestId id, Service &service,
                                   const UpstreamId &upstream,
                                   std::optional<GrantedUnit> unit,
                                   bool isHedge, Time now) {
  const DispatchRequest &request = Requests.at(id).Spec;
  const std::uint64_t coldStarts = Slots[upstream].begin();
  Counters.add(DispatchEvent::StartedHere);
  recordAttemptStart(
      id, service, {id, request.Service, Self, upstream, unit, coldStarts, now},
      UpstreamTarget{upstream, upstreamConfig(upstream).Address, unit,
                     request.Key},
      isHedge);
}

void Dispatcher::startForwardedAttempt(RequestId id, Service &service,
                                       const HomePeer &peer,
                                       const UpstreamId &upstream, bool isHedge,
                                       Time now) {
  const DispatchRequest &request = Requests.at(id).Spec;
  Counters.add(DispatchEvent::Forwarded);
  recordAttemptStart(
      id, service,
      {id, request.Service, peer.Router, std::nullopt, std::nullopt, 0, now},
      RouterTarget{peer.Router, peer.ForwardEndpoint, request.Tier, upstream},
      isHedge);
}

void Dispatcher::recordAttemptStart(RequestId id, Service &service,
                                    Attempt attempt, AttemptTarget target,
                                    bool isHedge) {
  Request &request = Requests.at(id);
  stopWaiting(id);
  service.Loads.begin(attempt.Router, attempt.StartedAt);
  if (!isHedge) {
    // A forwarded request counts in the hedge budget of the router that
    // received it from the caller.
    if (!request.Spec.IsForwarded)
      service.Hedges.onFirstAttempt();
    const bool mayHedge = request.Spec.IsIdempotent &&
                          !request.Spec.IsForwarded &&
                          !service.Config->IsDividedByKey && LeaseIdentity;
    if (mayHedge)
      service.HedgeCandidates.insert({attempt.StartedAt, id});
  }
  const AttemptId attemptId(NextAttempt++);
  request.Attempts.push_back(attemptId);
  Attempts[attemptId] = std::move(attempt);
  Decisions.emplace_back(DispatchStart{id, attemptId, std::move(target),
                                       request.Spec.Deadline, isHedge});
}

} // namespace waxwing
