/**
 * @file member_choice_func.h
 * Deterministic choice of link targets (members to open links to) and store
 * watchers (members that watch the store for changes). From the same members,
 * every VM chooses the same watchers.
 */
#ifndef WAXWING_MEMBERSHIP_MEMBER_CHOICE_FUNC_H
#define WAXWING_MEMBERSHIP_MEMBER_CHOICE_FUNC_H

#include "membership/membership_type.h"

#include <span>
#include <vector>

namespace waxwing {

/// Number of VMs that watch the store.
constexpr std::size_t StoreWatcherCount = 3;

/// Chooses the members that @p self opens links to. In a small group these are
/// all members. In a large group they are its successors on a ring, which keep
/// the graph of links connected, and pseudo-random members of each failure
/// domain, which keep paths short.
/// @param others reachable members, without @p self
/// @return the chosen members, sorted
std::vector<VmId> chooseLinks(const VmId &self,
                              std::span<const MemberEntry> others,
                              const MembershipParameters &parameters);

/// Chooses the VMs that watch the store, spread over regions and failure
/// domains.
/// @param live all live members, including this process's own entry
std::vector<VmId> chooseWatchers(std::span<const MemberEntry> live);

} // namespace waxwing

#endif
