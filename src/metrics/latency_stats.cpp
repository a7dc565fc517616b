/**
 * @file latency_stats.cpp
 * Estimates latency quantiles in constant memory with the P-square algorithm.
 */
#include "metrics/latency_stats.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <mutex>

namespace waxwing {
namespace {

namespace acc = boost::accumulators;
using LatencyAccumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::max,
                                    acc::tag::extended_p_square_quantile>>;

constexpr std::array<double, 5> Probabilities{0.25, 0.5, 0.9, 0.99, 0.999};

Duration toDuration(double value) {
  return Duration(static_cast<Duration::rep>(value));
}

} // namespace

struct LatencyStats::SynchronizedAccumulator {
  mutable std::mutex Mutex;
  LatencyAccumulator Values{acc::extended_p_square_probabilities =
                                Probabilities};
};

LatencyStats::LatencyStats()
    : Impl(std::make_unique<SynchronizedAccumulator>()) {}

LatencyStats::~LatencyStats() = default;

void LatencyStats::add(Duration latency) {
  const std::lock_guard lock(Impl->Mutex);
  Impl->Values(static_cast<double>(latency.count()));
}

LatencySummary LatencyStats::summary() const {
  const std::lock_guard lock(Impl->Mutex);
  LatencySummary summary;
  summary.Count = acc::count(Impl->Values);
  if (summary.Count == 0)
    return summary;
  const auto quantile = [&](double p) {
    return toDuration(
        acc::quantile(Impl->Values, acc::quantile_probability = p));
  };
  summary.P50 = quantile(0.5);
  summary.P99 = quantile(0.99);
  summary.P999 = quantile(0.999);
  summary.Max = toDuration(acc::max(Impl->Values));
  return summary;
}

} // namespace waxwing
