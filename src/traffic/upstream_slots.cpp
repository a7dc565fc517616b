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

bool isColdSign(Reason why) {
  // A restart closes all connections, also those that were idle.
  return why == Reason::ConnectFailed || why == Reason::SendFailed ||
         why == Reason::ConnectionLost || why == Reason::CutOffAnswer ||
         why == Reason::UpstreamCold || why == Reason::UpstreamShed;
}

} // namespace

void UpstreamSlots::gain(const HomeLease &lease, const ServiceConfig &service,
                         Time now) {
  Latency = {};
  if (lease.IsVacant && lease.IsWarm)
    return Warmth.startWarm();
  if (lease.IsWarm)
    return Warmth.startCautious(now, service);
  Warmth.startCold();
  // What an earlier home started there has ended after the longest deadline.
  if (!lease.IsVacant)
    Warmth.block(now + service.Timeout);
}

SlotSign UpstreamSlots::end(Reason why, std::uint64_t coldStarts,
                            Duration latency, const ServiceConfig &service,
                            Time now) {
  --InFlight;
  if (why == Reason::UpstreamDraining)
    Warmth.block(now + DrainRetryDelay);
  if (why == Reason::ConnectFailed)
    Warmth.block(now + ConnectRetryDelay);
  if (isColdSign(why)) {
    turnCold();
    return SlotSign::ColdStart;
  }
  // Attempts from before a cold start say nothing of the upstream since.
  const bool isCancelled = why == Reason::Cancelled;
  if ((why != Reason::None && !isCancelled) || coldStarts != ColdStarts)
    return SlotSign::None;
  if (isCancelled)
    Latency.addCancelled(latency);
  else
    Latency.add(latency);
  if (Latency.hasJumped() && Warmth.isWarm(now)) {
    turnCold();
    return SlotSign::LatencyJump;
  }
  if (!isCancelled)
    Warmth.onAnswer(now, service);
  return SlotSign::None;
}

int UpstreamSlots::freeSlots(HomeRight right, const ServiceConfig &service,
                             Time now) const {
  if (right == HomeRight::None)
    return 0;
  const int floor = Warmth.isWarm(now) ? 1 : 0;
  const int limit =
      right == HomeRight::Full ? Warmth.limit(now, service) : floor;
  return std::max(0, limit - InFlight);
}

void UpstreamSlots::turnCold() {
  ++ColdStarts;
  Latency.clearJump();
  Warmth.startCold();
}

} // namespace waxwing
