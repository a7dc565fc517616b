/**
 * @file store_revision_type.h
 * Revisions of the platform's store that stay ordered when the store is
 * restored from an older copy. A restored store counts its revisions again from
 * that of the copy, so the number alone does not say which state is newer. Each
 * restoration begins a new epoch; the epoch in the upper bits orders revisions
 * across restorations, as in the transaction ids of replicated logs.
 */
#ifndef WAXWING_CORE_STORE_REVISION_TYPE_H
#define WAXWING_CORE_STORE_REVISION_TYPE_H

#include "core/time_type.h"

#include <cstdint>

namespace waxwing {

/// Number of the store's epoch; rises by one with each restoration.
using StoreEpoch = std::uint32_t;
/// Epoch and counter of a change; 0: none. Any revision of a later epoch is
/// greater than all revisions of earlier epochs.
using StoreRevision = std::uint64_t;

/// Bits of a StoreRevision that hold the store's own counter.
inline constexpr int StoreCounterBits = 44;
inline constexpr std::uint64_t MaxStoreCounter =
    (std::uint64_t{1} << StoreCounterBits) - 1;
inline constexpr StoreEpoch MaxStoreEpoch =
    (StoreEpoch{1} << (64 - StoreCounterBits)) - 1;

/// @param counter revision as counted by the store, at most MaxStoreCounter
constexpr StoreRevision makeStoreRevision(StoreEpoch epoch,
                                          std::uint64_t counter) {
  return (static_cast<std::uint64_t>(epoch) << StoreCounterBits) | counter;
}
/// @return epoch in which @p revision was counted
constexpr StoreEpoch epochOf(StoreRevision revision) {
  return static_cast<StoreEpoch>(revision >> StoreCounterBits);
}
/// @return the revision as counted by the store
constexpr std::uint64_t counterOf(StoreRevision revision) {
  return revision & MaxStoreCounter;
}

/// The store's epoch as this VM knows it.
struct EpochInfo {
  StoreEpoch Epoch = 0; ///< 0 if the store states none
  /// When this VM learned that the epoch had begun; Time() if it has known no
  /// earlier one.
  Time BegunAt;
  /// The process started together with the whole system, so that no earlier
  /// epoch has been in use if it has known none.
  bool IsFirstStart = true;

  /// @return true if VMs may have used an earlier epoch of the store
  bool mayHaveEarlier() const { return BegunAt != Time() || !IsFirstStart; }
};

} // namespace waxwing

#endif
