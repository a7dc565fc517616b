/**
 * @file warm_up_base.h
 * How many requests an upstream bears now, as its home believes.
 */
#ifndef WAXWING_TRAFFIC_WARM_UP_BASE_H
#define WAXWING_TRAFFIC_WARM_UP_BASE_H

#include "config/team_config_base.h"

namespace waxwing {

/// A cold upstream gets its cold slots for the whole warm-up, counted from
/// its first answer, and then one slot after another.
/// Invariant: slots above the cold ones are given only after an answer that
/// is older than the warm-up, with no sign of a cold start since.
class WarmUp {
public:
  /// Nothing is known, or the upstream turned cold.
  void startCold();
  /// The upstream has all its slots.
  void startWarm() { Phase = WarmPhase::Warm; }
  /// Warm, but requests of an earlier home may still run there.
  void startRamp(Time now, const ServiceConfig &service);
  /// Starts nothing before @p time.
  void blockUntil(Time time) { BlockedUntil = std::max(BlockedUntil, time); }
  /// The upstream answered a request that was started after its last cold
  /// start.
  void onAnswer(Time now, const ServiceConfig &service);

  /// @return requests that may run there at a time
  int limit(Time now, const ServiceConfig &service) const;
  bool isWarm(Time now) const {
    return Phase == WarmPhase::Warm ||
           (Phase == WarmPhase::Ramp && now >= RampEndsAt);
  }

private:
  enum class WarmPhase : std::uint8_t { Cold, Ramp, Warm };

  WarmPhase Phase = WarmPhase::Cold;
  Time BlockedUntil;
  Time RampStartsAt; ///< cold slots until then
  Time RampEndsAt;   ///< all slots from then
};

} // namespace waxwing

#endif
