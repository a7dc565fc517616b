/**
 * @file store.cpp
 * Compare-and-swap, leases, listing and restoration of the store stand-in.
 */
#include "standin/store_base.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace waxwing {

StoredValue StoreState::get(const std::string &key) const {
  const auto it = Values.find(key);
  const bool isMissing = it == Values.end() || it->second.IsRemoved;
  return isMissing ? StoredValue() : it->second;
}

bool StoreState::compareAndSwap(const std::string &key, Revision expected,
                                std::string value, Revision &current,
                                LeaseId lease) {
  current = get(key).Rev;
  if (current != expected)
    return false;
  if (lease != LeaseId() && !Leases.contains(lease))
    return false;
  LastRevision = Revision(LastRevision.Value + 1);
  Values[key] = {LastRevision, std::move(value), lease, false};
  current = LastRevision;
  return true;
}

LeaseId StoreState::grantLease(Duration term, Time now) {
  LastLease = LeaseId(LastLease.Value + 1);
  Leases[LastLease] = now + term;
  return LastLease;
}

bool StoreState::renewLease(LeaseId lease, Duration term, Time now) {
  const auto it = Leases.find(lease);
  if (it == Leases.end() || now >= it->second)
    return false;
  it->second = now + term;
  return true;
}

bool StoreState::expireLeases(Time now) {
  std::vector<LeaseId> expired;
  for (const auto &[lease, end] : Leases)
    if (now >= end)
      expired.push_back(lease);
  bool hasRemovedKey = false;
  for (const LeaseId lease : expired)
    hasRemovedKey = expireLease(lease) || hasRemovedKey;
  return hasRemovedKey;
}

bool StoreState::expireAllLeases() { return expireLeases(Time::max()); }

bool StoreState::expireLease(LeaseId lease) {
  Leases.erase(lease);
  bool hasRemovedKey = false;
  for (auto &[key, value] : Values) {
    if (value.Lease != lease || value.IsRemoved)
      continue;
    LastRevision = Revision(LastRevision.Value + 1);
    value = {LastRevision, "", LeaseId(), true};
    hasRemovedKey = true;
  }
  return hasRemovedKey;
}

std::string StoreState::encodeEntries(const std::string &prefix,
                                      Revision after) const {
  using Json = nlohmann::json;
  Json entries = Json::array();
  for (auto it = Values.lower_bound(prefix);
       it != Values.end() && it->first.starts_with(prefix); ++it)
    if (it->second.Rev > after && !it->second.IsRemoved)
      entries.push_back(
          {it->first, it->second.Rev.Value,
           Json::binary(std::vector<std::uint8_t>(it->second.Value.begin(),
                                                  it->second.Value.end()))});
  std::string bytes;
  Json::to_cbor({{"epoch", Epoch},
                 {"revision", LastRevision.Value},
                 {"entries", entries}},
                bytes);
  return bytes;
}

bool StoreState::hasNewerEntry(const std::string &prefix,
                               Revision after) const {
  auto it = Values.lower_bound(prefix);
  for (; it != Values.end() && it->first.starts_with(prefix); ++it)
    if (it->second.Rev > after)
      return true;
  return false;
}

void StoreState::keepCopy(Time now) {
  Copies.push_back({now, Values, Leases, LastLease, LastRevision});
  while (now - Copies.front().CopiedAt > MaxStoreCopyAge)
    Copies.pop_front();
}

bool StoreState::restore(Duration age, Time now) {
  const auto newer =
      std::ranges::upper_bound(Copies, now - age, {}, &Copy::CopiedAt);
  if (newer == Copies.begin())
    return false;
  Copies.erase(newer, Copies.end());
  const Copy &copy = Copies.back();
  Values = copy.Values;
  Leases = copy.Leases;
  for (auto &[lease, end] : Leases)
    end += now - copy.CopiedAt;
  LastLease = copy.LastLease;
  LastRevision = copy.LastRevision;
  ++Epoch;
  return true;
}

} // namespace waxwing
