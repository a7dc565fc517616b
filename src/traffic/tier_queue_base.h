/**
 * @file tier_queue_base.h
 * Requests that wait for a slot, in one bounded queue for each tier, served
 * by weighted fair sharing. Idle share is lent to whoever waits.
 */
#ifndef WAXWING_TRAFFIC_TIER_QUEUE_BASE_H
#define WAXWING_TRAFFIC_TIER_QUEUE_BASE_H

#include "config/team_config_base.h"

#include <deque>
#include <map>
#include <optional>

namespace waxwing {

/// Stride scheduling: a tier of weight w advances its pass by 1/w with each
/// request served, and the lowest pass is served next.
/// The last free slot is kept for the heaviest active tier, so that its
/// requests do not wait for a lighter tier's to end.
/// Invariant: the pass of a tier that begins to wait is not below the pass
/// last served, so idle time earns no credit.
class TierQueue {
public:
  /// @return false when the tier's queue is full
  bool push(const TierId &tier, const TierConfig &config, RequestId request,
            Time now);
  /// @param isLastSlot only one slot is left
  /// @return the request to serve next; the last slot is kept for the
  ///   heaviest tier that had a request lately
  std::optional<RequestId> peek(bool isLastSlot, Time now) const;
  /// A request of the tier, the one peek() told, is served; erase() follows.
  void recordServed(const TierId &tier);
  void erase(const TierId &tier, RequestId request);

  bool isEmpty() const { return Size == 0; }
  std::size_t size() const { return Size; }
  /// @return requests served before a new one of the tier, at most
  std::size_t requestsAhead(const TierId &tier, const TierConfig &config) const;

private:
  struct TierState {
    std::deque<RequestId> Requests;
    int Weight = 1;
    double Pass = 0;
    Time LastPushAt;
  };

  std::map<TierId, TierState> Tiers;
  double ServedPass = 0;
  std::size_t Size = 0;
};

} // namespace waxwing

#endif
