/**
 * @file latency_window.cpp
 * Moving mean and quantile of latencies.
 */
#include "traffic/latency_window_base.h"

#include <algorithm>

namespace waxwing {
namespace {

constexpr int MeanWeight = 16; ///< a latency moves the mean by one in this
constexpr int JumpFactorTenths = 25; ///< a jump is this many times the mean
constexpr Duration JumpFloor = milliseconds(10); ///< shorter is no jump
constexpr int JumpAnswers = 3;        ///< slow answers in a row that make one
constexpr std::size_t SortEvery = 16; ///< latencies between two quantiles

} // namespace

void LatencyWindow::add(Duration latency) {
  Recent[Count++ % Samples] = latency;
  const Duration limit = Mean * JumpFactorTenths / 10;
  const bool isSlow = Mean > Duration() && latency > std::max(limit, JumpFloor);
  SlowInARow = isSlow ? SlowInARow + 1 : 0;
  if (Mean == Duration())
    Mean = latency;
  // Slow answers move the mean less, so that a jump stays visible.
  Mean += (std::min(latency, Mean * 2) - Mean) / MeanWeight;
  if (Count % SortEvery != 0)
    return;
  auto sorted = Recent;
  const std::size_t size = std::min(Count, Samples);
  auto *const nth =
      sorted.begin() + static_cast<std::ptrdiff_t>(size * 95 / 100);
  std::nth_element(sorted.begin(), nth,
                   sorted.begin() + static_cast<std::ptrdiff_t>(size));
  P95 = *nth;
}

bool LatencyWindow::hasJumped() const { return SlowInARow >= JumpAnswers; }

} // namespace waxwing
