/**
 * @file node_process.h
 * The waxwing-node process of one VM: data path, replicated store state and
 * cooperation with other VMs on one event loop.
 */
#ifndef WAXWING_NODE_NODE_PROCESS_H
#define WAXWING_NODE_NODE_PROCESS_H

#include "metrics/metrics_page.h"
#include "node/cluster.h"
#include "node/gateway.h"
#include "node/status_port.h"
#include "node/store_feed.h"
#include "routing/routing_state.h"

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
  void onStoreChange(const platform::StoreChange &change);
  void onUpstreamChange(const std::string &id,
                        const platform::StoreChange &change);
  void onUpstreamLoss(const std::string &id, EntryLoss loss,
                      StoreRevision revision);
  void onConfigChange(const platform::StoreChange &change);
  void onEvacuationChange(const std::string &domain, bool isEvacuated);
  void onBatchEnd();
  /// Applies the changes that State deferred.
  void applyDueChanges();
  /// @return how a change that @p feed reports now has become known
  static ChangeOrigin originOf(const StoreFeed &feed);
  StoreAvailability storeAvailability() const {
    return {Health.isUnavailable(), Health.recoveredAt()};
  }
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
  StoreHealth Health;
  NodeStoreClient Store;
  StoreFeed OperatorFeed; ///< configuration; failure domains taken out
  StoreFeed UpstreamFeed; ///< entries of the running upstreams
  Gateway RequestGateway;
  RoutingState State;
  Cluster VmCluster;
  StatusPort ReadyPort;
  StatusPort MetricsPort;
  DeadlineTimer DueChangesTimer;
  DeadlineTimer ShutdownTimer;
  DeadlineTimer LogTimer;
  int ChangedUpstreams = 0; ///< since the last onBatchEnd()
  Time ShutdownStartedAt;   ///< when SIGTERM or SIGINT arrived; Time() before
  Time RefuseFrom;          ///< requests that arrive later are refused
  Time ShutdownDeadline;    ///< the process ends by then
};

} // namespace waxwing

#endif
