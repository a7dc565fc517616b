/**
 * @file candidacy.h
 * Which VM should lead next. The leader's work grows with the number of
 * upstreams, so VMs with much processor time come first; neighbours in the
 * order stand in different failure domains, so that the loss of a domain
 * delays the next leader by one step only.
 */
#ifndef WAXWING_PEERS_CANDIDACY_H
#define WAXWING_PEERS_CANDIDACY_H

#include "core/id_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <vector>

namespace waxwing {

/// A VM as a candidate for leadership.
struct Candidate {
  VmId Vm;
  DomainId Domain;
  double CpuCores = 1; ///< cores

  bool operator==(const Candidate &) const = default;
};

/// VMs that are named as successors of a leader.
constexpr std::size_t MaxSuccessors = 6;

/// @param term of the present leader; the order among equals differs by term
/// @return the VMs that should lead after @p leader, best first
std::vector<VmId> chooseSuccessors(std::vector<Candidate> candidates,
                                   const VmId &leader, std::uint64_t term);

/// @return how long @p self waits after leadership became vacant before it
///   tries to lead: successors come one after the other, the others follow by
///   their processor time
/// @param successors as the last leader named them; empty when unknown
Duration candidacyDelay(const Candidate &self,
                        const std::vector<VmId> &successors,
                        std::uint64_t term);

/// @return true when @p leader should give way to a VM with far more
///   processor time
bool shouldYieldLeadership(const Candidate &leader,
                           const std::vector<Candidate> &others);

} // namespace waxwing

#endif
