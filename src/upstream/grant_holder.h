/**
 * @file grant_holder.h
 * The upstream's side of fenced grants: which orders it accepts and which
 * requests its grant covers.
 */
#ifndef WAXWING_UPSTREAM_GRANT_HOLDER_H
#define WAXWING_UPSTREAM_GRANT_HOLDER_H

#include "core/verdict_type.h"
#include "ownership/ownership_type.h"

#include <map>
#include <optional>

namespace waxwing {

/// Whether an upstream refuses orders with an older stamp.
enum class OrderChecking : std::uint8_t { Off, On };

/// Holds the fenced grant of one upstream process.
class GrantHolder {
public:
  GrantHolder(UpstreamId self, Incarnation current, OrderChecking checking);

  /// Takes an order or a query.
  GrantAnswer handleOrder(const std::optional<GrantOrder> &order,
                          UpstreamTime now);

  /// @return None when a request for @p unit under @p fence may run now
  Reason check(const OwnedUnit &unit, Token fence, KeyHash key,
               UpstreamTime now) const;

  /// @return the token under which a request for @p key may run now
  std::optional<Token> tokenOf(KeyHash key, std::size_t shardCount,
                               UpstreamTime now) const;

private:
  bool accept(const GrantOrder &order, UpstreamTime now);
  bool isExcluded(KeyHash key) const;

  UpstreamId Self;
  Incarnation Current;
  OrderChecking Checking;
  GrantStamp Held;
  UpstreamTime HeldUntil;
  GrantSet Set;
  std::map<OwnedUnit, Token> Fences; ///< index of Set.Units
};

} // namespace waxwing

#endif
