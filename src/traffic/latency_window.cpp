/**
 * @file latency_window.cpp
 * Moving mean and quantile of latencies, and their jumps.
 */
#include "traffic/latency_window_base.h"

#include <algorithm>

namespace waxwing {
namespace {

constexpr int MeanSmoothing = 16;    ///< a latency moves a mean by one in this
constexpr int JumpFactorTenths = 25; ///< a jump is this many times the mean
constexpr Duration JumpFloor = milliseconds(10); ///< shorter is no jump
constexpr std::size_t QuantileUpdatePeriod =
    16; ///< latencies between two quantiles
constexpr std::size_t QuantilePercent = 95;

void moveMean(Duration &mean, Duration latency) {
  if (mean == Duration())
    mean = latency;
  mean += (latency - mean) / MeanSmoothing;
}

} // namespace

void LatencyWindow::add(Duration latency) {
  addEnd({latency, true});
  moveMean(Mean, latency);
  RecentLatencies[Count++ % SampleCount] = latency;
  if (Count % QuantileUpdatePeriod != 0)
    return;
  auto sorted = RecentLatencies;
  const std::size_t size = std::min(Count, SampleCount);
  auto *const end = sorted.begin() + static_cast<std::ptrdiff_t>(size);
  auto *const nth = sorted.begin() +
                    static_cast<std::ptrdiff_t>(size * QuantilePercent / 100);
  std::nth_element(sorted.begin(), nth, end);
  P95 = *nth;
}

void LatencyWindow::addEnd(AttemptEnd end) {
  AttemptEnd &oldest = RecentEnds[RecentEndCount % JumpWindowSize];
  // Only what is no part of a jump becomes the measure of one.
  if (RecentEndCount >= JumpWindowSize && oldest.IsAnswered)
    moveMean(Baseline, oldest.Age);
  oldest = end;
  ++RecentEndCount;
}

Duration LatencyWindow::recentTimePerAnswer() const {
  Duration spent{};
  int answered = 0;
  for (const AttemptEnd &end : RecentEnds) {
    spent += end.Age;
    answered += end.IsAnswered ? 1 : 0;
  }
  return spent / std::max(1, answered);
}

bool LatencyWindow::hasJumped() const {
  if (Baseline == Duration() || RecentEndCount < JumpWindowSize)
    return false;
  return recentTimePerAnswer() >
         std::max(Baseline * JumpFactorTenths / 10, JumpFloor);
}

void LatencyWindow::clearJump() {
  if (RecentEndCount >= JumpWindowSize && Baseline > Duration())
    Baseline =
        std::min(std::max(recentTimePerAnswer(), Baseline), Baseline * 2);
  RecentEndCount = 0;
}

} // namespace waxwing
