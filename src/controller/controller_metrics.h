/**
 * @file controller_metrics.h
 * HTTP server of the controller's metrics page.
 */
#ifndef WAXWING_CONTROLLER_CONTROLLER_METRICS_H
#define WAXWING_CONTROLLER_CONTROLLER_METRICS_H

#include "metrics/control_counters.h"
#include "net/http_server.h"

namespace waxwing {

/// Serves the metrics on any GET path in the Prometheus text format.
class ControllerMetrics {
public:
  /// @param counters must outlive this object
  explicit ControllerMetrics(const ControlCounters &counters);

  absl::Status listen(const Endpoint &endpoint);

private:
  IoThread Io{"metrics"};
  HttpServer Server;
};

} // namespace waxwing

#endif
