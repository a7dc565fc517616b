/**
 * @file router_metrics.cpp
 * Renders the router's metrics page.
 */
#include "router/router_metrics.h"

#include "metrics/metrics_page.h"

namespace waxwing {
namespace {

std::string renderMetrics(const RouterCore &core, const LatencyStats &latency) {
  MetricsPage page;
  page.addReasonCounters(
      "waxwing_answers_total",
      "Answers to callers; reason none: an upstream's answer",
      core.responseCounters());
  page.addReasonCounters("waxwing_attempts_total",
                         "Ends of attempts; reason none: a whole answer",
                         core.attemptCounters());
  page.addReasonCounters("waxwing_retries_total",
                         "Retries, by the reason that caused them",
                         core.retryCounters());
  page.addReasonCounters("waxwing_retry_refusals_total",
                         "Retries not made, by the reason that forbade them",
                         core.retryRefusalCounters());
  for (std::size_t n = 0; n < DispatchEventCount; ++n)
    page.addCounter(
        "waxwing_dispatch_" + std::string(DispatchEventNames[n]) + "_total",
        "Dispatcher's events, see docs/TRAFFIC.md",
        core.dispatchCounters().count(static_cast<DispatchEvent>(n)));
  page.addCounter("waxwing_silent_connections_total",
                  "Connections found silent while their upstream answered",
                  core.silentConnections());
  page.addLatency("waxwing_latency_seconds",
                  "Time from a request's arrival to its answer",
                  latency.summary());
  return page.text();
}

} // namespace

RouterMetrics::RouterMetrics(const RouterCore &core,
                             const LatencyStats &latency)
    : Server(Io, {}, [&core, &latency](const HttpExchange &exchange) {
        HttpResponse response;
        response.Headers.add("Content-Type", "text/plain; version=0.0.4");
        response.Body = renderMetrics(core, latency);
        exchange.Reply(std::move(response));
      }) {}

absl::Status RouterMetrics::listen(const Endpoint &endpoint) {
  return Server.listen(endpoint);
}

} // namespace waxwing
