/**
 * @file dispatcher.cpp
 * Choice of upstream by owner, or by fewest requests in flight.
 */
#include "traffic/dispatcher_base.h"

namespace waxwing {

Dispatcher::Dispatcher(VmId self, std::uint64_t seed)
    : Self(std::move(self)), Random(seed) {}

void Dispatcher::configure(std::shared_ptr<const Configuration> config, Time) {
  Config = std::move(config);
}

void Dispatcher::setOwners(std::shared_ptr<const OwnershipRecord> owners,
                           Time) {
  auto &known = Owners[owners->Service];
  if (!known || known->Rev < owners->Rev)
    known = std::move(owners);
}

void Dispatcher::leaseHomes(Incarnation, const Endpoint &) {}

void Dispatcher::setHomes(std::shared_ptr<const HomesUpdate>, Time) {}

void Dispatcher::takeLeases(const HomeAnswer &, Time) {}

void Dispatcher::leaveHomes() {}

void Dispatcher::submit(const DispatchRequest &request, Time now) {
  auto choice = choose(request);
  if (const Reason *why = std::get_if<Reason>(&choice)) {
    Decisions.emplace_back(DispatchRefuse{request.Id, *why, seconds(1)});
    return;
  }
  auto &target = std::get<UpstreamTarget>(choice);
  const AttemptId id(NextAttempt++);
  Attempts[id] = {request.Id, target.Upstream, now};
  ++InFlight[target.Upstream];
  Decisions.emplace_back(DispatchStart{request.Id, id, std::move(target),
                                       request.Deadline, false});
}

void Dispatcher::withdraw(RequestId, Time) {}

void Dispatcher::endAttempt(AttemptId attempt, Reason, Time) {
  const auto it = Attempts.find(attempt);
  if (it == Attempts.end())
    return;
  --InFlight[it->second.Upstream];
  Attempts.erase(it);
}

void Dispatcher::tick(Time) {}

std::vector<DispatchDecision> Dispatcher::takeDecisions() {
  return std::exchange(Decisions, {});
}

std::variant<UpstreamTarget, Reason>
Dispatcher::choose(const DispatchRequest &request) {
  const TeamConfig *team = findTeam(request.Team);
  if (team == nullptr || !team->Services.contains(request.Service))
    return Reason::UnknownService;
  if (team->Services.at(request.Service).IsDividedByKey)
    return chooseOwner(*team, request);
  const UpstreamConfig *best = nullptr;
  UpstreamId bestId;
  for (const auto &[id, upstream] : team->Upstreams) {
    if (upstream.Service != request.Service || upstream.IsDrained ||
        team->Domains.at(upstream.Domain).IsTakenOut)
      continue;
    if (best == nullptr || InFlight[id] < InFlight[bestId]) {
      best = &upstream;
      bestId = id;
    }
  }
  if (best == nullptr)
    return Reason::NoUpstream;
  return UpstreamTarget{bestId, best->Address, std::nullopt, request.Key};
}

std::variant<UpstreamTarget, Reason>
Dispatcher::chooseOwner(const TeamConfig &team,
                        const DispatchRequest &request) const {
  const auto owners = Owners.find(request.Service);
  if (owners == Owners.end() || owners->second->Shards.empty())
    return Reason::NoOwner;
  const OwnershipRecord &record = *owners->second;
  const auto split = record.Splits.find(request.Key);
  const bool isSplit = split != record.Splits.end();
  const ShardId shard = shardOf(request.Key, record.Shards.size());
  const UnitOwner &owner = isSplit ? split->second : record.Shards[shard.Value];
  const auto upstream = team.Upstreams.find(owner.Owner);
  if (upstream == team.Upstreams.end())
    return Reason::NoOwner;
  const OwnedUnit unit = isSplit ? OwnedUnit(request.Key) : OwnedUnit(shard);
  return UpstreamTarget{owner.Owner, upstream->second.Address,
                        GrantedUnit{unit, owner.Fence}, request.Key};
}

const TeamConfig *Dispatcher::findTeam(const TeamId &team) const {
  if (!Config)
    return nullptr;
  const auto it = Config->teams().find(team);
  return it == Config->teams().end() ? nullptr : &it->second;
}

} // namespace waxwing
