/**
 * @file latency_stats.h
 * Quantiles of a latency, estimated from samples in constant memory.
 */
#ifndef WAXWING_METRICS_LATENCY_STATS_H
#define WAXWING_METRICS_LATENCY_STATS_H

#include "core/time_type.h"

#include <memory>

namespace waxwing {

/// Number of samples, quantiles and maximum of a latency; all zero when there
/// are no samples.
struct LatencySummary {
  std::uint64_t Count = 0;
  Duration P50{};
  Duration P99{};
  Duration P999{};
  Duration Max{};
};

/// Collects latency samples. A mutex protects it, so any thread may add samples
/// and read the summary.
class LatencyStats {
public:
  LatencyStats();
  ~LatencyStats();

  void add(Duration latency);
  LatencySummary summary() const;

private:
  struct SynchronizedAccumulator;
  std::unique_ptr<SynchronizedAccumulator> Impl;
};

} // namespace waxwing

#endif
