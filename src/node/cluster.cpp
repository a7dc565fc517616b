/**
 * @file cluster.cpp
 * Leader key probes, leader election, and hellos to the parent.
 */
#include "node/cluster.h"

#include "core/hash_func.h"
#include "node/node_log.h"
#include "node/store_keys.h"
#include "table/change_stages.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace waxwing {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

/// Interval of leader key probes. They accept stale data, which costs a tenth
/// of a normal read, and also detect whether the store responds.
constexpr Duration LeaderKeyProbeInterval = milliseconds(1500);
/// Probe interval while the leader is unknown or silent: it may have been
/// replaced by another VM.
constexpr Duration UrgentLeaderKeyProbeInterval = milliseconds(400);
constexpr Duration ProbeTimeout = milliseconds(1200);
/// Least time between hellos that ask for lost updates.
constexpr Duration MinHelloInterval = milliseconds(50);
/// Interval of a reader's probes, by which it knows how old its state may be.
constexpr Duration ReaderProbeInterval = milliseconds(400);
/// Time without a datagram after which the leader counts as silent.
constexpr Duration LeaderSilenceTimeout = milliseconds(1300);
/// Time without a datagram after which the leader counts as lost.
constexpr Duration LeaderLossTimeout = milliseconds(2300);
/// Time without a hello (the periodic datagram of each VM to the leader) after
/// which the leader removes a VM from its list.
constexpr Duration PeerTimeout = seconds(3);
/// Range maps are read from the store at this interval while the leader is
/// silent.
constexpr Duration RangeMapFetchInterval = milliseconds(700);
/// The leader checks at this interval whether a VM with much more processor
/// time should lead.
constexpr Duration HandoverCheckInterval = seconds(5);
/// Periodic work that is this late gets a line in the log.
constexpr Duration LoggedLoopDelay = milliseconds(200);
/// Least time between two restarts of a watch, within which a slow response can
/// arrive.
constexpr Duration MinWatchRestartInterval = milliseconds(2000);
constexpr std::size_t MaxReportedKeysPerService = 1000;
/// The same for a reader, which reports the keys of several VMs.
constexpr std::size_t MaxGatheredKeysPerService = 4000;
/// A new leader assigns readers after this time, when it knows the VMs.
constexpr Duration FirstAssignmentDelay = milliseconds(700);
/// After a restoration of the store, other VMs wait for this time longer than
/// the last leader before they try to lead.
constexpr Duration LastLeaderHeadStart = milliseconds(1000);

} // namespace

Cluster::Cluster(asio::io_context &loop, const NodeSettings &settings,
                 HttpCallClient &calls, NodeStoreClient &store,
                 StoreHealth &health, PeerPort &port, UpstreamTable &upstreams,
                 CrashGuard &crashes, LimitGuard &limits,
                 std::array<StoreFeed *, FeedCount> feeds)
    : Store(store), Health(health), Port(port), Upstreams(upstreams),
      Crashes(crashes), NewsTimer(loop, [this] { sendPendingNews(); }),
      Limits(limits),
      Self{VmId(settings.Vm.text("name")), DomainId(settings.Vm.text("domain")),
           settings.Vm.decimal("processor_share")},
      PeerAddress(parseEndpoint(settings.Listen.text("peers"))),
      PeriodicWorkTimer(loop, [this] { runPeriodicWork(); }),
      FreshnessTimer(loop, [this] { followReader(bootNow()); }),
      Freshness(std::min(settings.Bounds.seconds("drain"),
                         settings.Bounds.seconds("configuration"))),
      OwnLeadership(loop, settings, calls, store, health, upstreams, RangeMaps),
      Feeds(feeds), List{{describeSelf()}, {}} {
  OwnLeadership.OnRangeMapChanged = [this](const ServiceId &service,
                                           const RangeMap &before,
                                           const RangeMap &after) {
    onRangeMapChange(service, before, after);
  };
  OwnLeadership.OnLeavingAnnounced = [this](const UpstreamProcess &process) {
    OnLeavingReported(process);
  };
  OwnLeadership.OnLeading = [this](StoreRevision term) {
    setLeader({Self.Vm, PeerAddress, term});
    const Time now = bootNow();
    Parent.clear();
    OnAssigned();
    followReader(now);
    Peers.clear();
    NextHandoverCheckAt = now + HandoverCheckInterval;
    NextPlanAt = now + FirstAssignmentDelay;
    KeepFormerListUntil = now + PeerTimeout;
  };
  OwnLeadership.OnEnded = [this] {
    PeerReply leaveNotice;
    leaveNotice.Leader = Leader;
    leaveNotice.IsLeaving = true;
    leaveNotice.List = List; // with the successors that have links
    sendToPeers(leaveNotice);
    Peers.clear();
    Plan.update({});
    if (Leader.Name == Self.Vm)
      onLeaderEnded(Leader.Term);
  };
}

