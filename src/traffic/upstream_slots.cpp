/**
 * @file upstream_slots.cpp
 * Updates an upstream's state from the ends of attempts.
 */
#include "traffic/upstream_slots_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Delay before an upstream that could not be connected to is tried again.
constexpr Duration ConnectRetryDelay = milliseconds(100);
/// Delay before a draining upstream is tried again.
constexpr Duration DrainRetryDelay = seconds(1);

bool indicatesColdStart(Reason why) {
  // A restart closes all connections, including idle ones, so a lost
  // connection may mean a cold upstream.
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
  // Requests started by an earlier home (the router that used the slots
  // before) may run until the longest deadline.
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
  // Attempts from before a cold start say nothing about the restarted
  // upstream.
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

int UpstreamSlots::freeSlotCount(HomeRight right, const ServiceConfig &service,
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
