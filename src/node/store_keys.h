/**
 * @file store_keys.h
 * Keys that waxwing-node writes to the platform's store.
 */
#ifndef WAXWING_NODE_STORE_KEYS_H
#define WAXWING_NODE_STORE_KEYS_H

#include "core/endpoint_type.h"
#include "core/id_type.h"
#include "core/store_revision_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace waxwing {

/// Key whose value is a LeaderKeyValue. The store deletes the key when the
/// leader's lease ends.
inline constexpr std::string_view LeaderKey = "waxwing/leader";
/// Prefix of the keys that mark epochs of the store; followed by the epoch. The
/// first leader after a restoration writes the key, and every write of a leader
/// requires that the key of the next epoch does not exist. So a write that
/// reaches a restored store late is refused, whatever revisions that store has
/// given out again.
inline constexpr std::string_view EpochPrefix = "waxwing/epoch/";
/// Prefix of the range map keys; followed by the service name.
inline constexpr std::string_view RangePrefix = "waxwing/ranges/";

/// Value of LeaderKey.
struct LeaderKeyValue {
  VmId Name;        ///< name of the VM that leads
  Endpoint Address; ///< its UDP address for other VMs
  /// Epoch of the store in which it was elected; nullopt in keys of builds that
  /// know no epochs.
  std::optional<StoreEpoch> Epoch;
};

std::string encodeLeaderKey(const LeaderKeyValue &value);
/// @return nullopt if the value is malformed
std::optional<LeaderKeyValue> decodeLeaderKey(const std::string &value);

} // namespace waxwing

#endif
