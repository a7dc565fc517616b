/**
 * @file metrics_page.h
 * Builds a page in the Prometheus text format.
 */
#ifndef WAXWING_METRICS_METRICS_PAGE_H
#define WAXWING_METRICS_METRICS_PAGE_H

#include "metrics/latency_stats.h"
#include "metrics/reason_counters.h"

#include <memory>
#include <string>

namespace waxwing {

/// Collects families of metrics; each call adds one.
class MetricsPage {
public:
  MetricsPage();
  ~MetricsPage();

  /// A row for each reason.
  void addReasonCounters(const std::string &name, const std::string &help,
                         const ReasonCounters &counters);
  void addCounter(const std::string &name, const std::string &help,
                  std::uint64_t value);
  void addGauge(const std::string &name, const std::string &help, double value);
  /// Quantiles in seconds.
  void addLatency(const std::string &name, const std::string &help,
                  const LatencySummary &summary);

  std::string text() const;

private:
  struct Families;
  std::unique_ptr<Families> State;
};

} // namespace waxwing

#endif
