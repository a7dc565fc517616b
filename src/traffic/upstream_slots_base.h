/**
 * @file upstream_slots_base.h
 * One upstream as its home sees it: slots in use, warmth and latency.
 */
#ifndef WAXWING_TRAFFIC_UPSTREAM_SLOTS_BASE_H
#define WAXWING_TRAFFIC_UPSTREAM_SLOTS_BASE_H

#include "core/verdict_type.h"
#include "traffic/home_lease_client_base.h"
#include "traffic/latency_window_base.h"
#include "traffic/warm_up_base.h"

namespace waxwing {

/// What the end of an attempt told of the upstream.
enum class ColdIndication : std::uint8_t { None, ColdStart, LatencyJump };

/// Invariant: inFlight() counts every attempt begun and not ended.
class UpstreamSlots {
public:
  /// The home came here.
  void onLeaseGained(const HomeLease &lease, const ServiceConfig &service,
                     Time now);
  /// The upstream returned from a drain or with its failure domain.
  void onReturned() { WarmUpState.startCold(); }
  /// Nothing is known of the upstream any more; answers to attempts from
  /// before do not count.
  void markCold();

  /// @return cold starts seen so far, to be given to end()
  std::uint64_t begin() {
    ++InFlight;
    return ColdStarts;
  }
  ColdIndication end(Reason why, std::uint64_t coldStarts, Duration latency,
                     const ServiceConfig &service, Time now);

  int freeSlots(HomeRight right, const ServiceConfig &service, Time now) const;
  int inFlight() const { return InFlight; }
  bool isWarm(Time now) const { return WarmUpState.isWarm(now); }
  const LatencyWindow &latency() const { return Latency; }

private:
  int InFlight = 0;
  std::uint64_t ColdStarts = 0;
  WarmUp WarmUpState;
  LatencyWindow Latency;
};

} // namespace waxwing

#endif
