/**
 * @file grant_ledger_base.h
 * What a leader knows of each unit: whether anybody but its owner may still
 * hold rights on it.
 */
#ifndef WAXWING_OWNERSHIP_GRANT_LEDGER_BASE_H
#define WAXWING_OWNERSHIP_GRANT_LEDGER_BASE_H

#include "ownership/ownership_record_base.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace waxwing {

/// Rights on one unit as far as its leader knows.
/// Invariant: when IsClear, nobody but the owner in the record holds rights.
struct UnitRights {
  Token Fence;
  bool IsClear = false;
  std::optional<UpstreamId> From; ///< only possible holder when not clear;
                                  ///< absent: anybody
  Time FromEnd; ///< when the rights that this process gave to From end
};

/// Follows the record of this process's leadership.
class GrantLedger {
public:
  /// Returns when rights that this process gave to an upstream end.
  using RightsEnd = std::function<Time(const UpstreamId &)>;

  /// Begins a leadership: nothing is known of any unit.
  void begin(const OwnershipRecord &record);
  /// Takes over a change that this process wrote.
  void change(const OwnershipRecord &record, const RightsEnd &rightsEnd);
  /// An upstream told that it was granted @p set, lapsed or not. Whoever
  /// granted a unit under the token of the record had seen all earlier
  /// rights end, and nobody else can have rights under this token.
  void report(const UpstreamId &from, const GrantSet &set);
  /// Clears the units whose earlier rights have ended.
  void clear(const std::function<bool(const UnitRights &)> &hasEnded);

  /// @return units of an upstream that may be granted now
  GrantSet grantsOf(const UpstreamId &upstream) const;
  /// @return upstreams whose grants may have changed since the last call
  std::set<UpstreamId> takeTouched() { return std::exchange(Touched, {}); }
  bool isClear(const OwnedUnit &unit) const { return !Waiting.contains(unit); }
  /// @return units whose earlier rights may last
  const std::set<OwnedUnit> &waiting() const { return Waiting; }
  /// @return possible holders of units that are not clear
  std::set<UpstreamId> releasing() const;

private:
  void own(const OwnedUnit &unit, const UpstreamId &owner);
  void disown(const OwnedUnit &unit, const UpstreamId &owner);
  void settle(const OwnedUnit &unit);
  void changeUnit(const OwnedUnit &unit, const UnitOwner &before,
                  const UnitOwner &after, const RightsEnd &rightsEnd);

  OwnershipRecord Record; ///< the record that Rights describe
  std::map<OwnedUnit, UnitRights> Rights;
  std::set<OwnedUnit> Waiting; ///< units in Rights that are not clear
  std::map<UpstreamId, std::set<OwnedUnit>> Owned; ///< index of Record
  std::set<UpstreamId> Touched;
};

} // namespace waxwing

#endif
