/**
 * @file latency_window.cpp
 * Moving mean and quantile of latencies, and their jumps.
 */
#include "traffic/latency_window_base.h"

#include <algorithm>

namespace waxwing {
namespace {

constexpr int MeanWeight = 16;       ///< a latency moves a mean by one in this
constexpr int JumpFactorTenths = 25; ///< a jump is this many times the mean
constexpr Duration JumpFloor = milliseconds(10); ///< shorter is no jump
constexpr std::size_t SortEvery = 16; ///< latencies between two quantiles
constexpr std::size_t QuantilePercent = 95;

void moveMean(Duration &mean, Duration latency) {
  if (mean == Duration())
    mean = latency;
  mean += (latency - mean) / MeanWeight;
}

} // namespace

void LatencyWindow::add(Duration latency) {
  addEnd({latency, true});
  moveMean(Mean, latency);
  Recent[Count++ % Samples] = latency;
  if (Count % SortEvery != 0)
    return;
  auto sorted = Recent;
  const std::size_t size = std::min(Count, Samples);
  auto *const end = sorted.begin() + static_cast<std::ptrdiff_t>(size);
  auto *const nth = sorted.begin() +
                    static_cast<std::ptrdiff_t>(size * QuantilePercent / 100);
  std::nth_element(sorted.begin(), nth, end);
  P95 = *nth;
}

void LatencyWindow::addEnd(End end) {
  End &oldest = Ends[EndCount % JumpEnds];
  // Only what is no part of a jump becomes the measure of one.
  if (EndCount >= JumpEnds && oldest.IsAnswered)
    moveMean(Baseline, oldest.Age);
  oldest = end;
  ++EndCount;
}

Duration LatencyWindow::recentCost() const {
  Duration spent{};
  int answered = 0;
  for (const End &end : Ends) {
    spent += end.Age;
    answered += end.IsAnswered ? 1 : 0;
  }
  return spent / std::max(1, answered);
}

bool LatencyWindow::hasJumped() const {
  if (Baseline == Duration() || EndCount < JumpEnds)
    return false;
  return recentCost() > std::max(Baseline * JumpFactorTenths / 10, JumpFloor);
}

void LatencyWindow::clearJump() {
  if (EndCount >= JumpEnds && Baseline > Duration())
    Baseline = std::min(std::max(recentCost(), Baseline), Baseline * 2);
  EndCount = 0;
}

} // namespace waxwing