absl::Status Cluster::start() {
  absl::Status status =
      Port.open(PeerAddress, [this](const std::string &bytes,
                                    const PeerPort::Address &sender) {
        onDatagram(bytes, sender);
      });
  if (!status.ok())
    return status;
  LastLeaderMessageAt = bootNow();
  runPeriodicWork();
  return absl::OkStatus();
}

void Cluster::runPeriodicWork() {
  if (IsResigned)
    return;
  const Time now = bootNow();
  recordLoopDelay(now);
  if (Parent.giveUpIfSilent(now)) {
    logLine(LogPriority::StateChange, now, "reader_silent", "term={}",
            counterOf(Leader.Term));
    NextHelloAt = now;
  }
  followReader(now);
  const bool isRelayed = Parent.hasReader() && Freshness.isFresh(now);
  // Followers rely on a watch only when the store has answered after its begin.
  const bool isUnproven =
      Parent.isReader() &&
      std::ranges::any_of(Feeds, &StoreFeed::isWatchUnproven);
  if ((now >= NextLeaderKeyProbeAt || isUnproven) && !IsReadingLeaderKey &&
      !isRelayed)
    probeLeaderKey();
  if (now >= NextHelloAt)
    sendHello(now);
  const bool isLeaderSilent = now > LastLeaderMessageAt + LeaderSilenceTimeout;
  if (!isLeader() && isLeaderSilent && Leader.Term != 0 &&
      now >= NextRangeMapFetchAt && !IsFetchingRangeMaps)
    fetchRangeMaps();
  restartSilentWatches(now);
  electIfLeaderless(now);
  if (isParent())
    dropSilentPeers(now);
  if (isLeader()) {
    refreshVmList(now);
    resignIfBetterLeader(now);
  }
  PeriodicWorkDueAt = now + WorkInterval;
  PeriodicWorkTimer.scheduleBy(PeriodicWorkDueAt);
}

/// A VM that is not scheduled in time reads its own silence as that of others.
void Cluster::recordLoopDelay(Time now) {
  if (PeriodicWorkDueAt == Time())
    return;
  const Duration delay = now - PeriodicWorkDueAt;
  LoopDelays.add(delay);
  if (delay >= LoggedLoopDelay)
    logLine(LogPriority::StateChange, now, "loop_delayed", "late_ms={}",
            toMilliseconds(delay));
}

/// Lets the reader's reports decide whether this VM reads the store itself.
void Cluster::followReader(Time now) {
  if (!Parent.hasReader())
    Freshness.clear();
  const bool isRelayed = Parent.hasReader() && Freshness.isFresh(now);
  for (StoreFeed *feed : Feeds)
    feed->setRelayed(isRelayed);
  if (isRelayed)
    FreshnessTimer.scheduleBy(Freshness.freshUntil());
}

Time Cluster::completeAt() const {
  return std::ranges::min(Feeds | std::views::transform([](auto *feed) {
                            return feed->completeAt();
                          }));
}

void Cluster::noteNewestChange(std::size_t feed, StoreRevision change,
                               Time now) {
  if (change <= NewestChanges[feed])
    return;
  NewestChanges[feed] = change;
  NewestChangesAt[feed] = now;
}

void Cluster::noteNewestChanges(const FeedRevisions &changes, Time now) {
  for (std::size_t n = 0; n < FeedCount; ++n)
    noteNewestChange(n, changes[n], now);
}

