/**
 * @file dispatcher.cpp
 * Dispatcher state: configuration, owners, home leases, ended attempts.
 */
#include "traffic/dispatcher_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Delay before a unit (shard, or key split off from its shard) that its owner
/// refused is tried again, unless a new fencing token arrives earlier.
constexpr Duration RefusedUnitRetryDelay = milliseconds(50);
/// Delay before the slot of a cancelled or timed out attempt is reused: the
/// cancellation has to reach the upstream first.
constexpr Duration CancelDelay = milliseconds(5);

bool mayStillRunAtUpstream(Reason why) {
  return why == Reason::Cancelled || why == Reason::UpstreamTimeout ||
         why == Reason::SilentConnection;
}

/// @return the leading controller, or nullopt when there is none
std::optional<RecordMember> findLeader(const OwnershipRecord &record) {
  if (record.Members.empty())
    return std::nullopt;
  return record.Members.front();
}

} // namespace

Dispatcher::Dispatcher(VmId self, std::uint64_t seed)
    : Self(std::move(self)), Random(seed) {}

void Dispatcher::configure(std::shared_ptr<const Configuration> config,
                           Time now) {
  Config = std::move(config);
  for (auto &[id, service] : Services)
    service.Config = nullptr;
  for (const auto &[teamId, team] : Config->teams()) {
    for (const auto &[id, upstream] : team.Upstreams) {
      if (!isEligible(team, upstream))
        IneligibleSince.try_emplace(id, now);
      else if (IneligibleSince.erase(id) > 0)
        Slots[id].onUpstreamReturned();
    }
    for (const auto &[id, config] : team.Services) {
      Services[id].Config = &config;
      rebuildUpstreamLists(id, Services[id]);
    }
  }
  startAllQueued(now);
  retryHeldRequests(now);
}

void Dispatcher::setOwners(std::shared_ptr<const OwnershipRecord> owners,
                           Time now) {
  Service &service = Services[owners->Service];
  if (service.Owners && service.Owners->Rev >= owners->Rev)
    return;
  const bool isSameLeader =
      service.Owners && findLeader(*service.Owners) == findLeader(*owners);
  if (!isSameLeader && service.LeaseClient)
    service.LeaseClient->requestAtNextPoll();
  service.Owners = std::move(owners);
  startAllQueued(now);
  retryHeldRequests(now);
}

void Dispatcher::onPeerClosed(const Endpoint &address) {
  for (const auto &[teamId, team] : Config->teams())
    for (const auto &[id, upstream] : team.Upstreams)
      if (upstream.Address == address)
        Slots[id].markCold();
}

void Dispatcher::leaseHomes(const RouterIdentity &self) {
  LeaseIdentity = self;
}

void Dispatcher::setHomes(std::shared_ptr<const HomesUpdate> homes, Time now) {
  const ServiceId id = homes->Service;
  Service &service = Services[id];
  const HomesUpdate &update = *homes;
  if (!Homes.update(std::move(homes)))
    return;
  if (service.LeaseClient)
    service.LeaseClient->applyHomes(update);
  rebuildUpstreamLists(id, service);
  retryHeldRequests(now);
}

void Dispatcher::applyLeaseResponse(const HomeLeaseResponse &response,
                                    Time now) {
  const auto it = Services.find(response.Service);
  if (it == Services.end() || !it->second.LeaseClient)
    return;
  Service &service = it->second;
  for (const HomeLease &lease :
       service.LeaseClient->applyResponse(response, now)) {
    Counters.add(DispatchEvent::HomesGained);
    const auto *upstream = std::get_if<UpstreamId>(&lease.Resource);
    if (upstream != nullptr && service.Config != nullptr)
      Slots[*upstream].onLeaseGained(lease, *service.Config, now);
  }
  rebuildUpstreamLists(response.Service, service);
  startAllQueued(now);
  retryHeldRequests(now);
}

void Dispatcher::releaseHomes() {
  IsLeaving = true;
  for (auto &[id, service] : Services)
    if (service.LeaseClient)
      service.LeaseClient->leave();
}

