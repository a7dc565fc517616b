/**
 * @file grant_holder.cpp
 * Checks orders and requests against the grant that the upstream holds.
 */
#include "upstream/grant_holder.h"

#include "ownership/ownership_record_base.h"

#include <algorithm>

namespace waxwing {

GrantHolder::GrantHolder(UpstreamId self, Incarnation current,
                         OrderChecking checking)
    : Self(std::move(self)), Current(current), Checking(checking) {}

GrantAnswer GrantHolder::handleOrder(const std::optional<GrantOrder> &order,
                                     UpstreamTime now) {
  const bool isAccepted = order && applyOrder(*order, now);
  GrantAnswer answer{Self, Current, now, HeldStamp, HeldUntil, isAccepted, {}};
  if (!order)
    answer.Set = Set;
  return answer;
}

Reason GrantHolder::check(const OwnedUnit &unit, FencingToken fence,
                          KeyHash key, UpstreamTime now) const {
  if (now >= HeldUntil)
    return Reason::GrantLapsed;
  const auto it = Fences.find(unit);
  if (it == Fences.end() || it->second != fence)
    return Reason::WrongToken;
  const bool isSplitOff =
      std::holds_alternative<ShardId>(unit) && isGrantedSeparately(key);
  return isSplitOff ? Reason::WrongToken : Reason::None;
}

std::optional<FencingToken>
GrantHolder::findFencingToken(KeyHash key, std::size_t shardCount,
                              UpstreamTime now) const {
  if (now >= HeldUntil)
    return std::nullopt;
  auto it = Fences.find(key);
  if (it == Fences.end() && !isGrantedSeparately(key))
    it = Fences.find(shardOf(key, shardCount));
  return it == Fences.end() ? std::nullopt : std::optional(it->second);
}

bool GrantHolder::isGrantedSeparately(KeyHash key) const {
  return std::ranges::find(Set.Excluded, key) != Set.Excluded.end();
}

bool GrantHolder::applyOrder(const GrantOrder &order, UpstreamTime now) {
  if (order.Target != Current || order.Deadline <= now)
    return false;
  if (Checking == OrderChecking::On) {
    const bool isOld =
        order.Set ? order.Stamp < HeldStamp : order.Stamp != HeldStamp;
    if (isOld)
      return false;
  }
  if (order.Set) {
    Set = *order.Set;
    Fences.clear();
    for (const GrantedUnit &unit : Set.Units)
      Fences[unit.Unit] = unit.Fence;
  }
  const bool isSameSet =
      Checking == OrderChecking::On && order.Stamp == HeldStamp;
  HeldUntil = isSameSet ? std::max(HeldUntil, order.Deadline) : order.Deadline;
  HeldStamp = order.Stamp;
  return true;
}

} // namespace waxwing
