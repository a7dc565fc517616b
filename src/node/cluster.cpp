/**
 * @file cluster.cpp
 * Probes of the leader's key, election, and datagrams between VMs.
 */
#include "node/cluster.h"

#include "core/hash_func.h"
#include "node/node_log.h"
#include "node/store_keys.h"

#include <algorithm>

namespace waxwing {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

/// Probes of the leader's key may be stale, so they cost a tenth of a read;
/// they also show whether the store answers.
constexpr Duration ProbeEvery = milliseconds(1500);
/// While the leader is silent, it may have been replaced.
constexpr Duration ProbeWithoutLeader = milliseconds(400);
constexpr Duration ProbeTimeout = milliseconds(1200);
constexpr Duration HelloEvery = milliseconds(400);
/// The leader is taken as silent after this long without a datagram.
constexpr Duration SilentLeader = milliseconds(1300);
/// A VM that said no hello for this long is not counted.
constexpr Duration SilentPeer = seconds(3);
/// Maps are read from the store this often while the leader is silent.
constexpr Duration FetchEvery = milliseconds(700);
/// Candidates for leadership try one after the other in an order by hash.
constexpr Duration CandidateGap = milliseconds(40);
constexpr int MaxCandidateGaps = 25;
constexpr Duration TickEvery = milliseconds(100);
constexpr std::size_t MaxReportedKeys = 1000;

/// Delay of a VM with one core before it tries to lead, us; less processor
/// time means a longer delay, down to the least share.
constexpr double DelayOfOneCoreUs = 50'000;
constexpr double LeastShare = 0.1;

/// VMs with little processor time let others lead.
Duration candidateDelay(double processorShare) {
  return Duration(static_cast<Duration::rep>(
      DelayOfOneCoreUs / std::max(processorShare, LeastShare)));
}

} // namespace

/// Sends each kind of datagram to its handler.
struct Cluster::MessageHandler {
  Cluster &Owner;
  udp::endpoint Sender;

  void operator()(const PeerHello &hello) const {
    Owner.onHello(hello, Sender);
  }
  void operator()(const PeerReply &reply) const { Owner.onReply(reply); }
  void operator()(const PeerRanges &ranges) const {
    Owner.onRangesMessage(ranges);
  }
};

Cluster::Cluster(asio::io_context &loop, const NodeSettings &settings,
                 CallClient &calls, StoreHealth &health,
                 UpstreamTable &upstreams)
    : Calls(calls), Health(health),
      Store(parseEndpoint(settings.Store.text("address"))),
      Self(settings.Vm.text("name")),
      PeerAddress(parseEndpoint(settings.Listen.text("peers"))),
      CandidateDelay(candidateDelay(settings.Vm.decimal("processor_share"))),
      Udp(loop), Tick(loop, [this] { tick(); }),
      Lead(loop, settings, calls, health, upstreams), Vms{Self} {
  Lead.OnMap = [this](const ServiceId &service, const RangeMap &before,
                      const RangeMap &after) {
    onOwnMap(service, before, after);
  };
  Lead.OnLeading = [this](std::uint64_t term) {
    setLeader({Self, PeerAddress, term});
  };
  Lead.OnEnded = [this] {
    if (Leader.Name == Self)
      setLeader({});
    Peers.clear();
  };
}

absl::Status Cluster::start() {
  error_code ec;
  const auto ip = asio::ip::make_address(PeerAddress.Address, ec);
  if (!ec)
    Udp.open(udp::v4(), ec);
  if (!ec)
    Udp.bind({ip, PeerAddress.Port}, ec);
  if (!ec)
    Udp.non_blocking(true, ec);
  if (ec)
    return absl::UnavailableError(
        fmt::format("cannot receive datagrams on {}: {}",
                    formatEndpoint(PeerAddress), ec.message()));
  listen();
  tick();
  return absl::OkStatus();
}

