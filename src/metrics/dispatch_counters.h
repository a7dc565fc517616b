/**
 * @file dispatch_counters.h
 * The dispatcher's counters, written by one thread and read by any.
 */
#ifndef WAXWING_METRICS_DISPATCH_COUNTERS_H
#define WAXWING_METRICS_DISPATCH_COUNTERS_H

#include "table/dispatch_events.h"

#include <atomic>

namespace waxwing {

class DispatchCounters {
public:
  void add(DispatchEvent what) {
    Counts[static_cast<std::size_t>(what)].fetch_add(1,
                                                     std::memory_order_relaxed);
  }
  /// @return occurrences since the process started
  std::uint64_t count(DispatchEvent what) const {
    return Counts[static_cast<std::size_t>(what)].load(
        std::memory_order_relaxed);
  }

private:
  std::array<std::atomic<std::uint64_t>, DispatchEventCount> Counts{};
};

} // namespace waxwing

#endif
