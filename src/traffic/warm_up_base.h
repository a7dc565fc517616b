/**
 * @file warm_up_base.h
 * Limits the concurrent requests to an upstream while it warms up.
 */
#ifndef WAXWING_TRAFFIC_WARM_UP_BASE_H
#define WAXWING_TRAFFIC_WARM_UP_BASE_H

#include "config/team_config_base.h"

namespace waxwing {

/// A cold upstream gets its cold slots for the whole warm-up, counted from
/// its first answer. The limit then ramps up linearly to all slots.
/// Invariant: after startCold() the limit exceeds the cold slots only when one
/// warm-up has passed since the first answer, with no sign of a cold start
/// in between.
class WarmUp {
public:
  /// The upstream is cold, or its state is unknown.
  void startCold();
  /// The upstream is warm and gets all its slots.
  void startWarm() { Phase = WarmPhase::Warm; }
  /// The upstream is warm, but requests of an earlier home may still run
  /// there: the limit ramps up without a cold phase.
  void startRamp(Time now, const ServiceConfig &service);
  /// Sets the limit to zero before @p time.
  void blockUntil(Time time) { BlockedUntil = std::max(BlockedUntil, time); }
  /// The upstream answered a request that was started after its last cold
  /// start.
  void onAnswer(Time now, const ServiceConfig &service);

  /// @return number of requests that may run there concurrently
  int limit(Time now, const ServiceConfig &service) const;
  bool isWarm(Time now) const {
    return Phase == WarmPhase::Warm ||
           (Phase == WarmPhase::Ramp && now >= RampEndsAt);
  }

private:
  enum class WarmPhase : std::uint8_t { Cold, Ramp, Warm };

  WarmPhase Phase = WarmPhase::Cold;
  Time BlockedUntil;
  Time RampStartsAt; ///< only cold slots before
  Time RampEndsAt;   ///< all slots afterwards
};

} // namespace waxwing

#endif
