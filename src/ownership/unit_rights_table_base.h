/**
 * @file unit_rights_table_base.h
 * Tracks for each unit (a shard or split key) whether an upstream other than
 * its owner may still hold a grant for it.
 */
#ifndef WAXWING_OWNERSHIP_UNIT_RIGHTS_TABLE_BASE_H
#define WAXWING_OWNERSHIP_UNIT_RIGHTS_TABLE_BASE_H

#include "ownership/ownership_record_base.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace waxwing {

/// Grants that may exist for a unit, as far as the leader knows.
/// Invariant: if IsClear, no upstream but the owner in the record holds a
/// grant.
struct UnitRights {
  FencingToken Fence;
  bool IsClear = false;
  /// If not clear: the only other upstream that may hold a grant for the unit;
  /// absent if it may be any upstream.
  std::optional<UpstreamId> From;
  Time FromEnd; ///< end of all grants by this process to upstream From
};

/// State of all units of the record during one leadership. A unit is clear when
/// no earlier grant for it can still be valid; only clear units are granted.
class UnitRightsTable {
public:
  /// Returns when the grants by this process to an upstream end.
  using RightsEnd = std::function<Time(const UpstreamId &)>;

  /// Starts over at the beginning of a leadership; no unit is clear.
  void begin(const OwnershipRecord &record);
  /// Updates the table after this process wrote a change of the record.
  void applyChange(const OwnershipRecord &record, const RightsEnd &rightsEnd);
  /// Clears the units of @p set, which an upstream reported to hold or to have
  /// held, when owner and fencing token are those of the record. Whoever
  /// granted a unit under this token had waited for the end of all earlier
  /// grants, and nobody else can hold a grant under this token.
  void clearReportedUnits(const UpstreamId &from, const GrantSet &set);
  /// Clears the units whose earlier grants have ended.
  void clearUnitsIf(const std::function<bool(const UnitRights &)> &hasEnded);

  /// @return clear units of an upstream, which may be granted now
  GrantSet grantsOf(const UpstreamId &upstream) const;
  /// @return upstreams whose grants may have changed since the last call
  std::set<UpstreamId> takeChangedUpstreams() {
    return std::exchange(ChangedUpstreams, {});
  }
  bool isClear(const OwnedUnit &unit) const {
    return !UnclearUnits.contains(unit);
  }
  /// @return units that are not clear
  const std::set<OwnedUnit> &unclearUnits() const { return UnclearUnits; }
  /// @return upstreams that may still hold a unit that was moved away
  std::set<UpstreamId> releasingUpstreams() const;

private:
  void addOwned(const OwnedUnit &unit, const UpstreamId &owner);
  void removeOwned(const OwnedUnit &unit, const UpstreamId &owner);
  void markClear(const OwnedUnit &unit);
  void changeUnit(const OwnedUnit &unit, const UnitOwner &before,
                  const UnitOwner &after, const RightsEnd &rightsEnd);

  OwnershipRecord Record; ///< record that Rights refers to
  std::map<OwnedUnit, UnitRights> Rights;
  std::set<OwnedUnit> UnclearUnits; ///< units that are not clear
  /// Units of each owner in Record.
  std::map<UpstreamId, std::set<OwnedUnit>> OwnedUnits;
  std::set<UpstreamId> ChangedUpstreams;
};

} // namespace waxwing

#endif