/// Continues the watches that have not returned a change which another VM has:
/// the connection of such a watch carries nothing more.
void Cluster::restartSilentWatches(Time now) {
  for (std::size_t n = 0; n < FeedCount; ++n) {
    StoreFeed &feed = *Feeds[n];
    noteNewestChange(n, feed.newestChange(), now);
    const bool isBehind =
        feed.isWatching() && feed.revision() < NewestChanges[n] &&
        epochOf(NewestChanges[n]) == Store.epoch() &&
        RestartedFor[n] < NewestChanges[n] &&
        now >= RestartedAt[n] + MinWatchRestartInterval &&
        now >= std::max(NewestChangesAt[n], feed.watchBegunAt()) +
                   WatchDeliveryTimeout;
    if (!isBehind)
      continue;
    RestartedFor[n] = NewestChanges[n];
    RestartedAt[n] = now;
    ++SilentWatches;
    logLine(LogPriority::StateChange, now, "store_watch_silent",
            "feed={} revision={} newest={} waited_ms={}", n,
            counterOf(feed.revision()), counterOf(NewestChanges[n]),
            toMilliseconds(now - feed.watchBegunAt()));
    feed.restartWatch();
  }
}

void Cluster::probeLeaderKey() {
  IsReadingLeaderKey = true;
  ++StoreCalls;
  const Time now = bootNow();
  const bool isUrgent =
      !isLeader() &&
      (Leader.Term == 0 || now > LastLeaderMessageAt + LeaderSilenceTimeout);
  NextLeaderKeyProbeAt = now + (Parent.isReader() ? ReaderProbeInterval
                                : isUrgent        ? UrgentLeaderKeyProbeInterval
                                                  : LeaderKeyProbeInterval);
  // The designated successors must notice at once that the leader is gone. The
  // other VMs use a read that costs a tenth but may return data that is seconds
  // old.
  const std::string key(LeaderKey);
  const bool mustBeFresh =
      isUrgent &&
      (isSuccessor() || now > LastLeaderMessageAt + LeaderLossTimeout);
  const platform::PlatformRequest call =
      mustBeFresh ? platform::buildListRequest(key, "")
                  : platform::buildStaleListRequest(key);
  Store.call(call, now + ProbeTimeout, [this](const HttpCallResult &result) {
    IsReadingLeaderKey = false;
    onLeaderKeyRead(result);
  });
}

void Cluster::onLeaderKeyRead(const HttpCallResult &result) {
  const Time now = bootNow();
  const auto page = platform::decodeStorePage(result.Body, Store.epoch());
  const bool hasResponse = result.Status == platform::StatusOk && page.ok();
  Health.recordCall(result, hasResponse, now);
  if (!hasResponse || isLeader())
    return;
  const auto item =
      std::ranges::find(page->Items, LeaderKey, &platform::StoreItem::Key);
  if (item == page->Items.end()) {
    EndedLeaderKeyAt = 0;
    // A stale read may be older than the known leader's key.
    if (Leader.Term == 0 || page->StoreAt >= Leader.Term)
      onLeaderEnded(Leader.Term);
    return;
  }
  if (item->Revision <= std::max(Leader.Term, LastEndedTerm))
    return; // already known, or a stale read
  const auto value = decodeLeaderKey(item->Value);
  if (!value) {
    logLine(LogPriority::Failure, now, "leader_key_unreadable", "revision={}",
            counterOf(item->Revision));
    return;
  }
  const LeaderInfo leader{value->Name, value->Address, item->Revision};
  EndedLeaderKeyAt = 0;
  if (value->Epoch.value_or(Store.epoch()) != Store.epoch()) {
    EndedLeaderKeyAt = item->Revision;
    if (Leader.Term == 0)
      onLeaderEnded(0);
  } else if (leader.Name == Self.Vm && leader.Address == PeerAddress) {
    succeedOwnProcess(leader.Term);
  } else {
    setLeader(leader);
  }
}

void Cluster::onLeaderEnded(StoreRevision term) {
  LastEndedTerm = std::max(LastEndedTerm, term);
  if (Leader.Term > LastEndedTerm)
    return;
  if (LeaderlessSince == Time())
    LeaderlessSince = bootNow();
  if (Leader.Term != 0)
    setLeader({});
}

bool Cluster::isSuccessor() const {
  return std::ranges::find(List.Successors, Self.Vm) != List.Successors.end();
}