void Cluster::tick() {
  if (IsResigned)
    return;
  const Time now = bootNow();
  if (now >= NextProbeAt && !IsProbing)
    probe();
  if (now >= NextHelloAt)
    sayHello(now);
  const bool isLeaderSilent = now > LeaderHeardAt + SilentLeader;
  if (!isLeader() && isLeaderSilent && Leader.Term != 0 && now >= NextFetchAt &&
      !IsFetching)
    fetchRanges();
  considerLeading(now);
  if (isLeader())
    refreshPeers(now);
  Tick.setBy(now + TickEvery);
}

void Cluster::probe() {
  IsProbing = true;
  ++StoreCalls;
  const Time now = bootNow();
  const bool isUrgent =
      !isLeader() && (Leader.Term == 0 || now > LeaderHeardAt + SilentLeader);
  NextProbeAt = now + (isUrgent ? ProbeWithoutLeader : ProbeEvery);
  Calls.call(Store, platform::staleRangeCall(std::string(LeaderKey)), "",
             now + ProbeTimeout, [this](const CallResult &result) {
               IsProbing = false;
               onProbe(result);
             });
}

void Cluster::onProbe(const CallResult &result) {
  const Time now = bootNow();
  const auto page = platform::decodePage(result.Body);
  const bool isAnswered = result.Status == platform::StatusOk && page.ok();
  Health.note(isAnswered, result.Error, now);
  if (!isAnswered || isLeader())
    return;
  const auto item =
      std::ranges::find(page->Items, LeaderKey, &platform::StoreItem::Key);
  if (item == page->Items.end()) {
    if (NoLeaderSince == Time())
      NoLeaderSince = now;
    if (Leader.Term != 0)
      setLeader({});
    return;
  }
  NoLeaderSince = Time();
  if (item->Revision <= Leader.Term)
    return; // known, or an older answer
  const auto end = item->Value.find('\n');
  setLeader({VmId(item->Value.substr(0, end)),
             parseEndpoint(
                 end == std::string::npos ? "" : item->Value.substr(end + 1)),
             item->Revision});
}

void Cluster::setLeader(const LeaderInfo &leader) {
  Leader = leader;
  LeaderHeardAt = bootNow();
  NextHelloAt = bootNow();
  logLine(LineWeight::State, bootNow(), "leader", "name={} term={}",
          Leader.Name.Value.empty() ? "-" : logSafe(Leader.Name.Value),
          Leader.Term);
}

/// VMs try in an order that differs with each vacancy, so that the first one
/// usually succeeds before the others have asked.
void Cluster::considerLeading(Time now) {
  if (isLeader() || Lead.isElecting() || IsResigned ||
      NoLeaderSince == Time() || Health.isTroubled() || !Lead.isWanted())
    return;
  const std::uint64_t own = hashText(Self.Value, Leader.Term);
  const auto before = std::min<std::ptrdiff_t>(
      std::ranges::count_if(Vms,
                            [&](const VmId &vm) {
                              return hashText(vm.Value, Leader.Term) < own;
                            }),
      MaxCandidateGaps);
  const Duration spread =
      Vms.size() > 1 ? CandidateGap * before
                     : milliseconds(own % 300); // nothing is known at a start
  if (now >= NoLeaderSince + CandidateDelay + spread)
    Lead.tryLead(Self, PeerAddress);
}

void Cluster::fetchRanges() {
  IsFetching = true;
  ++StoreCalls;
  NextFetchAt = bootNow() + FetchEvery;
  Calls.call(Store, platform::staleRangeCall(std::string(RangePrefix)), "",
             bootNow() + ProbeTimeout, [this](const CallResult &result) {
               IsFetching = false;
               const auto page = platform::decodePage(result.Body);
               if (result.Status != platform::StatusOk || !page.ok())
                 return; // the probe notes the store's trouble
               for (const platform::StoreItem &item : page->Items) {
                 const ServiceId service(item.Key.substr(RangePrefix.size()));
                 const auto map = decodeRangeMap(item.Value, item.Revision);
                 if (map.ok() && Copy.take(service, *map))
                   OnRanges(service, *Copy.find(service));
               }
             });
}

void Cluster::sayHello(Time now) {
  NextHelloAt = now + HelloEvery;
  if (isLeader() || Leader.Address.Port == 0)
    return;
  PeerHello hello;
  hello.Vm = Self;
  hello.VmsHash = hashVms(Vms);
  hello.MapRevisions = Copy.revisions();
  hello.Keys = std::exchange(Keys, {});
  send(hello);
}

