/**
 * @file cluster.cpp
 * Leader key probes, leader election, and datagrams between VMs.
 */
#include "node/cluster.h"

#include "core/hash_func.h"
#include "node/node_log.h"
#include "node/store_keys.h"

#include <algorithm>
#include <iterator>

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
constexpr Duration HelloInterval = milliseconds(400);
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
constexpr Duration WorkInterval = milliseconds(100);
constexpr std::size_t MaxReportedKeysPerService = 1000;

} // namespace

/// Visitor that dispatches a received datagram by its type.
struct Cluster::MessageHandler {
  Cluster &Parent;
  udp::endpoint Sender;

  void operator()(const PeerHello &hello) const {
    Parent.onHello(hello, Sender);
  }
  void operator()(const PeerReply &reply) const { Parent.onReply(reply); }
  void operator()(const PeerRangeUpdate &ranges) const {
    Parent.onRangeUpdate(ranges);
  }
};

Cluster::Cluster(asio::io_context &loop, const NodeSettings &settings,
                 HttpCallClient &calls, StoreHealth &health,
                 UpstreamTable &upstreams)
    : Calls(calls), Health(health),
      Store(parseEndpoint(settings.Store.text("address"))),
      Self{VmId(settings.Vm.text("name")), DomainId(settings.Vm.text("domain")),
           settings.Vm.decimal("processor_share")},
      PeerAddress(parseEndpoint(settings.Listen.text("peers"))),
      UdpSocket(loop), PeriodicWorkTimer(loop, [this] { runPeriodicWork(); }),
      OwnLeadership(loop, settings, calls, health, upstreams),
      List{{Self.Vm}, {}} {
  OwnLeadership.OnRangeMapChanged = [this](const ServiceId &service,
                                           const RangeMap &before,
                                           const RangeMap &after) {
    onRangeMapChange(service, before, after);
  };
  OwnLeadership.OnLeading = [this](std::uint64_t term) {
    setLeader({Self.Vm, PeerAddress, term});
    NextHandoverCheckAt = bootNow() + HandoverCheckInterval;
  };
  OwnLeadership.OnEnded = [this] {
    const PeerReply leaveNotice{Leader.Term, {}, true};
    for (const auto &[vm, peer] : Peers)
      sendTo(peer.Address, leaveNotice);
    Peers.clear();
    if (Leader.Name == Self.Vm)
      onLeaderEnded(Leader.Term);
  };
}

absl::Status Cluster::start() {
  error_code ec;
  const auto ip = asio::ip::make_address(PeerAddress.Address, ec);
  if (!ec)
    UdpSocket.open(udp::v4(), ec);
  if (!ec)
    UdpSocket.bind({ip, PeerAddress.Port}, ec);
  if (!ec)
    UdpSocket.non_blocking(true, ec);
  if (ec)
    return absl::UnavailableError(
        fmt::format("cannot receive datagrams on {}: {}",
                    formatEndpoint(PeerAddress), ec.message()));
  listen();
  runPeriodicWork();
  return absl::OkStatus();
}

void Cluster::runPeriodicWork() {
  if (IsResigned)
    return;
  const Time now = bootNow();
  if (now >= NextLeaderKeyProbeAt && !IsReadingLeaderKey)
    probeLeaderKey();
  if (now >= NextHelloAt)
    sendHello(now);
  const bool isLeaderSilent = now > LastLeaderMessageAt + LeaderSilenceTimeout;
  if (!isLeader() && isLeaderSilent && Leader.Term != 0 &&
      now >= NextRangeMapFetchAt && !IsFetchingRangeMaps)
    fetchRangeMaps();
  electIfLeaderless(now);
  if (isLeader()) {
    refreshVmList(now);
    resignIfBetterLeader(now);
  }
  PeriodicWorkTimer.scheduleBy(now + WorkInterval);
}

void Cluster::probeLeaderKey() {
  IsReadingLeaderKey = true;
  ++StoreCalls;
  const Time now = bootNow();
  const bool isUrgent =
      !isLeader() &&
      (Leader.Term == 0 || now > LastLeaderMessageAt + LeaderSilenceTimeout);
  NextLeaderKeyProbeAt =
      now + (isUrgent ? UrgentLeaderKeyProbeInterval : LeaderKeyProbeInterval);
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
  Calls.call(Store, call, "", now + ProbeTimeout,
             [this](const HttpCallResult &result) {
               IsReadingLeaderKey = false;
               onLeaderKeyRead(result);
             });
}

