/**
 * @file assignment.cpp
 * Assignment of units to the least loaded upstreams, with few moves.
 */
#include "ownership/assignment_func.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Upstreams sorted by load: a number of units or a request rate.
class UpstreamsByLoad {
public:
  /// The initial load of an upstream is the number of units it owns in
  /// @p record.
  UpstreamsByLoad(const std::set<UpstreamId> &usable,
                  const OwnershipRecord &record)
      : UpstreamsByLoad(usable) {
    for (const UnitOwner &shard : record.Shards)
      count(shard.Owner);
    for (const auto &[key, owner] : record.SplitKeys)
      count(owner.Owner);
    order();
  }
  explicit UpstreamsByLoad(const std::set<UpstreamId> &usable) {
    for (const UpstreamId &id : usable)
      Loads[id] = 0;
    order();
  }

  bool isEmpty() const { return Order.empty(); }
  const UpstreamId &findLeastLoaded() const { return Order.begin()->second; }
  const UpstreamId &mostLoaded() const { return Order.rbegin()->second; }
  double loadDifference() const {
    return Order.rbegin()->first - Order.begin()->first;
  }

  void add(const UpstreamId &id, double load) {
    const auto it = Loads.find(id);
    if (it == Loads.end())
      return;
    Order.erase({it->second, id});
    it->second += load;
    Order.emplace(it->second, id);
  }

private:
  void count(const UpstreamId &id) {
    if (const auto it = Loads.find(id); it != Loads.end())
      ++it->second;
  }
  void order() {
    Order.clear();
    for (const auto &[id, load] : Loads)
      Order.emplace(load, id);
  }

  std::map<UpstreamId, double> Loads;
  std::set<std::pair<double, UpstreamId>> Order;
};

} // namespace

std::vector<RecordCommand> reassignUnits(const OwnershipRecord &record,
                                         const std::set<UpstreamId> &keeping,
                                         const std::set<UpstreamId> &usable) {
  std::vector<RecordCommand> commands;
  if (usable.empty())
    return commands;
  UpstreamsByLoad loads(usable, record);
  const auto moveUnlessKept = [&](const OwnedUnit &unit,
                                  const UnitOwner &owner) {
    if (keeping.contains(owner.Owner))
      return;
    const UpstreamId to = loads.findLeastLoaded();
    loads.add(to, 1);
    commands.emplace_back(MoveUnit{unit, to});
  };
  for (std::uint32_t n = 0; n < record.Shards.size(); ++n)
    moveUnlessKept(ShardId(n), record.Shards[n]);
  for (const auto &[key, owner] : record.SplitKeys)
    moveUnlessKept(key, owner);
  return commands;
}

std::vector<RecordCommand> balanceShards(const OwnershipRecord &record,
                                         const std::set<UpstreamId> &usable,
                                         std::size_t limit) {
  std::vector<RecordCommand> commands;
  if (usable.empty())
    return commands;
  UpstreamsByLoad loads(usable, record);
  if (loads.loadDifference() < 2)
    return commands;
  std::map<UpstreamId, std::vector<ShardId>> owned;
  for (std::uint32_t n = 0; n < record.Shards.size(); ++n)
    owned[record.Shards[n].Owner].emplace_back(n);
  while (loads.loadDifference() >= 2 && commands.size() < limit) {
    const UpstreamId from = loads.mostLoaded();
    const UpstreamId to = loads.findLeastLoaded();
    std::vector<ShardId> &shards = owned[from];
    if (shards.empty())
      break;
    commands.emplace_back(MoveUnit{shards.back(), to});
    shards.pop_back();
    loads.add(from, -1);
    loads.add(to, 1);
  }
  return commands;
}

std::vector<RecordCommand> splitHotKeys(const OwnershipRecord &record,
                                        const std::map<KeyHash, double> &hot,
                                        const std::set<UpstreamId> &usable) {
  std::vector<RecordCommand> commands;
  UpstreamsByLoad loads(usable);
  if (loads.isEmpty() || record.Shards.empty())
    return commands;
  for (const auto &[key, rate] : hot)
    if (const auto it = record.SplitKeys.find(key);
        it != record.SplitKeys.end())
      loads.add(it->second.Owner, rate);
  for (const auto &[key, rate] : hot) {
    if (record.SplitKeys.contains(key))
      continue;
    commands.emplace_back(SplitKey{key});
    const UpstreamId to = loads.findLeastLoaded();
    loads.add(to, rate);
    const ShardId shard = shardOf(key, record.Shards.size());
    if (record.Shards[shard.Value].Owner != to)
      commands.emplace_back(MoveUnit{key, to});
  }
  return commands;
}

std::vector<RecordCommand>
mergeColdKeys(const OwnershipRecord &record,
              const std::map<KeyHash, double> &hot,
              const std::function<bool(const OwnedUnit &)> &isClear) {
  std::vector<RecordCommand> commands;
  for (const auto &[key, owner] : record.SplitKeys) {
    if (hot.contains(key))
      continue;
    const ShardId shard = shardOf(key, record.Shards.size());
    const UpstreamId &shardOwner = record.Shards[shard.Value].Owner;
    if (owner.Owner != shardOwner)
      commands.emplace_back(MoveUnit{key, shardOwner});
    else if (isClear(key) && isClear(shard))
      commands.emplace_back(MergeKey{key});
  }
  return commands;
}

} // namespace waxwing
