/**
 * @file member_states.h
 * Table of the names of member states.
 */
#ifndef WAXWING_TABLE_MEMBER_STATES_H
#define WAXWING_TABLE_MEMBER_STATES_H

#include "membership/membership_type.h"

#include <array>
#include <string_view>

namespace waxwing {

/// Names of member states, indexed by MemberState.
constexpr std::array<std::string_view, 5> MemberStateNames{
    "new", "live", "leaving", "suspected", "dead"};

/// @return the name of @p state
constexpr std::string_view memberStateName(MemberState state) {
  return MemberStateNames[static_cast<std::size_t>(state)];
}

} // namespace waxwing

#endif
