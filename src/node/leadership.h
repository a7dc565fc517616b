/**
 * @file leadership.h
 * Tasks of the leader while it holds its lease in the store: it writes range
 * maps there and sends grants and releases to upstreams.
 */
#ifndef WAXWING_NODE_LEADERSHIP_H
#define WAXWING_NODE_LEADERSHIP_H

#include "node/call_client.h"
#include "node/node_clock.h"
#include "node/store_client.h"
#include "node/store_health.h"
#include "peers/range_map_replica_base.h"
#include "ranges/range_leader_base.h"
#include "routing/route_table.h"
#include "routing/upstream_table.h"
#include "settings/node_settings_base.h"

#include <array>

namespace waxwing {

/// Counters of the leader's work.
struct LeadershipCounters {
  /// Orders sent to upstreams: grants of key ranges and releases of them.
  std::uint64_t OrdersSent = 0;
  /// Number of orders (grants and releases) that ended, by OrderOutcome.
  std::array<std::uint64_t, OrderOutcomeNames.size()> Outcomes{};
  std::uint64_t RangeMapWrites = 0; ///< writes of range maps that were started
  std::uint64_t Elections = 0;      ///< elections started by this VM
};

/// Acquires and keeps the leader's lease and runs a RangeLeader for each
/// service divided by key.
class Leadership {
public:
  /// @param knownMaps newest range maps that this VM knows from other VMs
  Leadership(boost::asio::io_context &loop, const NodeSettings &settings,
             HttpCallClient &calls, NodeStoreClient &store, StoreHealth &health,
             UpstreamTable &upstreams, const RangeMapReplica &knownMaps);

  /// @return true if a service is divided by key, which needs a leader
  bool isLeaderNeeded() const { return !ServicesDividedByKey.empty(); }
  bool isLeading() const { return Term != 0; }
  bool isElecting() const { return IsElecting; }
  /// Acquires a lease and writes the leader key.
  /// @param replacedTerm revision of the leader key that is to be replaced; 0
  ///   if the key must not exist
  void tryBecomeLeader(const VmId &self, const Endpoint &address,
                       StoreRevision replacedTerm);
  /// Another VM leads, so that this one no longer knows the owners of all keys.
  void forgetFormerTerm() { FormerRangeLeaders.clear(); }
  /// Ends leadership or an election in progress, since the store was restored
  /// from an older copy and its leases are gone.
  void endForRestoredStore();
  /// Called when services, upstreams or evacuations have changed.
  void onRoutingStateChanged(const RouteTable &config);
  /// Called when an upstream announced that it leaves, or its limit changed.
  void onUpstreamsChanged();
  /// Called when any VM received a request for @p key.
  void recordKeyRequest(const ServiceId &service, std::uint16_t key);
  /// Ends leadership and its lease immediately, so that another VM can lead.
  void resign(std::string_view why);

  const LeadershipCounters &counters() const { return Counters; }
  std::uint64_t storeCalls() const { return StoreCalls; }

  /// Called when leadership starts, with the revision of the leader key.
  std::function<void(StoreRevision)> OnLeading;
  /// Called when leadership has ended.
  std::function<void()> OnEnded;
  /// Called when a service's range map was read or written, with the previous
  /// and the new map.
  std::function<void(const ServiceId &, const RangeMap &, const RangeMap &)>
      OnRangeMapChanged;
  /// Called when an upstream announced in its response to an order that it
  /// leaves.
  std::function<void(const UpstreamProcess &)> OnLeavingAnnounced;

private:
  /// Default timeout of calls to the store.
  static constexpr Duration CallTimeout = milliseconds(1500);

  void sendStoreCall(const platform::PlatformRequest &call,
                     HttpCallClient::Callback callback,
                     Duration timeout = CallTimeout);
  /// Calls @p action after a delay if this VM still leads in the same term.
  void retryLater(std::function<void()> action);
  bool isLeaseValid(Time now) const { return now < LeaseValidUntil; }
  void writeLeaderKey(const VmId &self, const Endpoint &address,
                      StoreRevision replacedTerm);
  void abandonElection(std::string_view why);
  void acquireLease(const VmId &self, const Endpoint &address,
                    StoreRevision replacedTerm);
  void renewLease();
  /// @param mayResume the leadership ended for lack of the store
  void endLeadership(std::string_view why, bool mayResume);
  RangeLeader &rangeLeader(const ServiceId &service, Time now);
  void loadRangeMaps();
  void runServices();
  void runService(const ServiceId &service, RangeLeader &ranges, Time now);
  void writeRangeMap(const ServiceId &service, const RangeMap &map);
  void readRangeMap(const ServiceId &service);
  void adoptStoredMap(const ServiceId &service, const RangeMap &map);
  void publish(const ServiceId &service, const RangeMap &map);
  void sendOrder(const ServiceId &service, const RangeOrder &order);
  /// @param process the upstream's process when the order was sent
  void onOrder(const ServiceId &service, const RangeOrder &order,
               const UpstreamProcess &process, const HttpCallResult &result);
  std::vector<RangeUpstream> rangeUpstreams(const ServiceId &service,
                                            const RangeMap &map, Time now);
  void markUpstreamDead(const UpstreamProcess &process, Time now,
                        std::string_view why);
  /// Records whether an order to the upstream's process was delivered.
  void recordDelivery(const UpstreamProcess &process, bool isDelivered,
                      Time now);
  /// @return true if this VM cannot deliver orders to the upstream, which may
  ///   run on and keep its keys
  bool isUnreachable(const UpstreamEntry &entry, Time now) const;

  boost::asio::io_context &Loop;
  HttpCallClient &Calls;
  NodeStoreClient &Store;
  StoreHealth &Health;
  UpstreamTable &Upstreams;
  const RangeMapReplica &KnownMaps;
  RangeTimings Timings;
  Duration LeaderLeaseDuration;
  DeadlineTimer LeaseRenewalTimer;
  DeadlineTimer RunServicesTimer;

  std::uint64_t Lease = 0; ///< lease ID; 0 if none
  /// The store does not let the leader's lease expire before this time.
  Time LeaseValidUntil;
  StoreRevision Term = 0; ///< revision of the leader key; 0 if not leading
  bool IsElecting = false;
  StoreEpoch ElectionEpoch = 0; ///< epoch in which Lease was acquired
  bool AreRangeMapsLoaded = false;
  std::map<ServiceId, RangeMap> Maps; ///< range maps as last stored, by service
  std::map<ServiceId, RangeLeader> RangeLeaders;
  /// Range leaders of the last term, if it ended for lack of the store and no
  /// other VM has led since. After a restoration of the store they know more
  /// than the stored maps.
  std::map<ServiceId, RangeLeader> FormerRangeLeaders;
  std::set<ServiceId> ServicesDividedByKey; ///< services divided by key
  /// Orders to an upstream's process that were not delivered, since the last
  /// one that was.
  struct UndeliveredOrders {
    Time ConfirmAt; ///< a failure after this time makes it unreachable
    Time ForgetAt;  ///< the process is tried again from then on
    bool IsUnreachable = false;
  };
  std::map<std::pair<UpstreamId, std::int64_t>, UndeliveredOrders> Undelivered;
  /// Upstream processes known to have ended, by upstream and start time.
  std::set<std::pair<UpstreamId, std::int64_t>> EndedUpstreamProcesses;
  LeadershipCounters Counters;
  std::uint64_t StoreCalls = 0;
};

} // namespace waxwing

#endif
