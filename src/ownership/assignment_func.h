/**
 * @file assignment_func.h
 * Decides which units (a unit is a shard or a key split off from its shard)
 * move to which upstreams. Pure functions of the ownership record and of the
 * state of the upstreams.
 */
#ifndef WAXWING_OWNERSHIP_ASSIGNMENT_FUNC_H
#define WAXWING_OWNERSHIP_ASSIGNMENT_FUNC_H

#include "ownership/ownership_record_cmd.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace waxwing {

/// Moves each unit whose owner is not in @p keeping to the upstream of
/// @p usable that owns the fewest units.
std::vector<RecordCommand> reassignUnits(const OwnershipRecord &record,
                                         const std::set<UpstreamId> &keeping,
                                         const std::set<UpstreamId> &usable);

/// Moves shards from the upstream of @p usable with the most units to the one
/// with the fewest, while these differ by two units or more.
/// @param limit maximum number of moves
std::vector<RecordCommand> balanceShards(const OwnershipRecord &record,
                                         const std::set<UpstreamId> &usable,
                                         std::size_t limit);

/// Splits off each key of @p hot and moves it to the upstream with the lowest
/// request rate of hot keys.
/// @param hot request rates of the keys to split off, per second
std::vector<RecordCommand> splitHotKeys(const OwnershipRecord &record,
                                        const std::map<KeyHash, double> &hot,
                                        const std::set<UpstreamId> &usable);

/// Moves each split key that is not in @p hot back to the owner of its shard.
/// If that upstream already owns the key, merges the key into the shard when
/// both are clear (no earlier grant of them can still be valid).
/// @param isClear returns whether no earlier grant of a unit can still be valid
std::vector<RecordCommand>
mergeColdKeys(const OwnershipRecord &record,
              const std::map<KeyHash, double> &hot,
              const std::function<bool(const OwnedUnit &)> &isClear);

} // namespace waxwing

#endif
