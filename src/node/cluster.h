/**
 * @file cluster.h
 * Cooperation with the other VMs: finds or becomes the leader, reports
 * requested keys to it, keeps a replica of the range maps, and reads the store
 * for others or has it read by them.
 */
#ifndef WAXWING_NODE_CLUSTER_H
#define WAXWING_NODE_CLUSTER_H

#include "core/random_func.h"
#include "distribution/feed_freshness.h"
#include "distribution/parent_choice.h"
#include "distribution/reader_plan.h"
#include "metrics/latency_stats.h"
#include "node/crash_guard.h"
#include "node/leadership.h"
#include "node/limit_guard.h"
#include "node/node_clock.h"
#include "node/peer_port.h"
#include "node/store_feed.h"
#include "node/store_health.h"
#include "peers/range_map_replica_base.h"
#include "routing/route_table.h"
#include "routing/upstream_table.h"
#include "settings/node_settings_base.h"

#include <absl/status/status.h>
#include <array>

namespace waxwing {

/// Leader election and exchange of range maps between the VMs.
class Cluster {
public:
  /// @param feeds the feeds of this VM, indexed by FeedId
  Cluster(boost::asio::io_context &loop, const NodeSettings &settings,
          HttpCallClient &calls, NodeStoreClient &store, StoreHealth &health,
          PeerPort &port, UpstreamTable &upstreams, CrashGuard &crashes,
          LimitGuard &limits, std::array<StoreFeed *, FeedCount> feeds);

  /// Opens the port for datagrams and starts to look for the leader.
  /// @return Unavailable if the address cannot be bound
  absl::Status start();
  /// Called when services, upstreams or evacuations (failure domains that an
  /// operator has taken out) have changed.
  void onRoutingStateChanged(const RouteTable &config);
  /// Called when an upstream of the table is found to leave. Its keys are moved
  /// soon.
  void onUpstreamLeaving();
  /// Reports that this VM received a request for @p key.
  void reportKeyRequest(const ServiceId &service, std::uint16_t key);
  /// Asks the leader immediately for range map changes.
  void requestRangeMapUpdate();
  /// Called with changes that this VM read from the store.
  void onStoreBatch(FeedId feed, const ChangeBatch &batch);
  /// Called when the store was restored from an older copy. Leaderships of the
  /// earlier epoch have ended, and a reader is not relied on until it has read
  /// the restored store.
  void beginStoreEpoch();
  /// Called when the store serves this VM again.
  void onStoreRegained();
  /// Ends this VM's leadership, if any, and its participation in elections.
  void resign();
  /// Passes on what this VM has learned about crashes. Needs neither a leader
  /// nor the store.
  void spread(const CrashNews &news);
  /// Asks the VM @p vm, if it is known.
  void askForPermit(const VmId &vm, const PeerPermitAsk &ask);
  /// Called when the limit of an upstream has changed.
  void onLimitsChanged();
  /// Reports to the other VMs whether this one reaches upstreams.
  void setLinksWorking(bool isWorking);

  bool isLeader() const { return OwnLeadership.isLeading(); }
  const LeaderInfo &leader() const { return Leader; }
  const LeadershipCounters &counters() const {
    return OwnLeadership.counters();
  }
  std::uint64_t storeCalls() const {
    return StoreCalls + OwnLeadership.storeCalls();
  }
  /// @return number of watches given up since other VMs knew newer changes
  std::uint64_t silentWatchCount() const { return SilentWatches; }
  /// @return how late the periodic work of this VM ran
  LatencySummary loopDelay() const { return LoopDelays.summary(); }
  /// @return number of datagrams from VMs that may not send them
  std::uint64_t unexpectedDatagramCount() const { return UnexpectedDatagrams; }
  std::size_t vmCount() const { return List.Vms.size(); }
  /// @return true if this VM reads the store for others
  bool isReader() const { return Parent.isReader(); }

  /// Called with the new range map of a service.
  std::function<void(const ServiceId &, const RangeMap &)> OnRangeMapUpdate;
  /// Called when another VM, or the response to an order, reported that an
  /// upstream process leaves.
  std::function<void(const UpstreamProcess &)> OnLeavingReported;
  /// Called when isReader() may have changed.
  std::function<void()> OnAssigned;
  /// Called when the list of VMs has changed.
  std::function<void(const std::vector<VmInfo> &)> OnVmListChanged;

private:
  /// A VM that sent a hello (a periodic datagram) to this VM, which is the
  /// leader or a reader.
  struct Peer {
    boost::asio::ip::udp::endpoint Address;
    Time LastMessageAt;
    Candidate CandidateInfo;
    bool HasLinks = true;               ///< as in VmInfo
    std::optional<ReaderReport> Report; ///< of a reader to the leader
  };
  struct MessageHandler;

  /// Interval at which the leader renews the list of VMs and the readers.
  static constexpr Duration PlanInterval = milliseconds(300);
  /// A VM without a message for this time becomes neither reader nor leader.
  static constexpr Duration ReaderSuspicionTimeout = milliseconds(1500);

