/**
 * @file unit_rights_table.cpp
 * Tracking of units until their earlier grants have ended.
 */
#include "ownership/unit_rights_table_base.h"

namespace waxwing {
namespace {

/// Calls @p visit for each unit of a record, with its owner.
template <class F> void forEachUnit(const OwnershipRecord &record, F &&visit) {
  for (std::uint32_t n = 0; n < record.Shards.size(); ++n)
    visit(OwnedUnit(ShardId(n)), record.Shards[n]);
  for (const auto &[key, owner] : record.SplitKeys)
    visit(OwnedUnit(key), owner);
}

const UnitOwner *findOwner(const OwnershipRecord &record,
                           const OwnedUnit &unit) {
  if (const auto *shard = std::get_if<ShardId>(&unit))
    return shard->Value < record.Shards.size() ? &record.Shards[shard->Value]
                                               : nullptr;
  const auto it = record.SplitKeys.find(std::get<KeyHash>(unit));
  return it == record.SplitKeys.end() ? nullptr : &it->second;
}

ShardId shardOfUnit(const OwnershipRecord &record, const OwnedUnit &unit) {
  if (const auto *shard = std::get_if<ShardId>(&unit))
    return *shard;
  return shardOf(std::get<KeyHash>(unit), record.Shards.size());
}

} // namespace

void UnitRightsTable::addOwned(const OwnedUnit &unit, const UpstreamId &owner) {
  if (owner.Value.empty())
    return;
  OwnedUnits[owner].insert(unit);
  ChangedUpstreams.insert(owner);
}

void UnitRightsTable::removeOwned(const OwnedUnit &unit,
                                  const UpstreamId &owner) {
  if (owner.Value.empty())
    return;
  OwnedUnits[owner].erase(unit);
  ChangedUpstreams.insert(owner);
}

void UnitRightsTable::markClear(const OwnedUnit &unit) {
  Rights.at(unit).IsClear = true;
  UnclearUnits.erase(unit);
  if (const UnitOwner *owner = findOwner(Record, unit))
    ChangedUpstreams.insert(owner->Owner);
}

void UnitRightsTable::begin(const OwnershipRecord &record) {
  Rights.clear();
  UnclearUnits.clear();
  OwnedUnits.clear();
  ChangedUpstreams.clear();
  Record = record;
  forEachUnit(record, [&](const OwnedUnit &unit, const UnitOwner &owner) {
    Rights[unit] = {owner.Fence, false, std::nullopt, Time()};
    UnclearUnits.insert(unit);
    addOwned(unit, owner.Owner);
  });
}

void UnitRightsTable::applyChange(const OwnershipRecord &record,
                                  const RightsEnd &rightsEnd) {
  const OwnershipRecord before = std::exchange(Record, record);
  forEachUnit(record, [&](const OwnedUnit &unit, const UnitOwner &after) {
    const UnitOwner *owner = findOwner(before, unit);
    if (owner != nullptr && owner->Fence == after.Fence &&
        owner->Owner == after.Owner)
      return;
    if (owner == nullptr && !before.Shards.empty()) {
      // Until the split, the grants for the shard included the key.
      const ShardId shard = shardOfUnit(before, unit);
      Rights[unit] = Rights.at(shard);
      owner = &before.Shards[shard.Value];
      ChangedUpstreams.insert(owner->Owner);
    }
    changeUnit(unit, owner == nullptr ? UnitOwner() : *owner, after, rightsEnd);
  });
  for (const auto &[key, owner] : before.SplitKeys) {
    if (record.SplitKeys.contains(key))
      continue;
    removeOwned(key, owner.Owner);
    Rights.erase(key);
    UnclearUnits.erase(key);
  }
}

void UnitRightsTable::changeUnit(const OwnedUnit &unit, const UnitOwner &before,
                                 const UnitOwner &after,
                                 const RightsEnd &rightsEnd) {
  const auto [it, isNew] = Rights.try_emplace(unit);
  UnitRights &rights = it->second;
  const bool hasMoved = before.Owner != after.Owner;
  if (isNew)
    rights.IsClear = true;
  else if (rights.IsClear && hasMoved && !before.Owner.Value.empty() &&
           before.Fence != after.Fence)
    rights = {after.Fence, false, before.Owner, rightsEnd(before.Owner)};
  rights.Fence = after.Fence;
  // The only upstream that may hold an earlier grant is the new owner itself.
  if (rights.From == after.Owner)
    rights.IsClear = true;
  if (rights.IsClear)
    UnclearUnits.erase(unit);
  else
    UnclearUnits.insert(unit);
  removeOwned(unit, before.Owner);
  addOwned(unit, after.Owner);
}

void UnitRightsTable::clearReportedUnits(const UpstreamId &from,
                                         const GrantSet &set) {
  for (const GrantedUnit &granted : set.Units) {
    const UnitOwner *owner = findOwner(Record, granted.Unit);
    if (owner != nullptr && owner->Owner == from &&
        owner->Fence == granted.Fence)
      markClear(granted.Unit);
  }
}

void UnitRightsTable::clearUnitsIf(
    const std::function<bool(const UnitRights &)> &hasEnded) {
  const std::set<OwnedUnit> units = UnclearUnits;
  for (const OwnedUnit &unit : units)
    if (hasEnded(Rights.at(unit)))
      markClear(unit);
}

GrantSet UnitRightsTable::grantsOf(const UpstreamId &upstream) const {
  GrantSet set;
  const auto owned = OwnedUnits.find(upstream);
  if (owned == OwnedUnits.end())
    return set;
  for (const OwnedUnit &unit : owned->second)
    if (isClear(unit))
      set.Units.push_back({unit, findOwner(Record, unit)->Fence});
  for (const auto &[key, owner] : Record.SplitKeys) {
    const ShardId shard = shardOfUnit(Record, key);
    if (owned->second.contains(shard) && isClear(shard))
      set.Excluded.push_back(key);
  }
  return set;
}

std::set<UpstreamId> UnitRightsTable::releasingUpstreams() const {
  std::set<UpstreamId> upstreams;
  for (const OwnedUnit &unit : UnclearUnits)
    if (const auto &from = Rights.at(unit).From)
      upstreams.insert(*from);
  return upstreams;
}

} // namespace waxwing
