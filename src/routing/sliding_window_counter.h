/**
 * @file sliding_window_counter.h
 * Counts of events in a sliding window of time.
 */
#ifndef WAXWING_ROUTING_SLIDING_WINDOW_COUNTER_H
#define WAXWING_ROUTING_SLIDING_WINDOW_COUNTER_H

#include "core/time_type.h"

#include <array>
#include <cstddef>

namespace waxwing {

/// Events of the last window, in slices of a sixteenth of it.
class SlidingWindowCounter {
public:
  explicit SlidingWindowCounter(Duration length) : Slice(length / SliceCount) {}

  void add(Time now) {
    advance(now);
    ++Counts[static_cast<std::size_t>(Index % SliceCount)];
  }
  /// @return events within the window, counting its oldest slice whole
  int count(Time now) {
    advance(now);
    int sum = 0;
    for (const int n : Counts)
      sum += n;
    return sum;
  }

private:
  static constexpr int SliceCount = 16;

  void advance(Time now) {
    const auto index = now.time_since_epoch() / Slice;
    if (index - Index >= SliceCount)
      Counts.fill(0);
    else
      for (auto n = Index + 1; n <= index; ++n)
        Counts[static_cast<std::size_t>(n % SliceCount)] = 0;
    Index = std::max(Index, index);
  }

  Duration Slice;
  Duration::rep Index = 0; ///< number of the slice in use, since time 0
  std::array<int, SliceCount> Counts{};
};

} // namespace waxwing

#endif
