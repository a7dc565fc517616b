/**
 * @file id_type.h
 * Strong types for identifiers and counters: VMs, failure domains, services,
 * upstreams, callers, shards, revisions, tokens and requests.
 */
#ifndef WAXWING_CORE_ID_TYPE_H
#define WAXWING_CORE_ID_TYPE_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace waxwing {

/// Wraps a value so that identifiers with different tags do not convert to
/// each other.
template <class Tag, class Rep> struct StrongId {
  Rep Value{}; ///< wrapped value, for codecs and logs only

  StrongId() = default;
  explicit StrongId(Rep value) : Value(std::move(value)) {}
  auto operator<=>(const StrongId &) const = default;
  template <class H> friend H AbslHashValue(H h, const StrongId &id) {
    return H::combine(std::move(h), id.Value);
  }
};

using VmId = StrongId<struct VmTag, std::string>;
using DomainId = StrongId<struct DomainTag, std::string>;
using TeamId = StrongId<struct TeamTag, std::string>;
using ServiceId = StrongId<struct ServiceTag, std::string>;
using UpstreamId = StrongId<struct UpstreamTag, std::string>;
using CallerId = StrongId<struct CallerTag, std::string>;
using TierId = StrongId<struct TierTag, std::string>;

/// Index of a range of the key hash space. A key that was split off from its
/// shard has no shard index.
using ShardId = StrongId<struct ShardTag, std::uint32_t>;
/// 64-bit hash of a key. Keys are compared by this hash only.
using KeyHash = StrongId<struct KeyHashTag, std::uint64_t>;
/// Fencing token: revision of the ownership record in which a shard or split
/// key last changed its owner.
using FencingToken = StrongId<struct TokenTag, std::uint64_t>;
/// Revision of a value in the platform's store, or of an ownership record; 0
/// means that there is none.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;
/// Random number chosen at process start; it tells a restarted process from
/// its predecessor.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// Identifies a caller's request within one router process.
using RequestId = StrongId<struct RequestTag, std::uint64_t>;
/// Identifies one attempt to send a request to an upstream, within one router
/// process.
using AttemptId = StrongId<struct AttemptTag, std::uint64_t>;
/// Identifies a write to the store, so that after a lost response the writer
/// can tell whether the write was applied.
using ChangeId = StrongId<struct ChangeTag, std::uint64_t>;

} // namespace waxwing

#endif
