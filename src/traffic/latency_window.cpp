/**
 * @file latency_window.cpp
 * Moving mean, percentile and jump detection.
 */
#include "traffic/latency_window_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// The newest latency has a weight of one over this in a moving mean.
constexpr int MeanDivisor = 16;
/// Jump threshold of the time per answer, in tenths of the baseline.
constexpr int JumpFactorTenths = 25;
/// A time per answer up to this is never a jump.
constexpr Duration MinJumpTimePerAnswer = milliseconds(10);
/// Number of samples between two updates of the 95th percentile.
constexpr std::size_t SamplesPerQuantileUpdate = 16;
constexpr std::size_t QuantilePercent = 95;

void updateMean(Duration &mean, Duration latency) {
  if (mean == Duration())
    mean = latency;
  mean += (latency - mean) / MeanDivisor;
}

} // namespace

void LatencyWindow::add(Duration latency) {
  addAttemptEnd({latency, true});
  updateMean(Mean, latency);
  RecentLatencies[Count++ % SampleCount] = latency;
  if (Count % SamplesPerQuantileUpdate != 0)
    return;
  auto sorted = RecentLatencies;
  const std::size_t size = std::min(Count, SampleCount);
  auto *const end = sorted.begin() + static_cast<std::ptrdiff_t>(size);
  auto *const nth = sorted.begin() +
                    static_cast<std::ptrdiff_t>(size * QuantilePercent / 100);
  std::nth_element(sorted.begin(), nth, end);
  P95 = *nth;
}

void LatencyWindow::addAttemptEnd(AttemptEnd end) {
  AttemptEnd &oldest = RecentAttemptEnds[RecentAttemptCount % JumpWindowSize];
  // Attempts enter the baseline only when they leave the recent window, so
  // that a jump is not compared with itself.
  if (RecentAttemptCount >= JumpWindowSize && oldest.IsAnswered)
    updateMean(Baseline, oldest.Age);
  oldest = end;
  ++RecentAttemptCount;
}

Duration LatencyWindow::recentTimePerAnswer() const {
  Duration spent{};
  int answered = 0;
  for (const AttemptEnd &end : RecentAttemptEnds) {
    spent += end.Age;
    answered += end.IsAnswered ? 1 : 0;
  }
  return spent / std::max(1, answered);
}

bool LatencyWindow::hasJumped() const {
  if (Baseline == Duration() || RecentAttemptCount < JumpWindowSize)
    return false;
  return recentTimePerAnswer() >
         std::max(Baseline * JumpFactorTenths / 10, MinJumpTimePerAnswer);
}

void LatencyWindow::clearJump() {
  if (RecentAttemptCount >= JumpWindowSize && Baseline > Duration())
    Baseline =
        std::min(std::max(recentTimePerAnswer(), Baseline), Baseline * 2);
  RecentAttemptCount = 0;
}

} // namespace waxwing
