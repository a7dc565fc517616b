/**
 * @file sliding_window_counter.h
 * Counts events in a sliding time window.
 */
#ifndef WAXWING_ROUTING_SLIDING_WINDOW_COUNTER_H
#define WAXWING_ROUTING_SLIDING_WINDOW_COUNTER_H

#include "core/time_type.h"

#include <array>
#include <cstddef>

namespace waxwing {

/// Counts the events in a sliding time window that advances in steps of 1/16 of
/// its length.
class SlidingWindowCounter {
public:
  explicit SlidingWindowCounter(Duration window)
      : SliceLength(window / SliceCount) {}

  void add(Time now) {
    advance(now);
    ++Counts[static_cast<std::size_t>(Index % SliceCount)];
  }
  /// @return events within the window; its oldest slice is counted in full
  int count(Time now) {
    advance(now);
    int sum = 0;
    for (const int n : Counts)
      sum += n;
    return sum;
  }

private:
  static constexpr int SliceCount = 16;

  /// Clears the slices that have left the window.
  void advance(Time now) {
    const auto index = now.time_since_epoch() / SliceLength;
    if (index - Index >= SliceCount)
      Counts.fill(0);
    else
      for (auto n = Index + 1; n <= index; ++n)
        Counts[static_cast<std::size_t>(n % SliceCount)] = 0;
    Index = std::max(Index, index);
  }

  Duration SliceLength;
  Duration::rep Index = 0; ///< number of the current slice, counted from time 0
  std::array<int, SliceCount> Counts{}; ///< events of each slice
};

} // namespace waxwing

#endif
