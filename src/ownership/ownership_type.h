/**
 * @file ownership_type.h
 * Plain data of exclusive ownership: who owns a shard under which fencing
 * token, the orders that give upstreams time-bounded grants, and the
 * messages between a leader and its witnesses.
 */
#ifndef WAXWING_OWNERSHIP_OWNERSHIP_TYPE_H
#define WAXWING_OWNERSHIP_OWNERSHIP_TYPE_H

#include "core/id_type.h"
#include "core/time_type.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace waxwing {

/// Orders grant orders of one service: a later record or a later order of
/// the same record is greater.
struct GrantStamp {
  Revision Record;            ///< record revision that the order is based on
  std::uint64_t Sequence = 0; ///< number of the order within the record
  auto operator<=>(const GrantStamp &) const = default;
};

/// A shard, or a key split off from its shard.
/// Invariant: exactly one of the alternatives names the owned keys.
using OwnedUnit = std::variant<ShardId, KeyHash>;

/// One unit granted to an upstream.
struct GrantedUnit {
  OwnedUnit Unit;
  Token Fence; ///< token that requests must carry
  auto operator<=>(const GrantedUnit &) const = default;
};

/// Units granted together. A shard in Units does not include the keys in
/// Excluded, whoever owns them.
struct GrantSet {
  std::vector<GrantedUnit> Units;
  std::vector<KeyHash> Excluded;
  bool operator==(const GrantSet &) const = default;
};

/// Order to an upstream: you own this set until the deadline.
struct GrantOrder {
  ServiceId Service;
  GrantStamp Stamp;
  Incarnation Target;          ///< incarnation of the upstream that may take it
  UpstreamTime Deadline;       ///< in that incarnation's own clock
  std::optional<GrantSet> Set; ///< absent: extend the set held under Stamp
};

/// Upstream's answer to an order, and to a query (no order).
struct GrantAnswer {
  UpstreamId From;
  Incarnation Current;
  UpstreamTime Reading; ///< the upstream's clock when it answered
  GrantStamp Held;      ///< stamp of the set held, zero when none
  UpstreamTime HeldUntil;
  bool Accepted = false; ///< the order took effect
  /// Set last held, also when it has lapsed; told in answer to a query.
  std::optional<GrantSet> Set;
};

/// Leader to witness: may a renewal be based on this record revision? It
/// also fences: the witness confirms no lower revision from then on.
struct ConfirmRequest {
  ServiceId Service;
  Revision Record;         ///< 0: only asks whether the receiver is alive
  std::uint64_t Round = 0; ///< echoed in the reply
};

/// Witness to leader.
struct ConfirmReply {
  ServiceId Service;
  Revision Record;
  std::uint64_t Round = 0;
  bool Confirmed = false;
  Revision Fence; ///< revisions below it get no confirmations any more
  /// Nobody but the asker was confirmed so recently that rights may last.
  bool IsOnlyRenewer = false;
};

/// Ownership messages between controllers.
using OwnershipMessage = std::variant<ConfirmRequest, ConfirmReply>;

} // namespace waxwing

#endif
