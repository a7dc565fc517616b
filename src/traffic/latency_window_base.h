/**
 * @file latency_window_base.h
 * Recent latencies of one destination: mean, 95th percentile and detection of
 * sudden jumps.
 */
#ifndef WAXWING_TRAFFIC_LATENCY_WINDOW_BASE_H
#define WAXWING_TRAFFIC_LATENCY_WINDOW_BASE_H

#include "core/time_type.h"

#include <array>

namespace waxwing {

/// Latency statistics over the most recent attempts.
class LatencyWindow {
public:
  /// Records an answered attempt.
  void add(Duration latency);
  /// Records an attempt that was cancelled without an answer.
  void addCancelled(Duration age) { addAttemptEnd({age, false}); }

  /// @return moving mean of answered attempts, zero before the first
  Duration mean() const { return Mean; }
  /// @return 95th percentile of the last samples, zero when there are too few
  Duration p95() const { return P95; }
  /// @return whether the recent time per answer is several times the
  ///   baseline, which indicates a cold or slow upstream
  bool hasJumped() const;
  /// Clears the jump and raises the baseline towards the recent time per
  /// answer, to at most twice its value.
  void clearJump();

private:
  static constexpr std::size_t SampleCount = 128;
  /// Number of attempts that are compared with the baseline.
  static constexpr std::size_t JumpWindowSize = 8;

  struct AttemptEnd {
    Duration Age{}; ///< time from start to end of the attempt
    bool IsAnswered = false;
  };

  void addAttemptEnd(AttemptEnd end);
  /// @return total time of the recent attempts, divided by their answers
  Duration recentTimePerAnswer() const;

  std::array<Duration, SampleCount> RecentLatencies{};
  std::size_t Count = 0;
  Duration Mean{};
  Duration P95{};
  std::array<AttemptEnd, JumpWindowSize> RecentAttemptEnds{};
  std::size_t RecentAttemptCount = 0; ///< attempts since the last jump
  /// Moving mean latency of the answers that are older than RecentAttemptEnds.
  Duration Baseline{};
};

} // namespace waxwing

#endif
