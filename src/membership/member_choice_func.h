/**
 * @file member_choice_func.h
 * Choices that every VM makes alike from the same members: whom to link to,
 * and who watches the store.
 */
#ifndef WAXWING_MEMBERSHIP_MEMBER_CHOICE_FUNC_H
#define WAXWING_MEMBERSHIP_MEMBER_CHOICE_FUNC_H

#include "membership/membership_type.h"

#include <span>
#include <vector>

namespace waxwing {

/// VMs that watch the store.
constexpr std::size_t StoreWatcherCount = 3;

/// Chooses the members that @p self opens links to: all of a small group;
/// of a large one its successors on a ring, which connect the whole, and
/// pseudo-random ones in each failure domain, which keep paths short.
/// @param others reachable members without @p self
std::vector<VmId> chooseLinks(const VmId &self,
                              std::span<const MemberEntry> others,
                              const MembershipParameters &terms);

/// Chooses the VMs that watch the store, spread over regions and failure
/// domains.
/// @param live members that are live, with this process's own entry
std::vector<VmId> chooseWatchers(std::span<const MemberEntry> live);

} // namespace waxwing

#endif
