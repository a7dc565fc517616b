/**
 * @file reader_plan.h
 * The leader's choice of the VMs that read the store for their failure domain.
 */
#ifndef WAXWING_DISTRIBUTION_READER_PLAN_H
#define WAXWING_DISTRIBUTION_READER_PLAN_H

#include "peers/candidacy.h"

#include <map>
#include <optional>

namespace waxwing {

/// A VM as the leader knows it.
struct ReaderCandidate {
  Candidate Vm;
  bool IsReader = false; ///< it reads for others now
  /// It is heard from and, if it is a reader, so is the store by it.
  bool IsFresh = true;
};

/// Readers of each failure domain. Changes of the store and of range maps cross
/// the borders of domains once for each reader, and the leader exchanges
/// messages with readers only.
class ReaderPlan {
public:
  /// Chooses the readers anew; those that work well stay.
  void update(const std::vector<ReaderCandidate> &vms);
  bool isReader(const VmId &vm) const;
  /// @return the reader for a VM of @p domain, or nullopt if it is a reader
  ///   itself or reads for itself
  std::optional<VmId> readerFor(const VmId &vm, const DomainId &domain) const;
  /// @return number of readers of all domains
  std::size_t size() const;

private:
  std::map<DomainId, std::vector<VmId>> Readers; ///< sorted by name
};

} // namespace waxwing

#endif
