/**
 * @file latency_window_base.h
 * RecentLatencies latencies of one destination: mean, quantile, and a sudden
 * jump.
 */
#ifndef WAXWING_TRAFFIC_LATENCY_WINDOW_BASE_H
#define WAXWING_TRAFFIC_LATENCY_WINDOW_BASE_H

#include "core/time_type.h"

#include <array>

namespace waxwing {

class LatencyWindow {
public:
  /// An attempt was answered.
  void add(Duration latency);
  /// An attempt was given up without an answer.
  void addCancelled(Duration age) { addEnd({age, false}); }

  /// @return moving mean, zero before the first latency
  Duration mean() const { return Mean; }
  /// @return the 95th percentile of the last samples, zero when too few
  Duration p95() const { return P95; }
  /// @return whether the last answers cost several times the time of those
  ///   before, the sign of an upstream that turned cold or slow
  bool hasJumped() const;
  /// Forgets the jump; at most half of it becomes the new normal.
  void clearJump();

private:
  static constexpr std::size_t SampleCount = 128;
  /// RecentEnds that are compared with those before them.
  static constexpr std::size_t JumpWindowSize = 8;

  struct AttemptEnd {
    Duration Age{};
    bool IsAnswered = false;
  };

  void addEnd(AttemptEnd end);
  /// @return time spent on the last ends for each answer among them
  Duration recentTimePerAnswer() const;

  std::array<Duration, SampleCount> RecentLatencies{};
  std::size_t Count = 0;
  Duration Mean{};
  Duration P95{};
  std::array<AttemptEnd, JumpWindowSize> RecentEnds{};
  std::size_t RecentEndCount = 0; ///< since the last jump
  Duration Baseline{};            ///< moving mean of what left RecentEnds
};

} // namespace waxwing

#endif