void Cluster::beginStoreEpoch() {
  const Time now = bootNow();
  Health.noteRestored(now);
  OwnLeadership.endForRestoredStore();
  Freshness.clear();
  followReader(now);
  EndedLeaderKeyAt = 0;
  // A datagram of the new leader may have come before the store's answer.
  if (epochOf(Leader.Term) < Store.epoch())
    onLeaderEnded(Leader.Term);
  if (Leader.Term == 0)
    LeaderlessSince = now;
  NextLeaderKeyProbeAt = now;
  NextHelloAt = now;
}

void Cluster::setLeader(const LeaderInfo &leader) {
  Leader = leader;
  if (Leader.Term != 0) {
    LeaderlessSince = Time();
    LastLeader = Leader.Name;
    if (Leader.Name != Self.Vm)
      OwnLeadership.forgetFormerTerm();
  }
  LastLeaderMessageAt = bootNow();
  NextHelloAt = bootNow();
  logLine(LogPriority::StateChange, bootNow(), "leader",
          "name={} term={} epoch={}",
          Leader.Name.Value.empty() ? "-" : sanitizeForLog(Leader.Name.Value),
          counterOf(Leader.Term), epochOf(Leader.Term));
}

void Cluster::electIfLeaderless(Time now) {
  if (!OwnLeadership.isLeaderNeeded()) {
    // No leader is needed before the first configuration. The candidates'
    // delays start when that configuration arrives.
    if (LeaderlessSince != Time())
      LeaderlessSince = now;
    return;
  }
  if (isLeader() || OwnLeadership.isElecting() || IsResigned ||
      LeaderlessSince == Time() || Health.isUnavailable())
    return;
  if (now >= LeaderlessSince + electionDelay())
    OwnLeadership.tryBecomeLeader(Self.Vm, PeerAddress, EndedLeaderKeyAt);
}

/// @return how long this VM waits after the leadership became vacant before it
///   tries to lead
Duration Cluster::electionDelay() const {
  const bool isAfterRestoration = Store.epochInfo().BegunAt != Time() &&
                                  epochOf(LastEndedTerm) < Store.epoch() &&
                                  !LastLeader.Value.empty();
  if (isAfterRestoration && LastLeader == Self.Vm)
    return {};
  return candidacyDelay(Self, HasLinks, List.Successors, LastEndedTerm) +
         (isAfterRestoration ? LastLeaderHeadStart : Duration());
}

/// Takes over from an earlier process of this VM that ended while it led. That
/// process cannot act any more, so its lease need not expire first.
void Cluster::succeedOwnProcess(StoreRevision term) {
  if (isLeader() || OwnLeadership.isElecting() || IsResigned ||
      Health.isUnavailable())
    return;
  logLine(LogPriority::StateChange, bootNow(), "succeeding_own_process",
          "term={}", counterOf(term));
  OwnLeadership.tryBecomeLeader(Self.Vm, PeerAddress, term);
}

/// @return true if another VM, heard of recently, has links to the upstreams
bool Cluster::isOtherVmLinked(Time now) const {
  return std::ranges::any_of(Peers, [&](const auto &entry) {
    const Peer &peer = entry.second;
    return now < peer.LastMessageAt + ReaderSuspicionTimeout &&
           (peer.HasLinks ||
            (peer.Report &&
             std::ranges::any_of(peer.Report->Followers, &VmInfo::HasLinks)));
  });
}

/// Resigns if this VM has lost its links and another one has them, or if a VM
/// with much more processor time is available.
void Cluster::resignIfBetterLeader(Time now) {
  if (Health.isUnavailable())
    return;
  if (!HasLinks) {
    if (isOtherVmLinked(now))
      OwnLeadership.resign("no_links");
    return;
  }
  if (now < NextHandoverCheckAt)
    return;
  NextHandoverCheckAt = now + HandoverCheckInterval;
  std::vector<Candidate> others;
  for (const auto &[vm, peer] : Peers)
    if (peer.HasLinks)
      others.push_back(peer.CandidateInfo);
  if (shouldYieldLeadership(Self, others))
    OwnLeadership.resign("stronger_vm");
}

