/**
 * @file router_metrics.h
 * HTTP server of the router's metrics page.
 */
#ifndef WAXWING_ROUTER_ROUTER_METRICS_H
#define WAXWING_ROUTER_ROUTER_METRICS_H

#include "metrics/latency_stats.h"
#include "net/http_server.h"
#include "traffic/router_core_base.h"

namespace waxwing {

/// Serves the metrics on any GET path in the Prometheus text format.
class RouterMetrics {
public:
  RouterMetrics(const RouterCore &core, const LatencyStats &latency);

  absl::Status listen(const Endpoint &endpoint);
  /// Closes the port so that the next process can open it.
  void drain() { Server.drain(); }

private:
  IoThread Io{"metrics"};
  HttpServer Server;
};

} // namespace waxwing

#endif
