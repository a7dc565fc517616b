/**
 * @file store_keys.h
 * Keys that waxwing-node writes to the platform's store.
 */
#ifndef WAXWING_NODE_STORE_KEYS_H
#define WAXWING_NODE_STORE_KEYS_H

#include <string_view>

namespace waxwing {

/// Key whose value is the leader's name and address. The store deletes the key
/// when the leader's lease ends.
inline constexpr std::string_view LeaderKey = "waxwing/leader";
/// Prefix of the range map keys; followed by the service name.
inline constexpr std::string_view RangePrefix = "waxwing/ranges/";

} // namespace waxwing

#endif
