/**
 * @file ownership_plan.cpp
 * Planning of record changes by the leader: members, assignment and hot keys.
 */
#include "ownership/ownership_leader_base.h"

#include "ownership/assignment_func.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Balancing moves shards to an upstream only after it has responded without
/// interruption for this time.
constexpr Duration MinAliveTime = seconds(1);
/// A handover between live upstreams waits this long for the conditions of a
/// fast one (canHandOverFast()); then it goes ahead without them.
constexpr Duration SlowHandoverDelay = milliseconds(1500);
/// One balancing change moves at most the average number of shards per usable
/// upstream divided by this, plus one shard.
constexpr std::size_t BalanceStepDivisor = 4;
/// Request rate from which on a key is split off, requests per second.
constexpr double HotKeyRate = 200;
/// A key stays split off for this time after its rate was last at or above
/// HotKeyRate.
constexpr Duration HotKeyRetention = seconds(10);
/// Maximum number of hot keys that are split off.
constexpr std::size_t MaxSplitKeys = 64;

} // namespace

void OwnershipLeader::lead(Time now) {
  clearEndedUnits(now);
  renew(now);
  publishRecordIfDue(now);
  planRecordChange(now);
}

void OwnershipLeader::planRecordChange(Time now) {
  if (PendingCall != StoreCall::None || now < NextStoreCall)
    return;
  if (!IsStoreRevisionKnown)
    return startRecordRead(now);
  if (isRecordOfEarlierEpoch())
    return carryOverRecord(now);
  std::vector<RecordCommand> commands;
  if (Record->Shards.empty() && Definition.ShardCount != 0)
    commands.emplace_back(CreateShards{Definition.ShardCount});
  if (!Record->FormerMemberSets.empty() &&
      EarlierGrants.haveGrantsEnded(MembersRevision))
    commands.emplace_back(DropFormerMemberSets{});
  bool isMemberChange = false;
  if (commands.empty()) {
    commands = planMembers(now);
    isMemberChange = !commands.empty();
  }
  if (commands.empty())
    commands = planUnits(now);
  if (commands.empty())
    return;
  // After a longer silence the store may have been restored, and may have given
  // the known revision to another value.
  if (now >= StoreAnsweredAt + Parameters.ConfirmationTerm)
    return startRecordRead(now);
  if (isMemberChange)
    NextMemberChange = now + 4 * Parameters.Suspicion;
  startRecordWrite(commands, now);
}

/// Writes the record into a store that was restored, if a majority of the
/// members confirms that it is still the newest; else begins a new leadership
/// when no other controller did so.
void OwnershipLeader::carryOverRecord(Time now) {
  if (isRenewalConfirmed(now) &&
      Rounds.isConfirmedSince(Record->Rev, EpochSeenAt))
    return startRecordWrite({}, now);
  if (Failover.isLeaderLongSilent(now) && reachesMostControllers() &&
      Failover.isTakeoverDue(rank(), now))
    takeLeadership(now);
}

bool OwnershipLeader::canHandOverFast(Time now) const {
  return Record->FormerMemberSets.empty() && Rounds.isOnlyRenewer() &&
         isRenewalConfirmed(now) && Rights.unclearUnits().empty() &&
         Orders.isAllAcknowledged(now);
}

PlanInputs OwnershipLeader::planInputs(Time now) const {
  PlanInputs inputs;
  inputs.Record = Record->Rev;
  for (const auto &[id, upstream] : Orders.upstreams()) {
    if (Orders.isLost(upstream, now))
      continue;
    inputs.NotLost.insert(id);
    if (upstream.Definition.IsLeaving)
      continue;
    inputs.NotLeaving.insert(id);
    if (!Orders.isAlive(upstream, now))
      continue;
    inputs.Usable.insert(id);
    if (now >= upstream.AliveSince + MinAliveTime)
      inputs.StableUsable.insert(id);
  }
  for (const auto &[key, it] : HotKeys)
    if (now < it.HotAt + HotKeyRetention && inputs.Hot.size() < MaxSplitKeys)
      inputs.Hot[key] = it.Rate;
  return inputs;
}

std::vector<RecordCommand> OwnershipLeader::planUnits(Time now) {
  PlanInputs inputs = planInputs(now);
  const bool hasSplitKeys = !Record->SplitKeys.empty();
  if (inputs == UnchangedInputs && !hasSplitKeys)
    return {};
  UnchangedInputs = PlanInputs();
  std::vector<RecordCommand> commands =
      reassignUnits(*Record, inputs.NotLost, inputs.Usable);
  if (!commands.empty())
    return commands;
  commands = planHandovers(inputs);
  if (commands.empty()) {
    NoHandoverAt = now;
    UnchangedInputs = std::move(inputs);
    return commands;
  }
  if (!canHandOverFast(now) && now < NoHandoverAt + SlowHandoverDelay)
    commands.clear();
  return commands;
}

std::vector<RecordCommand>
OwnershipLeader::planHandovers(const PlanInputs &inputs) const {
  std::vector<RecordCommand> commands =
      reassignUnits(*Record, inputs.NotLeaving, inputs.Usable);
  if (commands.empty())
    commands = splitHotKeys(*Record, inputs.Hot, inputs.Usable);
  if (commands.empty())
    commands = mergeColdKeys(*Record, inputs.Hot, [&](const OwnedUnit &unit) {
      return Rights.isClear(unit);
    });
  const std::size_t step =
      Record->Shards.size() /
      std::max<std::size_t>(1, inputs.Usable.size() * BalanceStepDivisor);
  if (commands.empty())
    commands = balanceShards(*Record, inputs.StableUsable, step + 1);
  return commands;
}

void OwnershipLeader::on(const HotKeysReported &event, Time now) {
  std::erase_if(HotKeys, [&](const auto &entry) {
    return now >= entry.second.HotAt + HotKeyRetention;
  });
  for (const auto &[key, rate] : event.Rates)
    if (rate >= HotKeyRate)
      HotKeys[key] = {rate, now};
}

} // namespace waxwing
