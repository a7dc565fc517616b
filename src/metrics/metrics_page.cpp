/**
 * @file metrics_page.cpp
 * Builds metric families and serializes them with prometheus-cpp.
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

prometheus::MetricFamily makeFamily(const std::string &name,
                                    const std::string &help,
                                    prometheus::MetricType type) {
  prometheus::MetricFamily result;
  result.name = name;
  result.help = help;
  result.type = type;
  return result;
}

} // namespace

struct MetricsPage::FamilyList {
  std::vector<prometheus::MetricFamily> Families;
};

MetricsPage::MetricsPage() : Impl(std::make_unique<FamilyList>()) {}

MetricsPage::~MetricsPage() = default;

void MetricsPage::addReasonCounters(const std::string &name,
                                    const std::string &help,
                                    const ReasonCounters &counters) {
  auto family = makeFamily(name, help, prometheus::MetricType::Counter);
  for (const ReasonInfo &info : ReasonTable) {
    prometheus::ClientMetric metric;
    metric.label.push_back({"reason", std::string(info.Name)});
    metric.counter.value = static_cast<double>(counters.count(info.Id));
    family.metric.push_back(std::move(metric));
  }
  Impl->Families.push_back(std::move(family));
}

void MetricsPage::addEndCounters(const std::string &name,
                                 const std::string &help,
                                 const ConnectionEndCounters &counters) {
  auto family = makeFamily(name, help, prometheus::MetricType::Counter);
  for (std::size_t n = 0; n < ConnectionEndCount; ++n) {
    prometheus::ClientMetric metric;
    metric.label.push_back({"reason", std::string(ConnectionEndNames[n])});
    metric.counter.value =
        static_cast<double>(counters.count(static_cast<ConnectionEnd>(n)));
    family.metric.push_back(std::move(metric));
  }
  Impl->Families.push_back(std::move(family));
}

void MetricsPage::addCounter(const std::string &name, const std::string &help,
                             std::uint64_t value) {
  auto family = makeFamily(name, help, prometheus::MetricType::Counter);
  prometheus::ClientMetric metric;
  metric.counter.value = static_cast<double>(value);
  family.metric.push_back(std::move(metric));
  Impl->Families.push_back(std::move(family));
}

void MetricsPage::addGauge(const std::string &name, const std::string &help,
                           double value) {
  auto family = makeFamily(name, help, prometheus::MetricType::Gauge);
  prometheus::ClientMetric metric;
  metric.gauge.value = value;
  family.metric.push_back(std::move(metric));
  Impl->Families.push_back(std::move(family));
}

void MetricsPage::addLatency(const std::string &name, const std::string &help,
                             const LatencySummary &summary) {
  auto family = makeFamily(name, help, prometheus::MetricType::Summary);
  prometheus::ClientMetric metric;
  metric.summary.sample_count = summary.Count;
  metric.summary.quantile = {{0.5, toSeconds(summary.P50)},
                             {0.99, toSeconds(summary.P99)},
                             {0.999, toSeconds(summary.P999)},
                             {1.0, toSeconds(summary.Max)}};
  family.metric.push_back(std::move(metric));
  Impl->Families.push_back(std::move(family));
}

std::string MetricsPage::text() const {
  return prometheus::TextSerializer().Serialize(Impl->Families);
}

} // namespace waxwing
