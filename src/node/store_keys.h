/**
 * @file store_keys.h
 * Keys that waxwing-node keeps in the platform's store.
 */
#ifndef WAXWING_NODE_STORE_KEYS_H
#define WAXWING_NODE_STORE_KEYS_H

#include <string_view>

namespace waxwing {

/// Name and address of the leader, under the leader's lease.
inline constexpr std::string_view LeaderKey = "waxwing/leader";
/// One range map for each service, by the service's name.
inline constexpr std::string_view RangePrefix = "waxwing/ranges/";

} // namespace waxwing

#endif
