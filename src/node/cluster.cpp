/**
 * @file cluster.cpp
 * Lease, registration, election and key reports.
 */
#include "node/cluster.h"

#include "core/hash_func.h"
#include "core/random_func.h"
#include "node/node_log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace waxwing {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

constexpr std::string_view VmPrefix = "waxwing/vms/";

/// Wanted length of a VM's lease: a lost leader is replaced after it, and
/// grants last longer than it.
constexpr Duration WantedLease = seconds(3);
/// Renewals of the lease, relative to its length.
constexpr int KeepsPerLease = 4;
/// A lease counts as ended this much before the store may end it: clocks of
/// the store and of this VM may differ by 2 %.
constexpr double LeaseSafety = 0.95;
constexpr Duration CallTimeout = milliseconds(1500);
constexpr Duration ReportEvery = milliseconds(300);
/// Candidates for leadership try one after the other in an order by hash.
constexpr Duration CandidateGap = milliseconds(25);
constexpr int MaxCandidateGaps = 40;
constexpr Duration TickEvery = milliseconds(250);
constexpr std::size_t MaxReportedKeys = 400;

} // namespace

Cluster::Cluster(asio::io_context &loop, const NodeSettings &settings,
                 CallClient &calls, StoreFeed &feed, UpstreamTable &upstreams)
    : Loop(loop), Calls(calls), Feed(feed), Upstreams(upstreams),
      Store(parseEndpoint(settings.Store.text("address"))),
      Self(settings.Vm.text("name")),
      PeerAddress(parseEndpoint(settings.Listen.text("peers"))), Udp(loop),
      Random(drawNumber()), Tick(loop, [this] { tick(); }),
      LeadTimer(loop, [this] { lead(); }) {
  Terms.LongestHold = settings.Bounds.seconds("longest_hold");
  Terms.Hold = std::min(Terms.Hold, Terms.LongestHold);
  Terms.RenewAfter = std::min<Duration>(Terms.RenewAfter, Terms.Hold / 3);
  LeaseTerm =
      std::max<Duration>(WantedLease, settings.Store.seconds("least_lease"));
}

absl::Status Cluster::start() {
  error_code ec;
  const auto ip = asio::ip::make_address(PeerAddress.Address, ec);
  if (!ec)
    Udp.open(udp::v4(), ec);
  if (!ec)
    Udp.bind({ip, PeerAddress.Port}, ec);
  if (ec)
    return absl::UnavailableError(
        fmt::format("cannot receive reports on {}: {}",
                    formatEndpoint(PeerAddress), ec.message()));
  receiveReport();
  tick();
  return absl::OkStatus();
}

void Cluster::storeCall(const platform::Call &call, Duration timeout,
                        CallClient::Callback callback) {
  ++Counters.StoreCalls;
  Calls.call(Store, call, "", bootNow() + timeout,
             [this, callback = std::move(callback)](const CallResult &result) {
               Feed.noteContact(result.Status != 0 && result.Status < 500 &&
                                result.Status != 429);
               callback(result);
             });
}

void Cluster::tick() {
  const Time now = bootNow();
  if (!IsResigned) {
    if (isLeader() && !isLeaseValid(now))
      stepDown("lease_ended");
    if (now >= NextKeepAt && !IsLeaseBusy)
      keepLease();
    considerLeading();
    reportKeys();
  }
  Tick.setBy(
      std::min(now + TickEvery, std::max(NextKeepAt, now + milliseconds(50))));
}

void Cluster::keepLease() {
  NextKeepAt = bootNow() + LeaseTerm / KeepsPerLease;
  if (Lease == 0) {
    openLease();
    return;
  }
  if (!IsRegistered)
    registerVm();
  IsLeaseBusy = true;
  const Time askedAt = bootNow();
  storeCall(
      platform::renewCall(Lease), CallTimeout,
      [this, askedAt](const CallResult &result) {
        IsLeaseBusy = false;
        if (result.Status == platform::StatusOk) {
          LeaseValidUntil = std::max(
              LeaseValidUntil, askedAt + std::chrono::duration_cast<Duration>(
                                             LeaseSafety * LeaseTerm));
          return;
        }
        if (result.Status != platform::StatusNotFound)
          return; // asked again at the next renewal
        logLine(LineWeight::State, bootNow(), "lease_lost", "lease={}", Lease);
        Lease = 0;
        IsRegistered = false;
        LeaseValidUntil = Time();
        if (isLeader())
          stepDown("lease_ended");
        openLease();
      });
}

