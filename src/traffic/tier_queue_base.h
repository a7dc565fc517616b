/**
 * @file tier_queue_base.h
 * Requests waiting for a slot, in one bounded queue per tier, served by
 * weighted fair queueing. The share of an idle tier goes to waiting tiers.
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
/// The last free slot is reserved for the heaviest recently active tier, so
/// that its requests do not wait for a lighter tier's request to finish.
/// Invariant: when a tier's queue becomes non-empty, its pass is at least the
/// pass served last, so an idle tier accumulates no credit.
class TierQueue {
public:
  /// @return false when the tier's queue is full
  bool push(const TierId &tier, const TierConfig &config, RequestId request,
            Time now);
  /// @param isLastSlot whether only one slot is free
  /// @return the request to serve next, or nullopt when the queue is empty
  ///   or the last slot is reserved for a heavier tier
  std::optional<RequestId> peek(bool isLastSlot, Time now) const;
  /// Advances the tier's pass for the request that peek() returned. The
  /// caller then removes the request by erase().
  void recordServed(const TierId &tier);
  void erase(const TierId &tier, RequestId request);

  bool isEmpty() const { return Size == 0; }
  std::size_t size() const { return Size; }
  /// @return upper bound of the requests served before a new one of the tier
  std::size_t requestsAhead(const TierId &tier, const TierConfig &config) const;

private:
  struct TierState {
    std::deque<RequestId> Requests;
    int Weight = 1;
    double Pass = 0;
    Time LastPushAt;
  };

  std::map<TierId, TierState> Tiers;
  double LastServedPass = 0;
  std::size_t Size = 0;
};

} // namespace waxwing

#endif
