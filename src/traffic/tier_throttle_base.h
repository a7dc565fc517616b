/**
 * @file tier_throttle_base.h
 * Keeps a router that receives callers' requests from forwarding far more of
 * them than their homes (the routers that alone use the slots) accept.
 */
#ifndef WAXWING_TRAFFIC_TIER_THROTTLE_BASE_H
#define WAXWING_TRAFFIC_TIER_THROTTLE_BASE_H

#include "core/time_type.h"

namespace waxwing {

/// Adaptive client-side throttling of one tier of one service: refuses with
/// probability (requests - 2 * accepted) / requests, beyond a small number
/// of requests that are always admitted.
class TierThrottle {
public:
  /// @param draw random number, uniform in [0, 1)
  /// @return whether the request may be forwarded
  bool admit(double draw, Time now);
  /// Records that the home (the router that alone may use an upstream's slots)
  /// refused an admitted request because of overload.
  void onRefused() { Accepted -= 1; }

private:
  void decay(Time now);

  double Requests = 0;
  double Accepted = 0;
  Time DecayedAt;
};

} // namespace waxwing

#endif