std::optional<Time> Dispatcher::homeLeaseHeldSince(const ServiceId &service,
                                                   const HomeResource &resource,
                                                   Time now) const {
  const auto it = Services.find(service);
  if (it == Services.end() || !it->second.LeaseClient)
    return std::nullopt;
  return it->second.LeaseClient->leaseHeldSince(resource, now);
}

bool Dispatcher::isThisRouterHome(const ServiceId &service,
                                  const HomeResource &resource,
                                  Time now) const {
  if (!LeaseIdentity)
    return true;
  const auto it = Services.find(service);
  return it != Services.end() && it->second.LeaseClient &&
         it->second.LeaseClient->right(resource, now) == HomeRight::Full;
}

void Dispatcher::withdraw(RequestId id, Time) {
  const auto it = Requests.find(id);
  if (it == Requests.end())
    return;
  stopWaiting(id);
  if (it->second.Attempts.empty())
    Requests.erase(it);
}

void Dispatcher::endAttempt(AttemptId id, Reason why, Time now) {
  const auto it = Attempts.find(id);
  if (it == Attempts.end())
    return;
  const Attempt attempt = std::move(it->second);
  Attempts.erase(it);
  Service &service = Services[attempt.Service];
  service.Loads.end(attempt.Router, attempt.StartedAt, why, now);
  const Duration latency = now - attempt.StartedAt;
  if (why == Reason::None)
    service.Hedges.onAnswer(latency);
  if (attempt.LocalUpstream) {
    const EndedAttempt end{*attempt.LocalUpstream, attempt.Service, why,
                           attempt.ColdStarts, latency};
    if (mayStillRunAtUpstream(why))
      DelayedSlotReturns.emplace(now + CancelDelay, end);
    else
      returnSlot(end, now);
  }
  if (attempt.Unit && (why == Reason::WrongToken || why == Reason::GrantLapsed))
    service.RefusedUnits[attempt.Unit->Unit] = {attempt.Unit->Fence,
                                                now + RefusedUnitRetryDelay};
  const auto request = Requests.find(attempt.Request);
  if (request != Requests.end()) {
    service.HedgeCandidates.erase({attempt.StartedAt, attempt.Request});
    const bool isOverloadRefusal = why == Reason::QueueFull ||
                                   why == Reason::DeadlineTooShort ||
                                   why == Reason::TierShareExhausted;
    if (isOverloadRefusal && !attempt.LocalUpstream)
      service.Throttles[request->second.Spec.Tier].onRefused();
    std::erase(request->second.Attempts, id);
    if (request->second.Attempts.empty() &&
        request->second.Place == WaitPlace::NotWaiting)
      Requests.erase(request);
  }
  startAllQueued(now);
}

void Dispatcher::returnSlot(const EndedAttempt &end, Time now) {
  static const ServiceConfig removed;
  const auto service = Services.find(end.Service);
  const bool isKnown =
      service != Services.end() && service->second.Config != nullptr;
  const ColdIndication indication =
      Slots[end.Upstream].end(end.Why, end.ColdStarts, end.Latency,
                              isKnown ? *service->second.Config : removed, now);
  if (indication == ColdIndication::ColdStart)
    Counters.add(DispatchEvent::ColdStarts);
  if (indication == ColdIndication::LatencyJump)
    Counters.add(DispatchEvent::LatencyJumps);
}

void Dispatcher::returnDelayedSlots(Time now) {
  while (!DelayedSlotReturns.empty() &&
         DelayedSlotReturns.begin()->first <= now) {
    const EndedAttempt end = DelayedSlotReturns.begin()->second;
    DelayedSlotReturns.erase(DelayedSlotReturns.begin());
    returnSlot(end, now);
  }
}

void Dispatcher::tick(Time now) {
  returnDelayedSlots(now);
  requestLeases(now);
  startAllQueued(now);
  retryHeldRequests(now);
  refuseExpired(now);
  startDueHedges(now);
}

