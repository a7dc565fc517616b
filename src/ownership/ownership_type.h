/**
 * @file ownership_type.h
 * Data types of exclusive ownership: the owner and fencing token of a shard,
 * the orders that give upstreams grants of limited duration, and the messages
 * between a leader and its witnesses.
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

/// Version of a grant order, by which upstreams reject older orders of the same
/// service. Compared by record revision, then by sequence number.
struct GrantStamp {
  Revision Record;            ///< revision of the record the order is based on
  std::uint64_t Sequence = 0; ///< number of the order within that revision
  auto operator<=>(const GrantStamp &) const = default;
};

/// What an upstream can own, called a unit: a shard, or a key that is split off
/// from its shard.
using OwnedUnit = std::variant<ShardId, KeyHash>;

/// A unit granted to an upstream.
struct GrantedUnit {
  OwnedUnit Unit;
  FencingToken Fence; ///< fencing token that requests must carry
  auto operator<=>(const GrantedUnit &) const = default;
};

/// Units granted by one order. A shard in Units does not include the split keys
/// in Excluded, whichever upstream owns those.
struct GrantSet {
  std::vector<GrantedUnit> Units;
  std::vector<KeyHash> Excluded;
  bool operator==(const GrantSet &) const = default;
};

/// Order to an upstream that grants it a set of units until a deadline.
struct GrantOrder {
  ServiceId Service;
  GrantStamp Stamp;
  Incarnation Target;          ///< only this incarnation may accept it
  UpstreamTime Deadline;       ///< on the clock of that incarnation
  std::optional<GrantSet> Set; ///< absent: extends the grants held under Stamp
};

/// Response of an upstream to an order or to a query.
struct GrantAnswer {
  UpstreamId From;
  Incarnation Current;
  UpstreamTime Reading;   ///< upstream's clock at the time of the response
  GrantStamp Held;        ///< stamp of the grants held; zero when it holds none
  UpstreamTime HeldUntil; ///< when the grants that it holds end
  bool Accepted = false;  ///< whether the order took effect
  /// The grants last held, even if they have expired. Present in responses to
  /// queries.
  std::optional<GrantSet> Set;
};

/// Request of a leader or deputy to a member for its confirmation that Record
/// is the newest revision, so that grants may be renewed under it. From then on
/// the receiver confirms no lower revision.
struct ConfirmRequest {
  ServiceId Service;
  Revision Record;         ///< 0: only checks that the receiver is alive
  std::uint64_t Round = 0; ///< copied into the reply
};

/// Reply to ConfirmRequest.
struct ConfirmReply {
  ServiceId Service;
  Revision Record;
  std::uint64_t Round = 0;
  bool Confirmed = false;
  Revision Fence; ///< record revisions below it are no longer confirmed
  /// The sender of the reply confirmed no other controller so recently that
  /// grants renewed by that controller may still be valid.
  bool IsOnlyRenewer = false;
};

/// Ownership messages between controllers.
using OwnershipMessage = std::variant<ConfirmRequest, ConfirmReply>;

} // namespace waxwing

#endif