void Cluster::openLease() {
  IsLeaseBusy = true;
  const Time askedAt = bootNow();
  storeCall(platform::leaseCall(LeaseTerm), CallTimeout,
            [this, askedAt](const CallResult &result) {
              IsLeaseBusy = false;
              onLease(result, askedAt);
            });
}

void Cluster::onLease(const CallResult &result, Time askedAt) {
  if (result.Status != platform::StatusOk)
    return;
  const auto lease = platform::decodeLease(result.Body);
  if (!lease.ok()) {
    logLine(LineWeight::Notable, bootNow(), "lease_unreadable", "why={}",
            logSafe(std::string(lease.status().message())));
    return;
  }
  Lease = lease->Id;
  LeaseTerm = lease->Term;
  LeaseValidUntil =
      askedAt + std::chrono::duration_cast<Duration>(LeaseSafety * LeaseTerm);
  logLine(LineWeight::State, bootNow(), "lease_opened", "lease={} term_ms={}",
          Lease, std::chrono::duration_cast<milliseconds>(LeaseTerm).count());
  registerVm();
}

void Cluster::registerVm() {
  platform::StoreTransaction transaction;
  transaction.Writes.push_back(
      {std::string(VmPrefix) + Self.Value, formatEndpoint(PeerAddress), Lease});
  storeCall(platform::transactionCall(transaction), CallTimeout,
            [this](const CallResult &result) {
              IsRegistered = result.Status == platform::StatusOk;
            });
}

void Cluster::onStoreChange(const platform::StoreChange &change) {
  const Time now = bootNow();
  if (change.Key.starts_with(VmPrefix)) {
    const std::string name = change.Key.substr(VmPrefix.size());
    if (change.Value)
      Vms[name] = *change.Value;
    else
      Vms.erase(name);
    std::vector<VmId> vms;
    for (const auto &[vm, address] : Vms)
      vms.emplace_back(vm);
    OnVms(std::move(vms));
    return;
  }
  if (change.Key == LeaderKey) {
    LeaderKeyRevision = change.Value ? change.Revision : 0;
    const std::string value = change.Value.value_or("");
    LeaderName = value.substr(0, value.find('\n'));
    LeaderAddress = change.Value
                        ? parseEndpoint(value.substr(value.find('\n') + 1))
                        : Endpoint{};
    logLine(LineWeight::State, now, "leader", "name={} revision={}",
            LeaderName.empty() ? "-" : logSafe(LeaderName), change.Revision);
    if (!change.Value)
      LeaderGoneAt = now;
    if (isLeader() && change.Revision > LeaderRevision)
      stepDown("replaced");
    considerLeading();
    return;
  }
  if (change.Key.starts_with(RangePrefix)) {
    const ServiceId service(change.Key.substr(RangePrefix.size()));
    if (!change.Value)
      return;
    auto map = decodeRangeMap(*change.Value, change.Revision);
    if (!map.ok()) {
      logLine(LineWeight::State, now, "ranges_unreadable",
              "service={} revision={} why={}", service.Value, change.Revision,
              logSafe(std::string(map.status().message())));
      return;
    }
    if (change.Revision <= Maps[service].Revision)
      return;
    Maps[service] = *map;
    logLine(LineWeight::State, now, "ranges",
            "service={} revision={} rows={} next_fence={}", service.Value,
            change.Revision, map->Rows.size(), map->NextFence);
    OnRanges(service, *map);
  }
}

void Cluster::considerLeading() {
  if (isLeader() || IsElecting || IsResigned || !LeaderName.empty() ||
      !Feed.isLoaded() || Lease == 0 || !IsRegistered)
    return;
  const Time now = bootNow();
  if (!isLeaseValid(now) || Feed.isTroubled())
    return;
  const std::uint64_t own = hashText(
      Self.Value, LeaderGoneAt.time_since_epoch().count() == 0 ? 1 : 2);
  const auto before = std::ranges::count_if(Vms, [&](const auto &entry) {
    return hashText(entry.first,
                    LeaderGoneAt.time_since_epoch().count() == 0 ? 1 : 2) < own;
  });
  IsElecting = true;
  const auto timer = std::make_shared<asio::steady_timer>(Loop);
  timer->expires_after(
      CandidateGap * std::min<int>(static_cast<int>(before), MaxCandidateGaps));
  timer->async_wait([this, timer](const error_code &) { tryLead(); });
}

