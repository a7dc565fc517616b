/**
 * @file tier_throttle.cpp
 * Adaptive throttling with exponentially decaying counts.
 */
#include "traffic/tier_throttle_base.h"

#include <algorithm>

namespace waxwing {
namespace {

constexpr double RequestsPerAccepted = 2;
/// Excess requests that are always admitted, so that a mostly idle tier is
/// never refused.
constexpr double AlwaysAdmittedRequests = 16;
constexpr Duration DecayPeriod = milliseconds(200);
constexpr double DecayFactor = 0.8;

} // namespace

bool TierThrottle::admit(double draw, Time now) {
  decay(now);
  const double accepted = std::max(Accepted, 0.0);
  const double excess =
      Requests - RequestsPerAccepted * accepted - AlwaysAdmittedRequests;
  Requests += 1;
  if (draw < excess / Requests)
    return false;
  // Counted as accepted until the router to which the request is forwarded
  // refuses it, see onRefused().
  Accepted += 1;
  return true;
}

void TierThrottle::decay(Time now) {
  if (now >= DecayedAt + DecayPeriod * 100)
    Requests = Accepted = 0;
  if (Requests == 0)
    DecayedAt = now;
  for (; now >= DecayedAt + DecayPeriod; DecayedAt += DecayPeriod) {
    Requests *= DecayFactor;
    Accepted *= DecayFactor;
  }
}

} // namespace waxwing
