/**
 * @file metrics_page.cpp
 * The text format is prometheus-cpp's.
 */
#include "metrics/metrics_page.h"

#include "table/reasons.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <vector>

namespace waxwing {
namespace {

double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

prometheus::MetricFamily family(const std::string &name,
                                const std::string &help,
                                prometheus::MetricType type) {
  prometheus::MetricFamily result;
  result.name = name;
  result.help = help;
  result.type = type;
  return result;
}

} // namespace

struct MetricsPage::Families {
  std::vector<prometheus::MetricFamily> Rows;
};

MetricsPage::MetricsPage() : State(std::make_unique<Families>()) {}

MetricsPage::~MetricsPage() = default;

void MetricsPage::addReasonCounters(const std::string &name,
                                    const std::string &help,
                                    const ReasonCounters &counters) {
  auto rows = family(name, help, prometheus::MetricType::Counter);
  for (const ReasonInfo &info : ReasonTable) {
    prometheus::ClientMetric metric;
    metric.label.push_back({"reason", std::string(info.Name)});
    metric.counter.value = static_cast<double>(counters.count(info.Id));
    rows.metric.push_back(std::move(metric));
  }
  State->Rows.push_back(std::move(rows));
}

void MetricsPage::addCounter(const std::string &name, const std::string &help,
                             std::uint64_t value) {
  auto rows = family(name, help, prometheus::MetricType::Counter);
  prometheus::ClientMetric metric;
  metric.counter.value = static_cast<double>(value);
  rows.metric.push_back(std::move(metric));
  State->Rows.push_back(std::move(rows));
}

void MetricsPage::addGauge(const std::string &name, const std::string &help,
                           double value) {
  auto rows = family(name, help, prometheus::MetricType::Gauge);
  prometheus::ClientMetric metric;
  metric.gauge.value = value;
  rows.metric.push_back(std::move(metric));
  State->Rows.push_back(std::move(rows));
}

void MetricsPage::addLatency(const std::string &name, const std::string &help,
                             const LatencySummary &summary) {
  auto rows = family(name, help, prometheus::MetricType::Summary);
  prometheus::ClientMetric metric;
  metric.summary.sample_count = summary.Count;
  metric.summary.quantile = {{0.5, toSeconds(summary.P50)},
                             {0.99, toSeconds(summary.P99)},
                             {0.999, toSeconds(summary.P999)},
                             {1.0, toSeconds(summary.Max)}};
  rows.metric.push_back(std::move(metric));
  State->Rows.push_back(std::move(rows));
}

std::string MetricsPage::text() const {
  return prometheus::TextSerializer().Serialize(State->Rows);
}

} // namespace waxwing