void Cluster::tryLead() {
  const Time now = bootNow();
  if (!LeaderName.empty() || IsResigned || !isLeaseValid(now)) {
    IsElecting = false;
    return;
  }
  ++Counters.Elections;
  platform::StoreTransaction transaction;
  transaction.Conditions.push_back({std::string(LeaderKey), 0});
  transaction.Writes.push_back({std::string(LeaderKey),
                                Self.Value + "\n" + formatEndpoint(PeerAddress),
                                Lease});
  storeCall(platform::transactionCall(transaction), CallTimeout,
            [this](const CallResult &result) {
              IsElecting = false;
              if (result.Status != platform::StatusOk) {
                Feed.hurry();
                return;
              }
              const auto revision = platform::decodeRevision(result.Body);
              if (revision.ok())
                beginLeading(*revision);
            });
}

void Cluster::beginLeading(std::uint64_t revision) {
  LeaderRevision = revision;
  LeaderName = Self.Value;
  LeaderAddress = PeerAddress;
  AreMapsLoaded = false;
  Leaderships.clear();
  logLine(LineWeight::State, bootNow(), "leading", "revision={} lease={}",
          revision, Lease);
  loadMaps();
}

void Cluster::stepDown(std::string_view why) {
  logLine(LineWeight::State, bootNow(), "leading_ended", "revision={} why={}",
          LeaderRevision, why);
  LeaderRevision = 0;
  if (LeaderName == Self.Value)
    LeaderName.clear();
  Leaderships.clear();
  AreMapsLoaded = false;
  LeadTimer.cancel();
}

void Cluster::noteKey(const ServiceId &service, std::uint16_t key) {
  if (isLeader()) {
    if (const auto it = Leaderships.find(service); it != Leaderships.end())
      it->second.Ranges.noteRequest(key);
    return;
  }
  auto &keys = KeyReports[service];
  if (keys.size() < MaxReportedKeys)
    keys.push_back(key);
}

void Cluster::reportKeys() {
  const Time now = bootNow();
  if (now < NextReportAt)
    return;
  NextReportAt = now + ReportEvery;
  for (auto &[service, keys] : KeyReports) {
    if (keys.empty() || LeaderAddress.Port == 0 || isLeader()) {
      keys.clear();
      continue;
    }
    const auto bytes = nlohmann::json::to_cbor(
        nlohmann::json{{"service", service.Value}, {"keys", keys}});
    error_code ec;
    const auto ip = asio::ip::make_address(LeaderAddress.Address, ec);
    if (!ec)
      Udp.send_to(asio::buffer(bytes), {ip, LeaderAddress.Port}, 0, ec);
    if (ec)
      logLine(LineWeight::Routine, now, "key_report_failed", "error={}",
              logSafe(ec.message()));
    keys.clear();
  }
}

void Cluster::receiveReport() {
  Udp.async_receive_from(
      asio::buffer(UdpBuffer), UdpSender,
      [this](const error_code &ec, std::size_t size) {
        if (ec == asio::error::operation_aborted)
          return;
        if (!ec && isLeader()) {
          const auto json = nlohmann::json::from_cbor(
              UdpBuffer.begin(), UdpBuffer.begin() + size, true, false);
          if (json.is_object() && json.contains("service") &&
              json["service"].is_string() && json.contains("keys") &&
              json["keys"].is_array())
            if (const auto it = Leaderships.find(
                    ServiceId(json["service"].get<std::string>()));
                it != Leaderships.end())
              for (const auto &key : json["keys"])
                if (key.is_number_unsigned() && key.get<unsigned>() <= 65535)
                  it->second.Ranges.noteRequest(key.get<std::uint16_t>());
        }
        receiveReport();
      });
}

void Cluster::resign() {
  IsResigned = true;
  if (isLeader())
    stepDown("shutdown");
  if (Lease != 0)
    storeCall(platform::endLeaseCall(Lease), CallTimeout,
              [](const CallResult &) {});
  Tick.cancel();
}

} // namespace waxwing
