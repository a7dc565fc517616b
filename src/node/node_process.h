/**
 * @file node_process.h
 * waxwing-node: one program for each VM that joins the data path, the copy
 * of the store, and the duties among VMs on one event loop.
 */
#ifndef WAXWING_NODE_NODE_PROCESS_H
#define WAXWING_NODE_NODE_PROCESS_H

#include "node/cluster.h"
#include "node/gateway.h"
#include "node/status_port.h"
#include "node/store_feed.h"

#include <boost/asio/signal_set.hpp>

namespace waxwing {

class NodeProcess {
public:
  NodeProcess(std::string settingsPath, const NodeSettings &settings);

  /// Serves until SIGTERM or SIGINT and the drain behind it.
  /// @return Unavailable when an address cannot be listened on
  absl::Status run();

private:
  void onStoreChange(const platform::StoreChange &change);
  void onUpstreamChange(const std::string &id,
                        const platform::StoreChange &change);
  void onConfigChange(const platform::StoreChange &change);
  void onEvacuationChange(const std::string &domain, bool isEvacuated);
  void onBatchEnd();
  /// Removals that came while the store was in trouble may be lapses.
  void applyRemovals();
  void unlist(const UpstreamId &id, std::uint64_t revision);
  void awaitSignal();
  void onSignal(int number);
  void reloadSettings();
  void beginShutdown();
  void continueShutdown();
  StatusPort::Page readyPage() const;
  StatusPort::Page metricsPage() const;
  void flushLogLater();

  std::string SettingsPath;
  NodeSettings Settings;
  boost::asio::io_context Loop;
  boost::asio::signal_set Signals;
  CallClient Calls;
  StoreHealth Health;
  StoreFeed Operators; ///< configuration and evacuations
  StoreFeed Entries;   ///< the list of upstreams
  Gateway Data;
  Cluster Peers;
  StatusPort Ready;
  StatusPort Metrics;
  DeadlineTimer RemovalTimer;
  DeadlineTimer ShutdownTimer;
  DeadlineTimer LogTimer;
  std::map<UpstreamId, std::uint64_t> DoubtfulRemovals; ///< by revision
  std::set<DomainId> Evacuated;
  Time StoppedAt; ///< SIGTERM arrived; Time() while it has not
  Time MustEndBy;
};

} // namespace waxwing

#endif
