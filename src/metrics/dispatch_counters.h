/**
 * @file dispatch_counters.h
 * Counters of the dispatcher's events.
 */
#ifndef WAXWING_METRICS_DISPATCH_COUNTERS_H
#define WAXWING_METRICS_DISPATCH_COUNTERS_H

#include "table/dispatch_events.h"

#include <atomic>

namespace waxwing {

/// One counter for each DispatchEvent; incremented by one thread and read by
/// any thread.
class DispatchCounters {
public:
  void add(DispatchEvent event) {
    Counts[static_cast<std::size_t>(event)].fetch_add(
        1, std::memory_order_relaxed);
  }
  /// @return how often the event occurred since the process started
  std::uint64_t count(DispatchEvent event) const {
    return Counts[static_cast<std::size_t>(event)].load(
        std::memory_order_relaxed);
  }

private:
  std::array<std::atomic<std::uint64_t>, DispatchEventCount> Counts{};
};

} // namespace waxwing

#endif
