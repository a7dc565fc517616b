/**
 * @file cluster.h
 * This VM among the others: finds or becomes the leader, tells it of keys
 * that are asked for, and keeps a copy of who owns which keys.
 */
#ifndef WAXWING_NODE_CLUSTER_H
#define WAXWING_NODE_CLUSTER_H

#include "node/call_client.h"
#include "node/leadership.h"
#include "node/node_clock.h"
#include "node/store_health.h"
#include "peers/range_map_replica_base.h"
#include "routing/route_table.h"
#include "routing/upstream_table.h"
#include "settings/node_settings_base.h"

#include <absl/status/status.h>
#include <array>
#include <boost/asio/ip/udp.hpp>

namespace waxwing {

/// The leader as its key in the store names it.
struct LeaderInfo {
  VmId Name;              ///< "" while there is none
  Endpoint Address;       ///< for datagrams
  std::uint64_t Term = 0; ///< revision of the key
};

class Cluster {
public:
  Cluster(boost::asio::io_context &loop, const NodeSettings &settings,
          CallClient &calls, StoreHealth &health, UpstreamTable &upstreams);

  /// Begins to look for the leader. @return Unavailable when the port is taken
  absl::Status start();
  /// Services, upstreams or evacuations have changed.
  void onBeliefsChanged(const RouteTable &config);
  /// A request of this VM asked for @p key.
  void noteKey(const ServiceId &service, std::uint16_t key);
  /// Asks the leader at once whether the map has changed.
  void hurry();
  /// Gives leadership back and takes no more part.
  void resign();

  bool isLeader() const { return Lead.isLeading(); }
  const LeaderInfo &leader() const { return Leader; }
  const LeadershipCounters &counters() const { return Lead.counters(); }
  std::uint64_t storeCalls() const { return StoreCalls + Lead.storeCalls(); }
  std::size_t vmCount() const { return List.Vms.size(); }

  std::function<void(const ServiceId &, const RangeMap &)> OnRanges;
  std::function<void(const std::vector<VmId> &)> OnVms;

private:
  /// A VM that said hello to this leader.
  struct Peer {
    boost::asio::ip::udp::endpoint Address;
    Time HeardAt;
    Candidate Standing;
  };
  struct MessageHandler;

  void tick();
  void probe();
  void onProbe(const CallResult &result);
  void setLeader(const LeaderInfo &leader);
  void considerLeading(Time now);
  void fetchRanges();
  void sayHello(Time now);
  void listen();
  void onHello(const PeerHello &hello,
               const boost::asio::ip::udp::endpoint &sender);
  void onReply(const PeerReply &reply);
  void onRangesMessage(const PeerRangeUpdate &ranges);
  void onOwnMap(const ServiceId &service, const RangeMap &before,
                const RangeMap &after);
  void refreshPeers(Time now);
  void considerHandOver(Time now);
  void setList(VmList list);
  void noteVacancy(std::uint64_t term);
  bool isSuccessor() const;
  void sendTo(const boost::asio::ip::udp::endpoint &address,
              const PeerMessage &message);
  void send(const PeerMessage &message);

  CallClient &Calls;
  StoreHealth &Health;
  Endpoint Store;
  Candidate Self;
  Endpoint PeerAddress;
  boost::asio::ip::udp::socket Udp;
  std::array<char, 65536> UdpBuffer{};
  boost::asio::ip::udp::endpoint UdpSender;
  DeadlineTimer Tick;
  Leadership Lead;
  RangeMapReplica Copy;

  LeaderInfo Leader;
  Time LeaderHeardAt; ///< last datagram of the leader
  Time VacantSince;   ///< leadership is open since then; Time() with a leader
  /// Leaders' keys up to this revision are known to be gone: cheap reads of
  /// the store may still show them.
  std::uint64_t EndedTerm = 0;
  Time ConsiderHandOverAt; ///< on the leader
  Time NextProbeAt;
  Time NextHelloAt;
  Time NextFetchAt;
  bool IsProbing = false;
  bool IsFetching = false;
  bool IsResigned = false;
  VmList List;                ///< as the leader told last
  std::map<VmId, Peer> Peers; ///< on the leader: VMs that said hello
  std::map<ServiceId, std::vector<std::uint16_t>> Keys; ///< for the next hello
  std::uint64_t StoreCalls = 0;
};

} // namespace waxwing

#endif
