/**
 * @file assignment_func.h
 * Which unit should move where. Pure functions of the record and of what is
 * known of the upstreams.
 */
#ifndef WAXWING_OWNERSHIP_ASSIGNMENT_FUNC_H
#define WAXWING_OWNERSHIP_ASSIGNMENT_FUNC_H

#include "ownership/ownership_record_cmd.h"

#include <functional>
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

/// SplitKeys off each key of @p hot and moves it to the upstream with the
/// least hot load.
/// @param hot request rates of keys that should be units of their own
std::vector<RecordCommand> splitHotKeys(const OwnershipRecord &record,
                                        const std::map<KeyHash, double> &hot,
                                        const std::set<UpstreamId> &usable);

/// Moves each split key that is not in @p hot back to its shard's owner, or
/// joins it when it is there and @p isClear.
std::vector<RecordCommand>
joinCoolKeys(const OwnershipRecord &record,
             const std::map<KeyHash, double> &hot,
             const std::function<bool(const OwnedUnit &)> &isClear);

} // namespace waxwing

#endif
