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
constexpr std::size_t SplitsAtMost = 64;

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
  if (!Record->Former.empty() && Quiet.isOver(MembersSince))
    commands.emplace_back(DropFormer{});
  if (commands.empty())
    commands = planMembers(now);
  if (commands.empty())
    commands = planUnits(now);
  if (!commands.empty())
    writeRecord(commands, now);
}

bool OwnershipLeader::isHandoverFast(Time now) const {
  return Record->Former.empty() && Rounds.isSole() && isRenewalConfirmed(now) &&
         Ledger.waiting().empty() && Orders.isSettled(now);
}

std::vector<RecordCommand> OwnershipLeader::planUnits(Time now) {
  std::set<UpstreamId> keeping;
  std::set<UpstreamId> leaving;
  std::set<UpstreamId> usable;
  std::set<UpstreamId> steady;
  for (const auto &[id, upstream] : Orders.upstreams()) {
    if (Orders.isLost(upstream, now))
      continue;
    keeping.insert(id);
    if (upstream.Definition.IsLeaving)
      leaving.insert(id);
    else if (Orders.isAlive(upstream, now))
      usable.insert(id);
    if (usable.contains(id) && now >= upstream.AliveSince + ReturnDelay)
      steady.insert(id);
  }
  std::vector<RecordCommand> commands = moveOrphans(*Record, keeping, usable);
  if (!commands.empty())
    return commands;
  std::set<UpstreamId> staying = keeping;
  for (const UpstreamId &id : leaving)
    staying.erase(id);
  commands = moveOrphans(*Record, staying, usable);
  if (commands.empty())
    commands = planHotKeys(usable, now);
  if (commands.empty())
    commands = balanceShards(
        *Record, steady,
        Record->Shards.size() /
                std::max<std::size_t>(1, usable.size() * BalanceStepDivisor) +
            1);
  if (commands.empty()) {
    MoveWantedSince = now;
    return commands;
  }
  if (!isHandoverFast(now) && now < MoveWantedSince + SlowHandoverDelay)
    commands.clear();
  return commands;
}

std::vector<RecordCommand>
OwnershipLeader::planHotKeys(const std::set<UpstreamId> &usable, Time now) {
  std::map<KeyHash, double> hot;
  std::set<KeyHash> cool;
  for (const auto &[key, owner] : Record->Splits)
    cool.insert(key);
  for (const auto &[key, it] : HotKeys) {
    if (now >= it.HotAt + HotKeyHold)
      continue;
    cool.erase(key);
    if (hot.size() < SplitsAtMost)
      hot[key] = it.Rate;
  }
  std::erase_if(HotKeys, [&](const auto &entry) {
    return now >= entry.second.HotAt + HotKeyHold;
  });
  std::vector<RecordCommand> commands = splitHotKeys(*Record, hot, usable);
  if (commands.empty())
    commands = joinCoolKeys(*Record, cool, [&](const OwnedUnit &unit) {
      return Ledger.isClear(unit);
    });
  return commands;
}

void OwnershipLeader::on(const HotKeysReported &event, Time now) {
  for (const auto &[key, rate] : event.Rates)
    if (rate >= HotKeyRate)
      HotKeys[key] = {rate, now};
}

} // namespace waxwing
