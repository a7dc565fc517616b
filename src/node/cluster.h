/**
 * @file cluster.h
 * This VM among the others: its lease in the store, the list of VMs, who
 * leads, and the leader's duties for services divided by key.
 */
#ifndef WAXWING_NODE_CLUSTER_H
#define WAXWING_NODE_CLUSTER_H

#include "node/store_feed.h"
#include "ranges/range_leader_base.h"
#include "routing/route_table.h"
#include "routing/upstream_table.h"
#include "settings/node_settings_base.h"

#include <absl/status/status.h>
#include <boost/asio/ip/udp.hpp>
#include <random>

namespace waxwing {

/// Counters of the cluster's duties.
struct ClusterCounters {
  std::uint64_t OrdersSent = 0;
  std::array<std::uint64_t, OrderOutcomeNames.size()> Outcomes{};
  std::uint64_t MapsWritten = 0;
  std::uint64_t StoreCalls = 0;
  std::uint64_t Elections = 0;
};

class Cluster {
public:
  static constexpr std::string_view Prefix = "waxwing/";
  static constexpr std::string_view LeaderKey = "waxwing/leader";
  static constexpr std::string_view RangePrefix = "waxwing/ranges/";

  Cluster(boost::asio::io_context &loop, const NodeSettings &settings,
          CallClient &calls, StoreFeed &feed, UpstreamTable &upstreams);

  /// Begins to register. @return Unavailable when the port is taken
  absl::Status start();
  /// A key under Prefix has changed.
  void onStoreChange(const platform::StoreChange &change);
  /// Services, upstreams or evacuations have changed.
  void onBeliefsChanged(const RouteTable &config);
  /// A request of this VM asked for @p key.
  void noteKey(const ServiceId &service, std::uint16_t key);
  /// Gives leadership and the lease back.
  void resign();

  bool isLeader() const { return LeaderRevision != 0; }
  const std::string &leaderName() const { return LeaderName; }
  const ClusterCounters &counters() const { return Counters; }
  std::size_t vmCount() const { return Vms.size(); }

  std::function<void(const ServiceId &, const RangeMap &)> OnRanges;
  std::function<void(std::vector<VmId>)> OnVms;

private:
  struct Leadership {
    RangeLeader Ranges;
    bool IsWriting = false;
    bool IsReading = false; ///< the fate of a write is being read
  };

  void storeCall(const platform::Call &call, Duration timeout,
                 CallClient::Callback callback);
  void keepLease();
  void openLease();
  void registerVm();
  void onLease(const CallResult &result, Time askedAt);
  bool isLeaseValid(Time now) const { return now < LeaseValidUntil; }
  void considerLeading();
  void tryLead();
  void beginLeading(std::uint64_t revision);
  void stepDown(std::string_view why);
  void loadMaps();
  void lead();
  void runLeadership(const ServiceId &service, Leadership &leadership,
                     Time now);
  void writeMap(const ServiceId &service, const RangeMap &map);
  void readMap(const ServiceId &service);
  void sendOrder(const ServiceId &service, const RangeOrder &order);
  void onOrder(const ServiceId &service, const RangeOrder &order,
               const CallResult &result);
  std::vector<RangeUpstream> rangeUpstreams(const ServiceId &service,
                                            const RangeMap &map, Time now);
  void noteRefusal(const RangeOrder &order, Time now);
  void noteDead(const RangeOrder &order, Time now, std::string_view why);
  void reportKeys();
  void receiveReport();
  void tick();

  boost::asio::io_context &Loop;
  CallClient &Calls;
  StoreFeed &Feed;
  UpstreamTable &Upstreams;
  Endpoint Store;
  VmId Self;
  Endpoint PeerAddress;
  RangeTerms Terms;
  Duration LeaseTerm;
  boost::asio::ip::udp::socket Udp;
  std::array<char, 2048> UdpBuffer{};
  boost::asio::ip::udp::endpoint UdpSender;
  std::mt19937_64 Random;
  DueTimer Tick;
  DueTimer LeadTimer;

  std::uint64_t Lease = 0; ///< 0: none
  Time LeaseValidUntil;    ///< the store keeps it at least until then
  Time NextKeepAt;
  bool IsLeaseBusy = false;
  bool IsRegistered = false;
  bool IsResigned = false;

  std::map<std::string, std::string> Vms; ///< peers' address by VM's name
  std::string LeaderName;                 ///< "" while there is none
  Endpoint LeaderAddress;
  std::uint64_t LeaderKeyRevision = 0; ///< of the store's leader key
  std::uint64_t LeaderRevision = 0;    ///< own leadership; 0: another's
  Time LeaderGoneAt;
  bool IsElecting = false;
  bool AreMapsLoaded = false;

  std::map<ServiceId, RangeMap> Maps; ///< newest known
  std::map<ServiceId, Leadership> Leaderships;
  std::set<ServiceId> Divided; ///< services divided by key
  std::map<ServiceId, std::vector<std::uint16_t>> KeyReports;
  /// First refusal of a connection in a row, by upstream and life.
  std::map<std::pair<UpstreamId, std::int64_t>, Time> RefusedSince;
  std::set<std::pair<UpstreamId, std::int64_t>> DeadLives;
  Time NextReportAt;
  ClusterCounters Counters;
};

} // namespace waxwing

#endif