void Cluster::onLeaderKeyRead(const HttpCallResult &result) {
  const Time now = bootNow();
  const auto page = platform::decodeStorePage(result.Body);
  const bool hasResponse = result.Status == platform::StatusOk && page.ok();
  Health.recordCall(hasResponse, result.Error, now);
  if (!hasResponse || isLeader())
    return;
  const auto item =
      std::ranges::find(page->Items, LeaderKey, &platform::StoreItem::Key);
  if (item == page->Items.end()) {
    // A stale read may be older than the known leader's key.
    if (Leader.Term == 0 || page->StoreRevision >= Leader.Term)
      onLeaderEnded(Leader.Term);
    return;
  }
  if (item->Revision <= std::max(Leader.Term, LastEndedTerm))
    return; // already known, or a stale read
  const auto end = item->Value.find('\n');
  const LeaderInfo leader{VmId(item->Value.substr(0, end)),
                          parseEndpoint(end == std::string::npos
                                            ? ""
                                            : item->Value.substr(end + 1)),
                          item->Revision};
  if (leader.Name == Self.Vm && leader.Address == PeerAddress)
    succeedOwnProcess(leader.Term);
  else
    setLeader(leader);
}

void Cluster::onLeaderEnded(std::uint64_t term) {
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

void Cluster::setLeader(const LeaderInfo &leader) {
  Leader = leader;
  if (Leader.Term != 0)
    LeaderlessSince = Time();
  LastLeaderMessageAt = bootNow();
  NextHelloAt = bootNow();
  logLine(LogPriority::StateChange, bootNow(), "leader", "name={} term={}",
          Leader.Name.Value.empty() ? "-" : sanitizeForLog(Leader.Name.Value),
          Leader.Term);
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
  if (now >=
      LeaderlessSince + candidacyDelay(Self, List.Successors, LastEndedTerm))
    OwnLeadership.tryBecomeLeader(Self.Vm, PeerAddress, 0);
}

/// Takes over from an earlier process of this VM that ended while it led. That
/// process cannot act any more, so its lease need not expire first.
void Cluster::succeedOwnProcess(std::uint64_t term) {
  if (isLeader() || OwnLeadership.isElecting() || IsResigned ||
      Health.isUnavailable())
    return;
  logLine(LogPriority::StateChange, bootNow(), "succeeding_own_process",
          "term={}", term);
  OwnLeadership.tryBecomeLeader(Self.Vm, PeerAddress, term);
}

/// Resigns if a VM with much more processor time is available.
void Cluster::resignIfBetterLeader(Time now) {
  if (now < NextHandoverCheckAt || Health.isUnavailable())
    return;
  NextHandoverCheckAt = now + HandoverCheckInterval;
  std::vector<Candidate> others;
  std::ranges::transform(
      Peers, std::back_inserter(others),
      [](const auto &entry) { return entry.second.CandidateInfo; });
  if (shouldYieldLeadership(Self, others))
    OwnLeadership.resign("stronger_vm");
}

void Cluster::fetchRangeMaps() {
  IsFetchingRangeMaps = true;
  ++StoreCalls;
  NextRangeMapFetchAt = bootNow() + RangeMapFetchInterval;
  Calls.call(Store, platform::buildStaleListRequest(std::string(RangePrefix)),
             "", bootNow() + ProbeTimeout,
             [this](const HttpCallResult &result) {
               IsFetchingRangeMaps = false;
               const auto page = platform::decodeStorePage(result.Body);
               if (result.Status != platform::StatusOk || !page.ok())
                 return; // the probes detect an unavailable store
               for (const platform::StoreItem &item : page->Items) {
                 const ServiceId service(item.Key.substr(RangePrefix.size()));
                 const auto map = decodeRangeMap(item.Value, item.Revision);
                 if (map.ok() && RangeMaps.applyRangeMap(service, *map))
                   OnRangeMapUpdate(service, *RangeMaps.find(service));
               }
             });
}

void Cluster::sendHello(Time now) {
  NextHelloAt = now + HelloInterval;
  if (isLeader() || Leader.Address.Port == 0)
    return;
  PeerHello hello;
  hello.Sender = Self;
  hello.ListHash = hashVmList(List);
  hello.MapRevisions = RangeMaps.revisions();
  hello.Keys = std::exchange(Keys, {});
  send(hello);
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
  if (keys.size() < MaxReportedKeysPerService)
    keys.push_back(key);
}

void Cluster::send(const PeerMessage &message) {
  error_code ec;
  const auto ip = asio::ip::make_address(Leader.Address.Address, ec);
  if (!ec)
    sendTo({ip, Leader.Address.Port}, message);
}

void Cluster::sendTo(const udp::endpoint &address, const PeerMessage &message) {
  error_code ec;
  UdpSocket.send_to(asio::buffer(encodePeerMessage(message)), address, 0, ec);
  if (ec)
    logLine(LogPriority::Routine, bootNow(), "datagram_not_sent", "error={}",
            sanitizeForLog(ec.message())); // hellos are repeated
}

void Cluster::listen() {
  UdpSocket.async_receive_from(
      asio::buffer(UdpBuffer), UdpSender,
      [this](const error_code &ec, std::size_t size) {
        if (ec == asio::error::operation_aborted)
          return;
        if (!ec) {
          const auto message =
              decodePeerMessage(std::string(UdpBuffer.data(), size));
          if (message.ok())
            std::visit(MessageHandler{*this, UdpSender}, *message);
          else
            logLine(LogPriority::Failure, bootNow(), "datagram_unreadable",
                    "why={}",
                    sanitizeForLog(std::string(message.status().message())));
        }
        listen();
      });
}

void Cluster::onHello(const PeerHello &hello, const udp::endpoint &sender) {
  if (!isLeader())
    return;
  const Time now = bootNow();
  Peers[hello.Sender.Vm] = {sender, now, hello.Sender};
  for (const auto &[service, keys] : hello.Keys)
    for (const std::uint16_t key : keys)
      OwnLeadership.recordKeyRequest(service, key);
  PeerReply reply{Leader.Term, {}, false};
  if (hello.ListHash != hashVmList(List))
    reply.List = List;
  sendTo(sender, reply);
  for (const auto &[service, revision] : RangeMaps.revisions()) {
    const auto known = hello.MapRevisions.find(service);
    if (revision != 0 &&
        (known == hello.MapRevisions.end() || known->second < revision))
      for (const PeerRangeUpdate &part : RangeMapReplica::buildRangeUpdates(
               service, nullptr, *RangeMaps.find(service)))
        sendTo(sender, part);
  }
}

void Cluster::onReply(const PeerReply &reply) {
  if (isLeader() || reply.Term < Leader.Term)
    return;
  LastLeaderMessageAt = bootNow();
  if (reply.List)
    setVmList(*reply.List);
  if (reply.IsLeaving)
    onLeaderEnded(reply.Term);
}

void Cluster::onRangeUpdate(const PeerRangeUpdate &ranges) {
  if (isLeader())
    return;
  if (RangeMaps.applyRangeMap(ranges)) {
    logLine(LogPriority::Routine, bootNow(), "ranges",
            "service={} revision={} base={} rows={}", ranges.Service.Value,
            ranges.Revision, ranges.Base, ranges.Rows.size());
    OnRangeMapUpdate(ranges.Service, *RangeMaps.find(ranges.Service));
  } else if (const RangeMap *map = RangeMaps.find(ranges.Service);
             ranges.Base != 0 &&
             (map == nullptr || map->Revision < ranges.Base)) {
    sendHello(bootNow()); // an earlier update was lost; request it again
  }
}

void Cluster::onRangeMapChange(const ServiceId &service, const RangeMap &before,
                               const RangeMap &after) {
  if (!RangeMaps.applyRangeMap(service, after))
    return;
  for (const PeerRangeUpdate &part :
       RangeMapReplica::buildRangeUpdates(service, &before, after))
    for (const auto &[vm, peer] : Peers)
      sendTo(peer.Address, part);
  OnRangeMapUpdate(service, after);
}

/// Rebuilds the leader's VM list: itself and the VMs that sent a hello
/// recently.
void Cluster::refreshVmList(Time now) {
  std::erase_if(Peers, [&](const auto &entry) {
    return now > entry.second.LastMessageAt + PeerTimeout;
  });
  VmList list{{Self.Vm}, {}};
  std::vector<Candidate> candidates;
  for (const auto &[vm, peer] : Peers) {
    list.Vms.push_back(vm);
    candidates.push_back(peer.CandidateInfo);
  }
  std::ranges::sort(list.Vms);
  list.Successors =
      chooseSuccessors(std::move(candidates), Self.Vm, Leader.Term);
  if (list != List)
    setVmList(std::move(list));
}

void Cluster::setVmList(VmList list) {
  const bool isSameVms = list.Vms == List.Vms;
  List = std::move(list);
  logLine(LogPriority::StateChange, bootNow(), "vms",
          "count={} term={} next_leader={}", List.Vms.size(), Leader.Term,
          List.Successors.empty()
              ? "-"
              : sanitizeForLog(List.Successors.front().Value));
  if (!isSameVms)
    OnVmListChanged(List.Vms);
}

void Cluster::onRoutingStateChanged(const RouteTable &config) {
  OwnLeadership.onRoutingStateChanged(config);
}

void Cluster::resign() {
  IsResigned = true;
  OwnLeadership.resign("shutdown");
  PeriodicWorkTimer.cancel();
}

} // namespace waxwing
