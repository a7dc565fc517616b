/**
 * @file ownership_plan.cpp
 * What a leader writes: members, assignment, hot keys.
 */
#include "ownership/ownership_leader_base.h"

#include "ownership/assignment_func.h"

#include <algorithm>

namespace waxwing {
namespace {

/// An upstream that came back takes shards after this time without a pause.
constexpr Duration ReturnDelay = seconds(1);
/// A live upstream's shards are handed over slowly after this time, when no
/// fast way is found.
constexpr Duration SlowHandoverDelay = milliseconds(1500);
/// One change moves at most this part of an upstream's fair share.
constexpr std::size_t BalanceStepDivisor = 4;
/// A key with a higher rate is split off, requests per second.
constexpr double HotKeyRate = 200;
/// A key stays split off this long after its rate was last high.
constexpr Duration HotKeyHold = seconds(10);
constexpr std::size_t MaxSplitKeys = 64;

} // namespace

void OwnershipLeader::lead(Time now) {
  clearEnded(now);
  renew(now);
  publishDue(now);
  planChange(now);
}

void OwnershipLeader::planChange(Time now) {
  if (PendingCall != StoreCall::None || now < NextStoreCall)
    return;
  if (!IsStoreRevisionKnown)
    return readRecord(now);
  std::vector<RecordCommand> commands;
  if (Record->Shards.empty() && Definition.ShardCount != 0)
    commands.emplace_back(CreateShards{Definition.ShardCount});
  if (!Record->FormerMemberSets.empty() &&
      EarlierGrants.isOver(MembersRevision))
    commands.emplace_back(DropFormer{});
  if (commands.empty())
    commands = planMembers(now);
  if (commands.empty())
    commands = planUnits(now);
  if (!commands.empty())
    writeRecord(commands, now);
}

bool OwnershipLeader::canHandOverFast(Time now) const {
  return Record->FormerMemberSets.empty() && Rounds.isOnlyRenewer() &&
         isRenewalConfirmed(now) && Rights.waiting().empty() &&
         Orders.isAllAcknowledged(now);
}

PlanInputs OwnershipLeader::planInputs(Time now) const {
  PlanInputs inputs;
  inputs.Record = Record->Rev;
  for (const auto &[id, upstream] : Orders.upstreams()) {
    if (Orders.isLost(upstream, now))
      continue;
    inputs.Retaining.insert(id);
    if (upstream.Definition.IsLeaving)
      continue;
    inputs.NotLeaving.insert(id);
    if (!Orders.isAlive(upstream, now))
      continue;
    inputs.Usable.insert(id);
    if (now >= upstream.AliveSince + ReturnDelay)
      inputs.StableUsable.insert(id);
  }
  for (const auto &[key, it] : HotKeys)
    if (now < it.HotAt + HotKeyHold && inputs.Hot.size() < MaxSplitKeys)
      inputs.Hot[key] = it.Rate;
  return inputs;
}

std::vector<RecordCommand> OwnershipLeader::planUnits(Time now) {
  PlanInputs inputs = planInputs(now);
  const bool isWaitingToJoin = !Record->SplitKeys.empty();
  if (inputs == UnchangedInputs && !isWaitingToJoin)
    return {};
  UnchangedInputs = PlanInputs();
  std::vector<RecordCommand> commands =
      reassignUnits(*Record, inputs.Retaining, inputs.Usable);
  if (!commands.empty())
    return commands;
  commands = planHandovers(inputs);
  if (commands.empty()) {
    HandoverPendingSince = now;
    UnchangedInputs = std::move(inputs);
    return commands;
  }
  if (!canHandOverFast(now) && now < HandoverPendingSince + SlowHandoverDelay)
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
    commands = joinColdKeys(*Record, inputs.Hot, [&](const OwnedUnit &unit) {
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
    return now >= entry.second.HotAt + HotKeyHold;
  });
  for (const auto &[key, rate] : event.Rates)
    if (rate >= HotKeyRate)
      HotKeys[key] = {rate, now};
}

} // namespace waxwing