void Cluster::hurry() {
  if (!isLeader())
    sayHello(bootNow());
}

void Cluster::noteKey(const ServiceId &service, std::uint16_t key) {
  if (isLeader()) {
    Lead.noteRequest(service, key);
    return;
  }
  auto &keys = Keys[service];
  if (keys.size() < MaxReportedKeys)
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
  Udp.send_to(asio::buffer(encodePeerMessage(message)), address, 0, ec);
  if (ec)
    logLine(LineWeight::Routine, bootNow(), "datagram_not_sent", "error={}",
            logSafe(ec.message())); // the next hello makes up for it
}

void Cluster::listen() {
  Udp.async_receive_from(
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
            logLine(LineWeight::Notable, bootNow(), "datagram_unreadable",
                    "why={}", logSafe(std::string(message.status().message())));
        }
        listen();
      });
}

void Cluster::onHello(const PeerHello &hello, const udp::endpoint &sender) {
  if (!isLeader())
    return;
  const Time now = bootNow();
  Peers[hello.Vm] = {sender, now};
  for (const auto &[service, keys] : hello.Keys)
    for (const std::uint16_t key : keys)
      Lead.noteRequest(service, key);
  PeerReply reply{Leader.Term, {}};
  if (hello.VmsHash != hashVms(Vms))
    reply.Vms = Vms;
  sendTo(sender, reply);
  for (const auto &[service, revision] : Copy.revisions()) {
    const auto known = hello.MapRevisions.find(service);
    if (revision != 0 &&
        (known == hello.MapRevisions.end() || known->second < revision))
      for (const PeerRanges &part :
           RangeCopy::describe(service, nullptr, *Copy.find(service)))
        sendTo(sender, part);
  }
}

void Cluster::onReply(const PeerReply &reply) {
  if (isLeader() || reply.Term < Leader.Term)
    return;
  LeaderHeardAt = bootNow();
  if (!reply.Vms.empty())
    setVms(reply.Vms);
}

void Cluster::onRangesMessage(const PeerRanges &ranges) {
  if (isLeader())
    return;
  if (Copy.take(ranges)) {
    logLine(LineWeight::Routine, bootNow(), "ranges",
            "service={} revision={} base={} rows={}", ranges.Service.Value,
            ranges.Revision, ranges.Base, ranges.Rows.size());
    OnRanges(ranges.Service, *Copy.find(ranges.Service));
  } else if (const RangeMap *map = Copy.find(ranges.Service);
             ranges.Base != 0 &&
             (map == nullptr || map->Revision < ranges.Base)) {
    sayHello(bootNow()); // an earlier change was lost
  }
}

void Cluster::onOwnMap(const ServiceId &service, const RangeMap &before,
                       const RangeMap &after) {
  if (!Copy.take(service, after))
    return;
  for (const PeerRanges &part : RangeCopy::describe(service, &before, after))
    for (const auto &[vm, peer] : Peers)
      sendTo(peer.Address, part);
  OnRanges(service, after);
}

/// The leader's list of VMs: those that said hello of late, and itself.
void Cluster::refreshPeers(Time now) {
  std::erase_if(Peers, [&](const auto &entry) {
    return now > entry.second.HeardAt + SilentPeer;
  });
  std::vector<VmId> vms{Self};
  for (const auto &[vm, peer] : Peers)
    vms.push_back(vm);
  std::ranges::sort(vms);
  if (vms != Vms)
    setVms(std::move(vms));
}

void Cluster::setVms(std::vector<VmId> vms) {
  Vms = std::move(vms);
  logLine(LineWeight::State, bootNow(), "vms", "count={} term={}", Vms.size(),
          Leader.Term);
  OnVms(Vms);
}

void Cluster::onBeliefsChanged(const RouteTable &config) {
  Lead.onBeliefsChanged(config);
}

void Cluster::resign() {
  IsResigned = true;
  Lead.resign();
  Tick.cancel();
}

} // namespace waxwing