void Dispatcher::requestLeases(Time now) {
  if (!LeaseIdentity || !Config)
    return;
  for (auto &[id, service] : Services) {
    if (service.Config == nullptr)
      continue;
    if (!service.LeaseClient) {
      service.LeaseClient.emplace(id, *LeaseIdentity, HomeLeaseTiming());
      if (IsLeaving)
        service.LeaseClient->leave();
    }
    const auto slotsOf = [&](const HomeResource &resource) {
      const auto *upstream = std::get_if<UpstreamId>(&resource);
      return upstream == nullptr ? Slots.end() : Slots.find(*upstream);
    };
    auto request = service.LeaseClient->poll(
        now,
        [&](const HomeResource &resource) {
          const auto it = slotsOf(resource);
          return it == Slots.end() || it->second.inFlight() == 0;
        },
        [&](const HomeResource &resource) {
          const auto it = slotsOf(resource);
          return it != Slots.end() && it->second.isWarm(now);
        });
    if (request)
      Decisions.emplace_back(DispatchLeaseRequest{*std::move(request)});
  }
}

std::vector<DispatchDecision> Dispatcher::takeDecisions() {
  return std::exchange(Decisions, {});
}

const TeamConfig *Dispatcher::findTeam(const TeamId &team) const {
  if (!Config)
    return nullptr;
  const auto it = Config->teams().find(team);
  return it == Config->teams().end() ? nullptr : &it->second;
}

const UpstreamConfig &
Dispatcher::upstreamConfig(const UpstreamId &upstream) const {
  const TeamId team(upstream.Value.substr(0, upstream.Value.find('/')));
  return findTeam(team)->Upstreams.at(upstream);
}

const TierConfig &Dispatcher::tierConfig(const DispatchRequest &request) const {
  static const TierConfig unknown;
  const TeamConfig *team = findTeam(request.Team);
  const auto it = team->Tiers.find(request.Tier);
  return it == team->Tiers.end() ? unknown : it->second;
}

bool Dispatcher::isEligible(const TeamConfig &team,
                            const UpstreamConfig &it) const {
  return !it.IsDrained && !team.Domains.at(it.Domain).IsTakenOut;
}

void Dispatcher::rebuildUpstreamLists(const ServiceId &id, Service &service) {
  service.EligibleUpstreams.clear();
  service.LocalUpstreams.clear();
  service.Peers.clear();
  if (service.Config == nullptr)
    return;
  const TeamId teamId(id.Value.substr(0, id.Value.find('/')));
  const TeamConfig &team = *findTeam(teamId);
  for (const auto &[name, upstream] : team.Upstreams)
    if (upstream.Service == id && isEligible(team, upstream))
      service.EligibleUpstreams.push_back(name);
  const auto isUsable = [&](const UpstreamId &it) {
    return std::ranges::binary_search(service.EligibleUpstreams, it);
  };
  for (const UpstreamId &it : service.EligibleUpstreams)
    if (!LeaseIdentity ||
        (service.LeaseClient && service.LeaseClient->hasLease(it)))
      service.LocalUpstreams.push_back(it);
  service.Peers = Homes.peers(id, isUsable);
  std::erase_if(service.Peers,
                [&](const HomePeer &it) { return it.Router == Self; });
}

HomeRight Dispatcher::homeRight(const Service &service,
                                const UpstreamId &upstream, Time now) const {
  if (!LeaseIdentity)
    return HomeRight::Full;
  return service.LeaseClient ? service.LeaseClient->right(upstream, now)
                             : HomeRight::None;
}

int Dispatcher::freeSlotCount(const Service &service,
                              const UpstreamId &upstream, Time now) const {
  static const UpstreamSlots untouched;
  const auto it = Slots.find(upstream);
  const UpstreamSlots &slots = it == Slots.end() ? untouched : it->second;
  return slots.freeSlotCount(homeRight(service, upstream, now), *service.Config,
                             now);
}

} // namespace waxwing
