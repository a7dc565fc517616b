/**
 * @file upstream_slots.cpp
 * What the ends of attempts tell of an upstream.
 */
#include "traffic/upstream_slots_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// An upstream that could not be connected is tried again after this.
constexpr Duration ConnectRetryDelay = milliseconds(100);
/// A draining upstream is tried again after this.
constexpr Duration DrainRetryDelay = seconds(1);

bool indicatesColdStart(Reason why) {
  // A restart closes all connections, also those that were idle.
  return why == Reason::ConnectFailed || why == Reason::SendFailed ||
         why == Reason::ConnectionLost || why == Reason::CutOffAnswer ||
         why == Reason::UpstreamCold || why == Reason::UpstreamShed;
}

} // namespace

void UpstreamSlots::onLeaseGained(const HomeLease &lease,
                                  const ServiceConfig &service, Time now) {
  Latency = {};
  if (lease.IsVacant && lease.IsWarm)
    return WarmUpState.startWarm();
  if (lease.IsWarm)
    return WarmUpState.startRamp(now, service);
  WarmUpState.startCold();
  // What an earlier home started there has ended after the longest deadline.
  if (!lease.IsVacant)
    WarmUpState.blockUntil(now + service.Timeout);
}

ColdIndication UpstreamSlots::end(Reason why, std::uint64_t coldStarts,
                                  Duration latency,
                                  const ServiceConfig &service, Time now) {
  --InFlight;
  if (why == Reason::UpstreamDraining)
    WarmUpState.blockUntil(now + DrainRetryDelay);
  if (why == Reason::ConnectFailed)
    WarmUpState.blockUntil(now + ConnectRetryDelay);
  if (indicatesColdStart(why)) {
    markCold();
    return ColdIndication::ColdStart;
  }
  // Attempts from before a cold start say nothing of the upstream since.
  const bool isCancelled = why == Reason::Cancelled;
  if ((why != Reason::None && !isCancelled) || coldStarts != ColdStarts)
    return ColdIndication::None;
  if (isCancelled)
    Latency.addCancelled(latency);
  else
    Latency.add(latency);
  if (Latency.hasJumped() && WarmUpState.isWarm(now)) {
    markCold();
    return ColdIndication::LatencyJump;
  }
  if (!isCancelled)
    WarmUpState.onAnswer(now, service);
  return ColdIndication::None;
}

int UpstreamSlots::freeSlots(HomeRight right, const ServiceConfig &service,
                             Time now) const {
  if (right == HomeRight::None)
    return 0;
  const int reducedLimit = WarmUpState.isWarm(now) ? 1 : 0;
  const int limit =
      right == HomeRight::Full ? WarmUpState.limit(now, service) : reducedLimit;
  return std::max(0, limit - InFlight);
}

void UpstreamSlots::markCold() {
  ++ColdStarts;
  Latency.clearJump();
  WarmUpState.startCold();
}

} // namespace waxwing
