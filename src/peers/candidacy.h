/**
 * @file candidacy.h
 * Decides which VM should become leader next. A VM without links to the
 * upstreams cannot grant keys, so it leads only if no other VM does. The
 * leader's work grows with the number of upstreams, so VMs with more CPU cores
 * come first. Among VMs with equally many cores, successive successors are in
 * different failure domains where possible, so that the loss of a domain delays
 * the election by one step only.
 */
#ifndef WAXWING_PEERS_CANDIDACY_H
#define WAXWING_PEERS_CANDIDACY_H

#include "core/id_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <set>
#include <vector>

namespace waxwing {

/// A VM that is a candidate for leadership.
struct Candidate {
  VmId Vm;
  DomainId Domain;
  double CpuCores = 1; ///< CPU time available to the VM, in cores

  bool operator==(const Candidate &) const = default;
};

/// Largest number of successors (VMs that try first to become the next leader)
/// that a leader names.
constexpr std::size_t MaxSuccessors = 6;

/// @param withoutLinks candidates that cannot open connections to upstreams
/// @param term term of the current leader; the order among otherwise equal VMs
///   differs by term
/// @return the VMs that should become leader after @p leader, best first
std::vector<VmId> chooseSuccessors(std::vector<Candidate> candidates,
                                   const std::set<VmId> &withoutLinks,
                                   const VmId &leader, std::uint64_t term);

/// @return how long @p self waits after leadership became vacant before it
///   tries to become leader. Successors try one after the other, then all other
///   VMs, those with more CPU cores first, and VMs without links last.
/// @param hasLinks @p self can open connections to upstreams
/// @param successors successors named by the last leader; empty when unknown
Duration candidacyDelay(const Candidate &self, bool hasLinks,
                        const std::vector<VmId> &successors,
                        std::uint64_t term);

/// @return true when another VM has so many more CPU cores than @p leader that
///   the leader should yield
bool shouldYieldLeadership(const Candidate &leader,
                           const std::vector<Candidate> &others);

} // namespace waxwing

#endif