void Cluster::fetchRangeMaps() {
  IsFetchingRangeMaps = true;
  ++StoreCalls;
  NextRangeMapFetchAt = bootNow() + RangeMapFetchInterval;
  Store.call(platform::buildStaleListRequest(std::string(RangePrefix)),
             bootNow() + ProbeTimeout, [this](const HttpCallResult &result) {
               IsFetchingRangeMaps = false;
               const auto page =
                   platform::decodeStorePage(result.Body, Store.epoch());
               if (result.Status != platform::StatusOk || !page.ok())
                 return; // the probes detect an unavailable store
               for (const platform::StoreItem &item : page->Items) {
                 const ServiceId service(item.Key.substr(RangePrefix.size()));
                 auto map =
                     decodeRangeMap(item.Value, item.Revision, Store.epoch());
                 if (!map.ok())
                   continue; // the leader reports and replaces it
                 // A restored map is as old as its own epoch.
                 map->Revision =
                     makeStoreRevision(map->Epoch, counterOf(map->Revision));
                 if (RangeMaps.applyRangeMap(service, *map))
                   OnRangeMapUpdate(service, *RangeMaps.find(service));
               }
             });
}

void Cluster::sendHello(Time now) {
  NextHelloAt = now + (Parent.isReader() ? ReaderHelloInterval : HelloInterval);
  EarliestExtraHelloAt = now + MinHelloInterval;
  const Endpoint &parent =
      Parent.hasReader() ? Parent.current().Address : Leader.Address;
  if (isLeader() || parent.Port == 0)
    return;
  PeerHello hello;
  hello.Sender = Self;
  hello.HasLinks = HasLinks;
  hello.ListHash = hashVmList(List);
  hello.MapRevisions = RangeMaps.revisions();
  hello.Keys = std::exchange(Keys, {});
  std::ranges::transform(
      Feeds, hello.StoreRevisions.begin(),
      [](const StoreFeed *feed) { return feed->revision(); });
  hello.Leaving = Upstreams.newestLeaving(MaxReportedLeaving);
  hello.CrashDigest = Crashes.digest(now);
  hello.Limits = Upstreams.limits().newest(MaxReportedLimits, now);
  hello.NewestChanges = NewestChanges;
  hello.SentAtUs = now.time_since_epoch().count();
  hello.StoreService = describeStoreService(now);
  if (Parent.isReader()) {
    hello.Report.emplace();
    hello.Report->StoreAge = now - completeAt();
    for (const auto &[vm, peer] : Peers)
      hello.Report->Followers.push_back(describe(peer));
  }
  sendTo(toUdp(parent), hello);
}

/// The others tell whether the store was away, or only this VM's link to it.
void Cluster::onStoreRegained() {
  const Time now = bootNow();
  if (now >= EarliestExtraHelloAt)
    sendHello(now);
}

void Cluster::requestRangeMapUpdate() {
  if (!isLeader())
    sendHello(bootNow());
}

void Cluster::reportKeyRequest(const ServiceId &service, std::uint16_t key) {
  if (isLeader()) {
    OwnLeadership.recordKeyRequest(service, key);
    return;
  }
  auto &keys = Keys[service];
  if (keys.size() < (Parent.isReader() ? MaxGatheredKeysPerService
                                       : MaxReportedKeysPerService))
    keys.push_back(key);
}

udp::endpoint Cluster::toUdp(const Endpoint &address) {
  error_code ec;
  const auto ip = asio::ip::make_address(address.Address, ec);
  return ec ? udp::endpoint() : udp::endpoint(ip, address.Port);
}

void Cluster::onRangeMapChange(const ServiceId &service, const RangeMap &before,
                               const RangeMap &after) {
  if (!RangeMaps.applyRangeMap(service, after))
    return;
  for (const PeerRangeUpdate &part :
       RangeMapReplica::buildRangeUpdates(service, &before, after))
    sendToPeers(part);
  OnRangeMapUpdate(service, after);
}

void Cluster::dropSilentPeers(Time now) {
  std::erase_if(Peers, [&](const auto &entry) {
    return now > entry.second.LastMessageAt + PeerTimeout;
  });
}

void Cluster::onRoutingStateChanged(const RouteTable &config) {
  OwnLeadership.onRoutingStateChanged(config);
}

void Cluster::onUpstreamLeaving() {
  OwnLeadership.onUpstreamsChanged();
  NextHelloAt = bootNow();
}

void Cluster::resign() {
  IsResigned = true;
  OwnLeadership.resign("shutdown");
  PeriodicWorkTimer.cancel();
}

} // namespace waxwing
