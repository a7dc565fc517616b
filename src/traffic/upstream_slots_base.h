/**
 * @file upstream_slots_base.h
 * State of one upstream at its home (the router that alone uses its slots):
 * slots in use, warm-up and latency.
 */
#ifndef WAXWING_TRAFFIC_UPSTREAM_SLOTS_BASE_H
#define WAXWING_TRAFFIC_UPSTREAM_SLOTS_BASE_H

#include "core/verdict_type.h"
#include "traffic/home_lease_client_base.h"
#include "traffic/latency_window_base.h"
#include "traffic/warm_up_base.h"

namespace waxwing {

/// Sign of a cold or slow upstream in the end of an attempt.
enum class ColdIndication : std::uint8_t { None, ColdStart, LatencyJump };

/// Tracks the attempts in flight at one upstream and how many more it can take.
/// Invariant: inFlight() counts every attempt begun and not ended.
class UpstreamSlots {
public:
  /// This router became the upstream's home (the router that alone may use its
  /// slots).
  void onLeaseGained(const HomeLease &lease, const ServiceConfig &service,
                     Time now);
  /// The upstream returned from a drain, or its failure domain returned;
  /// it starts cold.
  void onUpstreamReturned() { WarmUpState.startCold(); }
  /// Restarts the warm-up. Answers to attempts that began earlier no longer
  /// count for warm-up and latency.
  void markCold();

  /// @return number of cold starts so far, to be passed to end()
  std::uint64_t begin() {
    ++InFlight;
    return ColdStarts;
  }
  /// Frees the attempt's slot and updates warm-up and latency.
  /// @param coldStarts value that begin() returned for the attempt
  ColdIndication end(Reason why, std::uint64_t coldStarts, Duration latency,
                     const ServiceConfig &service, Time now);

  int freeSlotCount(HomeRight right, const ServiceConfig &service,
                    Time now) const;
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
