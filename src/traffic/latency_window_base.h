/**
 * @file latency_window_base.h
 * Recent latencies of one destination: mean, quantile, and a sudden jump.
 */
#ifndef WAXWING_TRAFFIC_LATENCY_WINDOW_BASE_H
#define WAXWING_TRAFFIC_LATENCY_WINDOW_BASE_H

#include "core/time_type.h"

#include <array>

namespace waxwing {

class LatencyWindow {
public:
  void add(Duration latency);

  /// @return moving mean, zero before the first latency
  Duration mean() const { return Mean; }
  /// @return the 95th percentile of the last samples, zero when too few
  Duration p95() const { return P95; }
  /// @return whether the last answers took several times as long as those
  ///   before, the sign of an upstream that turned cold or slow
  bool hasJumped() const;
  /// Forgets the jump, not the mean before it.
  void clearJump() { SlowInARow = 0; }

private:
  static constexpr std::size_t Samples = 128;

  std::array<Duration, Samples> Recent{};
  std::size_t Count = 0;
  Duration Mean{};
  Duration P95{};
  int SlowInARow = 0;
};

} // namespace waxwing

#endif
