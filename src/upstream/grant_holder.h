/**
 * @file grant_holder.h
 * The upstream's side of fenced grants: decides which orders to accept and
 * which requests the current grant covers.
 */
#ifndef WAXWING_UPSTREAM_GRANT_HOLDER_H
#define WAXWING_UPSTREAM_GRANT_HOLDER_H

#include "core/verdict_type.h"
#include "ownership/ownership_type.h"

#include <map>
#include <optional>

namespace waxwing {

/// Whether an upstream rejects grant orders whose stamp (version) is older than
/// that of its current grant.
enum class OrderChecking : std::uint8_t { Off, On };

/// The grant held by one upstream process: the shards and keys that it may
/// serve, their fencing tokens, and the time at which the grant ends.
class GrantHolder {
public:
  GrantHolder(UpstreamId self, Incarnation current, OrderChecking checking);

  /// Handles an order, or a query when @p order is nullopt. Only the answer to
  /// a query contains the set of granted shards and keys.
  GrantAnswer handleOrder(const std::optional<GrantOrder> &order,
                          UpstreamTime now);

  /// @param unit the shard or separately granted key that the request names
  /// @return None when a request for @p key under the fencing token @p fence
  /// may
  ///   run now, otherwise the reason for refusing it
  Reason check(const OwnedUnit &unit, FencingToken fence, KeyHash key,
               UpstreamTime now) const;

  /// @return the fencing token under which a request for @p key may run now, or
  ///   nullopt when the grant does not cover it
  std::optional<FencingToken>
  findFencingToken(KeyHash key, std::size_t shardCount, UpstreamTime now) const;

private:
  /// Applies @p order to the grant. @return false when it is rejected
  bool applyOrder(const GrantOrder &order, UpstreamTime now);
  /// @return true when @p key is granted separately from its shard
  bool isGrantedSeparately(KeyHash key) const;

  UpstreamId Self;
  Incarnation Current;
  OrderChecking Checking;
  GrantStamp HeldStamp;   ///< stamp (version) of the last accepted order
  UpstreamTime HeldUntil; ///< end of the grant, by the upstream's clock
  GrantSet Set; ///< granted shards, and keys granted separately from them
  std::map<OwnedUnit, FencingToken>
      Fences; ///< fencing tokens of Set.Units by unit
};

} // namespace waxwing

#endif
