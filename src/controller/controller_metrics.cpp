/**
 * @file controller_metrics.cpp
 * Renders the controller's metrics page.
 */
#include "controller/controller_metrics.h"

#include "metrics/metrics_page.h"
#include "table/control_counters.h"

namespace waxwing {
namespace {

std::string renderMetrics(const ControlCounters &counters) {
  MetricsPage page;
  for (const ControlCounterInfo &info : ControlCounterTable)
    page.addCounter(std::string(info.Name), std::string(info.Help),
                    counters.count(info.Id));
  return page.text();
}

} // namespace

ControllerMetrics::ControllerMetrics(const ControlCounters &counters)
    : Server(Io, {}, [&counters](const HttpExchange &exchange) {
        HttpResponse response;
        response.Headers.add("Content-Type", "text/plain; version=0.0.4");
        response.Body = renderMetrics(counters);
        exchange.Reply(std::move(response));
      }) {}

absl::Status ControllerMetrics::listen(const Endpoint &endpoint) {
  return Server.listen(endpoint);
}

} // namespace waxwing
