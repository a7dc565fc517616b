/**
 * @file change_history.h
 * Recent changes of the store's keys under one prefix, kept by a VM that reads
 * the store for others.
 */
#ifndef WAXWING_DISTRIBUTION_CHANGE_HISTORY_H
#define WAXWING_DISTRIBUTION_CHANGE_HISTORY_H

#include "store_protocol.h"

#include <cstddef>
#include <deque>

namespace waxwing {

/// Changes that take a replica from any state between revisions Base and To to
/// the state at revision To.
struct ChangeBatch {
  std::uint64_t Base = 0;
  std::uint64_t To = 0;
  std::vector<platform::StoreChange> Changes;
};

/// Holds batches that fit into one datagram each. Invariant: every batch begins
/// at the revision at which the one before it ends.
class ChangeHistory {
public:
  /// Forgets all changes; the state is that of @p revision.
  void reset(std::uint64_t revision);
  /// Adds the changes that follow the last ones. A batch that does not follow
  /// replaces the whole history.
  /// @return the batches into which @p batch was split
  std::vector<ChangeBatch> add(ChangeBatch batch);
  /// @return the batches that a replica at @p revision lacks; nullopt if they
  ///   are no longer held or do not fit into datagrams
  std::optional<std::vector<ChangeBatch>> since(std::uint64_t revision) const;
  std::uint64_t revision() const { return Revision; }

private:
  std::deque<ChangeBatch> Batches;
  std::size_t Bytes = 0;      ///< estimated size of Batches
  std::uint64_t Revision = 0; ///< end of the last batch
};

/// @return estimated size of @p batch in a datagram, bytes
std::size_t estimateSize(const ChangeBatch &batch);
/// Larger batches are not sent; the VMs that lack them read the store.
inline constexpr std::size_t MaxBatchBytes = 48000;

} // namespace waxwing

#endif
