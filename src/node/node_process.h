/**
 * @file node_process.h
 * The waxwing-node process of one VM: data path, replicated routing state and
 * its pages on one event loop.
 */
#ifndef WAXWING_NODE_NODE_PROCESS_H
#define WAXWING_NODE_NODE_PROCESS_H

#include "metrics/metrics_page.h"
#include "node/gateway.h"
#include "node/peer_port.h"
#include "node/routing_replica.h"
#include "node/status_port.h"

#include <boost/asio/signal_set.hpp>

namespace waxwing {

/// Owns all components of the process and connects them.
class NodeProcess {
public:
  NodeProcess(std::string settingsPath, const NodeSettings &settings);

  /// Serves until SIGTERM or SIGINT, then drains and returns.
  /// @return Unavailable if an address cannot be listened on
  absl::Status run();

private:
  void awaitSignals();
  void onSignal(int number);
  void reloadSettings();
  void beginShutdown();
  void continueShutdown();
  StatusPort::Page readyPage() const;
  StatusPort::Page metricsPage();
  void addLimitMetrics(MetricsPage &page);
  void flushLogPeriodically();

  std::string SettingsPath;
  NodeSettings Settings;
  boost::asio::io_context Loop;
  boost::asio::signal_set Signals;
  HttpCallClient Calls;
  Gateway RequestGateway;
  UdpPeerPort Port;
  RoutingReplica Replica;
  StatusPort ReadyPort;
  StatusPort MetricsPort;
  DeadlineTimer ShutdownTimer;
  DeadlineTimer LogTimer;
  Time ShutdownStartedAt; ///< when SIGTERM or SIGINT arrived; Time() before
  Time RefuseFrom;        ///< requests that arrive later are refused
  Time ShutdownDeadline;  ///< the process ends by then
};

} // namespace waxwing

#endif
