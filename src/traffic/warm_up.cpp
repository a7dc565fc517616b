/**
 * @file warm_up.cpp
 * Transitions between the phases cold, ramp and warm.
 */
#include "traffic/warm_up_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// The ramp (linear increase from the cold slots to all slots) lasts the
/// warm-up time divided by this.
constexpr int RampDivisor = 4;

} // namespace

void WarmUp::startCold() { Phase = WarmPhase::Cold; }

void WarmUp::startRamp(Time now, const ServiceConfig &service) {
  Phase = WarmPhase::Ramp;
  RampStartsAt = now;
  RampEndsAt = now + service.WarmUp / RampDivisor;
}

void WarmUp::onAnswer(Time now, const ServiceConfig &service) {
  if (Phase != WarmPhase::Cold)
    return;
  Phase = WarmPhase::Ramp;
  RampStartsAt = now + service.WarmUp;
  RampEndsAt = RampStartsAt + service.WarmUp / RampDivisor;
}

int WarmUp::limit(Time now, const ServiceConfig &service) const {
  if (now < BlockedUntil)
    return 0;
  const int cold = std::min(service.ColdSlots, service.Slots);
  if (isWarm(now))
    return service.Slots;
  if (Phase == WarmPhase::Cold || now < RampStartsAt)
    return cold;
  const double done = static_cast<double>((now - RampStartsAt).count()) /
                      static_cast<double>((RampEndsAt - RampStartsAt).count());
  return cold + static_cast<int>(done * (service.Slots - cold));
}

} // namespace waxwing
