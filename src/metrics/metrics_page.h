/**
 * @file metrics_page.h
 * Builds a page in the Prometheus text format.
 */
#ifndef WAXWING_METRICS_METRICS_PAGE_H
#define WAXWING_METRICS_METRICS_PAGE_H

#include "metrics/latency_stats.h"
#include "metrics/reason_counters.h"
#include "table/connection_ends.h"

#include <memory>
#include <string>

namespace waxwing {

using ConnectionEndCounters = EnumCounters<ConnectionEnd, ConnectionEndCount>;

/// Collects metric families; each add function appends one.
class MetricsPage {
public:
  MetricsPage();
  ~MetricsPage();

  /// Adds a counter family with one sample for each reason, labelled `reason`.
  void addReasonCounters(const std::string &name, const std::string &help,
                         const ReasonCounters &counters);
  /// The same for the ends of connections.
  void addEndCounters(const std::string &name, const std::string &help,
                      const ConnectionEndCounters &counters);
  void addCounter(const std::string &name, const std::string &help,
                  std::uint64_t value);
  void addGauge(const std::string &name, const std::string &help, double value);
  /// Adds a summary with quantiles in seconds; the 1.0 quantile is the maximum.
  void addLatency(const std::string &name, const std::string &help,
                  const LatencySummary &summary);

  /// @return the families in the Prometheus text format
  std::string text() const;

private:
  struct FamilyList;
  std::unique_ptr<FamilyList> Impl;
};

} // namespace waxwing

#endif
