/**
 * @file routing_replica.h
 * What a VM knows of configuration, upstreams and the other VMs, kept up to
 * date from the store, from readers and from upstreams' responses.
 */
#ifndef WAXWING_NODE_ROUTING_REPLICA_H
#define WAXWING_NODE_ROUTING_REPLICA_H

#include "metrics/metrics_page.h"
#include "node/cluster.h"
#include "node/gateway.h"
#include "node/store_feed.h"
#include "routing/routing_state.h"

namespace waxwing {

/// Feeds the gateway with all that it needs to route.
class RoutingReplica {
public:
  /// @param port of this replica alone
  RoutingReplica(boost::asio::io_context &loop, const NodeSettings &settings,
                 HttpCallClient &calls, PeerPort &port, Gateway &gateway);

  /// Starts to read the store and to look for the other VMs.
  /// @return Unavailable if the address for datagrams cannot be bound
  absl::Status start();
  /// Ends this VM's leadership, if any, and its participation in elections.
  void resign() { VmCluster.resign(); }
  void addMetrics(MetricsPage &page) const;

  const Cluster &cluster() const { return VmCluster; }
  const StoreHealth &storeHealth() const { return Health; }
  const StoreFeed &upstreamFeed() const { return UpstreamFeed; }

private:
  void onStoreChange(const platform::StoreChange &change);
  void onUpstreamChange(const std::string &id,
                        const platform::StoreChange &change);
  void onUpstreamLoss(const std::string &id, EntryLoss loss,
                      StoreRevision revision);
  void onConfigChange(const platform::StoreChange &change);
  void onEvacuationChange(const std::string &domain, bool isEvacuated);
  void onBatchEnd();
  void updateBatchDelay();
  /// Applies the changes that State deferred.
  void applyDueChanges();
  /// @return how a change that @p feed reports now has become known
  static ChangeOrigin originOf(const StoreFeed &feed);
  StoreAvailability storeAvailability() const {
    return {Health.isUnavailable(), Health.recoveredAt()};
  }

  HttpCallClient &Calls;
  Gateway &RequestGateway;
  StoreHealth Health;
  NodeStoreClient Store;
  StoreFeed OperatorFeed; ///< configuration; failure domains taken out
  StoreFeed UpstreamFeed; ///< entries of the running upstreams
  RoutingState State;
  Cluster VmCluster;
  DeadlineTimer DueChangesTimer;
  /// Greatest possible ages of the changes of upstreams, by ChangePath.
  std::array<LatencyStats, ChangePathCount> ChangeAges;
  int ChangedUpstreams = 0; ///< since the last onBatchEnd()
};

} // namespace waxwing

#endif
