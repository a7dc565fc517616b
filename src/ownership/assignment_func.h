/**
 * @file assignment_func.h
 * Which unit should move where. Pure functions of the record and of what is
 * known of the upstreams.
 */
#ifndef WAXWING_OWNERSHIP_ASSIGNMENT_FUNC_H
#define WAXWING_OWNERSHIP_ASSIGNMENT_FUNC_H

#include "ownership/ownership_record_cmd.h"

#include <map>
#include <set>
#include <vector>

namespace waxwing {

/// Moves the units without an owner in @p keeping to the least loaded of
/// @p usable; others stay.
std::vector<RecordCommand> moveOrphans(const OwnershipRecord &record,
                                       const std::set<UpstreamId> &keeping,
                                       const std::set<UpstreamId> &usable);

/// Moves shards from the most to the least loaded of @p usable while their
/// loads differ by more than one.
/// @param limit moves at most
std::vector<RecordCommand> balanceShards(const OwnershipRecord &record,
                                         const std::set<UpstreamId> &usable,
                                         std::size_t limit);

/// Splits off each key of @p hot and moves it to the upstream with the
/// least hot load.
/// @param hot request rates of keys that should be units of their own
std::vector<RecordCommand> splitHotKeys(const OwnershipRecord &record,
                                        const std::map<KeyHash, double> &hot,
                                        const std::set<UpstreamId> &usable);

/// Moves each key of @p cool back to its shard's owner, or joins it when it
/// is there and @p isClear.
template <class F>
std::vector<RecordCommand> joinCoolKeys(const OwnershipRecord &record,
                                        const std::set<KeyHash> &cool,
                                        const F &isClear) {
  std::vector<RecordCommand> commands;
  for (const KeyHash &key : cool) {
    const auto split = record.Splits.find(key);
    if (split == record.Splits.end())
      continue;
    const ShardId shard = shardOf(key, record.Shards.size());
    const UpstreamId &owner = record.Shards[shard.Value].Owner;
    if (split->second.Owner != owner)
      commands.emplace_back(MoveUnit{key, owner});
    else if (isClear(key) && isClear(shard))
      commands.emplace_back(JoinKey{key});
  }
  return commands;
}

} // namespace waxwing

#endif