  void runPeriodicWork();
  void recordLoopDelay(Time now);
  void probeLeaderKey();
  void onLeaderKeyRead(const HttpCallResult &result);
  void setLeader(const LeaderInfo &leader);
  void electIfLeaderless(Time now);
  Duration electionDelay() const;
  void succeedOwnProcess(StoreRevision term);
  void fetchRangeMaps();
  void sendHello(Time now);
  void onDatagram(const std::string &bytes, const PeerPort::Address &sender);
  void onHello(const PeerHello &hello,
               const boost::asio::ip::udp::endpoint &sender);
  void onReply(const PeerReply &reply,
               const boost::asio::ip::udp::endpoint &sender);
  void onRangeUpdate(const PeerRangeUpdate &ranges);
  void onStoreUpdate(const PeerStoreUpdate &update);
  void onStoreReport(const StoreReport &report, Time sentAt, Time now);
  /// @return time up to which the state of all feeds is complete
  Time completeAt() const;
  void noteNewestChange(std::size_t feed, StoreRevision change, Time now);
  void noteNewestChanges(const FeedRevisions &changes, Time now);
  void restartSilentWatches(Time now);
  void onCrashNews(const PeerCrashNews &message,
                   const boost::asio::ip::udp::endpoint &sender);
  void noteUnexpected(const boost::asio::ip::udp::endpoint &sender);
  bool isKnownVm(const boost::asio::ip::udp::endpoint &sender) const;
  void sendPendingNews();
  void onAssignment(const ReaderAssignment &assignment, Time now);
  /// @return true if VMs report to this one
  bool isParent() const { return isLeader() || Parent.isReader(); }
  bool isFromReader(const boost::asio::ip::udp::endpoint &sender) const;
  void followReader(Time now);
  ReaderAssignment assignmentFor(const Candidate &vm) const;
  PeerReply makeReply(Time now) const;
  std::optional<StoreServiceReport> describeStoreService(Time now) const;
  void onStoreService(const std::optional<StoreServiceReport> &service,
                      Time sentAt, Time now);
  void planReaders(const std::map<VmId, ReaderCandidate> &vms);
  void sendMissingChanges(const FeedRevisions &known,
                          const boost::asio::ip::udp::endpoint &address);
  void sendToPeers(const PeerMessage &message);
  static boost::asio::ip::udp::endpoint toUdp(const Endpoint &address);
  void onRangeMapChange(const ServiceId &service, const RangeMap &before,
                        const RangeMap &after);
  void dropSilentPeers(Time now);
  void refreshVmList(Time now);
  VmInfo describe(const Peer &peer) const;
  VmInfo describeSelf() const;
  void resignIfBetterLeader(Time now);
  bool isOtherVmLinked(Time now) const;
  void setVmList(VmList list);
  void onLeaderEnded(StoreRevision term);
  bool isSuccessor() const;
  void sendTo(const boost::asio::ip::udp::endpoint &address,
              const PeerMessage &message);

  NodeStoreClient &Store;
  StoreHealth &Health;
  PeerPort &Port;
  UpstreamTable &Upstreams;
  CrashGuard &Crashes;
  CrashNews PendingNews; ///< not sent yet
  DeadlineTimer NewsTimer;
  LimitGuard &Limits;
  std::mt19937_64 Random{randomNumber()};
  Candidate Self;
  Endpoint PeerAddress;
  DeadlineTimer PeriodicWorkTimer;
  DeadlineTimer
      FreshnessTimer;     ///< due when the reader's last report is too old
  Time PeriodicWorkDueAt; ///< Time() before the first one
  LatencyStats LoopDelays;
  std::uint64_t UnexpectedDatagrams = 0;
  Time NextUnexpectedLogAt; ///< no line on unexpected datagrams before
  RangeMapReplica RangeMaps;
  FeedFreshness Freshness; ///< of the feeds, while this VM has a reader
  Leadership OwnLeadership;

  std::array<StoreFeed *, FeedCount> Feeds;
  ParentChoice Parent;
  /// Revisions of the newest changes that any VM is known to have, by feed.
  FeedRevisions NewestChanges{};
  /// When this VM learned of them.
  std::array<Time, FeedCount> NewestChangesAt{};
  /// Changes for which a watch was restarted; one restart each is enough, as
  /// the next watch begins on a connection that works.
  FeedRevisions RestartedFor{};
  std::array<Time, FeedCount> RestartedAt{}; ///< the last restart of each watch
  std::uint64_t SilentWatches = 0;
  std::array<ChangeHistory, FeedCount> Histories; ///< used on readers only
  ReaderPlan Plan;                                ///< used on the leader only
  Time NextPlanAt;                                ///< used on the leader only
  /// Until then, a new leader's list includes the VMs of its predecessor.
  Time KeepFormerListUntil;

  LeaderInfo Leader;
  /// Time of the leader's last reply, or when the leader became known.
  Time LastLeaderMessageAt;
  Time LeaderlessSince; ///< no leader since then; Time() if there is one
  /// Leader keys up to this revision are known to be deleted; stale reads of
  /// the store may still return them.
  StoreRevision LastEndedTerm = 0;
  /// Revision of a leader key that a leader of an earlier epoch has written; 0
  /// if there is none. The next leader replaces the key.
  StoreRevision EndedLeaderKeyAt = 0;
  /// The last leader that this VM knew; empty if none. After a restoration of
  /// the store it goes first, since it knows the owners of all keys.
  VmId LastLeader;
  Time NextHandoverCheckAt; ///< used on the leader only
  Time NextLeaderKeyProbeAt;
  Time NextHelloAt;
  Time EarliestExtraHelloAt; ///< hellos for lost updates wait until then
  Time NextRangeMapFetchAt;
  bool IsReadingLeaderKey = false;  ///< a read of the leader key is in progress
  bool IsFetchingRangeMaps = false; ///< a read of the range maps is in progress
  bool HasLinks = true;             ///< this VM reaches upstreams
  bool IsResigned = false;    ///< resign() was called; no further elections
  VmList List;                ///< VMs and successors as last sent by the leader
  std::map<VmId, Peer> Peers; ///< used on the leader and on readers only
  /// Keys that callers requested from this VM since its last hello, by service;
  /// reported to the leader in the next hello.
  std::map<ServiceId, std::vector<std::uint16_t>> Keys;
  std::uint64_t StoreCalls = 0;
};

} // namespace waxwing

#endif
