/**
 * @file tier_throttle_base.h
 * Keeps an entry router from forwarding many times what homes accept.
 */
#ifndef WAXWING_TRAFFIC_TIER_THROTTLE_BASE_H
#define WAXWING_TRAFFIC_TIER_THROTTLE_BASE_H

#include "core/time_type.h"

namespace waxwing {

/// Adaptive throttling of one tier of one service: refuses with the
/// probability (requests - 2 accepted) / requests.
class TierThrottle {
public:
  /// @param draw uniform in [0, 1)
  /// @return whether the request may go on
  bool admit(double draw, Time now);
  /// A home refused a request because of overload.
  void onRefused() { Accepted -= 1; }

private:
  void decay(Time now);

  double Requests = 0;
  double Accepted = 0;
  Time DecayedAt;
};

} // namespace waxwing

#endif
