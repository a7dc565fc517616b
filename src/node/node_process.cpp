/**
 * @file node_process.cpp
 * Startup, routing state from the store, settings reload and shutdown.
 */
#include "node/node_process.h"

#include "documents.h"
#include "metrics/metrics_page.h"
#include "node/node_log.h"

#include <algorithm>
#include <csignal>
#include <spdlog/spdlog.h>

namespace waxwing {
namespace {

/// Upstream entries that expired while the store was unavailable reappear
/// within 2 s after its return. An entry that is still missing then belongs to
/// a lost upstream.
constexpr Duration LapseReturn = milliseconds(2200);
/// Removals within this time after the store recovered may be entries that
/// expired only because it was unavailable.
constexpr Duration LapseDoubt = milliseconds(2500);
/// Delays between watches. Configurations change one at a time and must be in
/// force within 2 s. Upstreams change in large numbers, and stop 2 s after they
/// announce draining.
constexpr Duration OperatorGather = milliseconds(150);
constexpr Duration EntryGather = milliseconds(500);
/// Every VM reads each change of the upstream list, so the delay grows with the
/// number of VMs to limit the load on the store.
constexpr Duration GatherMorePerVm = milliseconds(6);
constexpr Duration MaxGatherMore = milliseconds(450);
/// Upstreams are kept for this time after their removal, so that their keys can
/// be released.
constexpr Duration KeepUnlisted = seconds(15);
/// The load balancer polls once per second and stops sending new connections
/// after two failures.
constexpr Duration BalancerTurnsAway = milliseconds(2600);
/// Part of the grace period that is reserved for process exit.
constexpr Duration EndMargin = milliseconds(150);
/// Requests that arrive when less than this time is left are refused, since
/// most of them could not be completed.
constexpr Duration LastServing = milliseconds(1500);
constexpr Duration ShutdownCheck = milliseconds(50);
constexpr Duration LogFlushEvery = milliseconds(100);

} // namespace

NodeProcess::NodeProcess(std::string settingsPath, const NodeSettings &settings)
    : SettingsPath(std::move(settingsPath)), Settings(settings), Loop(1),
      Signals(Loop, SIGTERM, SIGINT, SIGHUP), Calls(Loop),
      Operators(Loop, Calls, Health,
                parseEndpoint(settings.Store.text("address")),
                {std::string(platform::OperatorPrefix), OperatorGather}),
      Entries(Loop, Calls, Health,
              parseEndpoint(settings.Store.text("address")),
              {std::string(platform::UpstreamPrefix), EntryGather}),
      Data(Loop, settings),
      Peers(Loop, settings, Calls, Health, Data.upstreams()),
      Ready(Loop, [this] { return readyPage(); }),
      Metrics(Loop, [this] { return metricsPage(); }),
      RemovalTimer(Loop, [this] { applyRemovals(); }),
      ShutdownTimer(Loop, [this] { continueShutdown(); }),
      LogTimer(Loop, [this] { flushLogLater(); }) {}

absl::Status NodeProcess::run() {
  std::signal(SIGPIPE, SIG_IGN);
  openLog(Settings.Vm.text("name"), Settings.Log.text("level"),
          static_cast<int>(Settings.Log.integer("lines_per_second")));
  logLine(LineWeight::State, bootNow(), "start",
          "domain={} callers={} store={}", Settings.Vm.text("domain"),
          Settings.Listen.text("callers"), Settings.Store.text("address"));
  Data.OnKeyRequest = [this](const ServiceId &service, std::uint16_t key) {
    Peers.noteKey(service, key);
  };
  Data.OnMisplaced = [this] { Peers.hurry(); };
  Peers.OnRanges = [this](const ServiceId &service, const RangeMap &map) {
    Data.setRanges(service, map);
  };
  Peers.OnVms = [this](const std::vector<VmId> &vms) {
    Data.setVms(vms);
    Entries.setGatherPause(
        EntryGather + std::min(MaxGatherMore,
                               GatherMorePerVm * static_cast<int>(vms.size())));
  };
  if (auto status = Data.listen(parseEndpoint(Settings.Listen.text("callers")));
      !status.ok())
    return status;
  if (auto status = Ready.listen(parseEndpoint(Settings.Listen.text("ready")));
      !status.ok())
    return status;
  if (const std::string &address = Settings.Listen.text("metrics");
      !address.empty())
    if (auto status = Metrics.listen(parseEndpoint(address)); !status.ok())
      return status;
  if (auto status = Peers.start(); !status.ok())
    return status;
  // After an outage of the store, a pending watch may never return, so both
  // feeds reload everything.
  Health.OnChange = [this](bool isAnswered) {
    if (isAnswered) {
      Operators.reloadIfWatching();
      Entries.reloadIfWatching();
    }
  };
  for (StoreFeed *feed : {&Operators, &Entries})
    feed->start(
        [this](const platform::StoreChange &change) { onStoreChange(change); },
        [this] { onBatchEnd(); });
  awaitSignal();
  flushLogLater();
  Loop.run();
  logLine(LineWeight::State, bootNow(), "stop", "answered={} dropped_lines={}",
          Data.counters().Answered, droppedLines());
  flushLog();
  return absl::OkStatus();
}

void NodeProcess::flushLogLater() {
  flushLog();
  LogTimer.scheduleBy(bootNow() + LogFlushEvery);
}

void NodeProcess::onStoreChange(const platform::StoreChange &change) {
  if (change.Key.starts_with(platform::UpstreamPrefix))
    onUpstreamChange(change.Key.substr(platform::UpstreamPrefix.size()),
                     change);
  else if (change.Key == platform::ConfigKey)
    onConfigChange(change);
  else if (change.Key.starts_with(platform::EvacuationPrefix))
    onEvacuationChange(change.Key.substr(platform::EvacuationPrefix.size()),
                       change.Value.has_value());
}

void NodeProcess::onUpstreamChange(const std::string &id,
                                   const platform::StoreChange &change) {
  const Time now = bootNow();
  const UpstreamId upstream(id);
  if (!change.Value) {
    const bool isDoubtful =
        Health.isTroubled() || now < Health.troubleEndedAt() + LapseDoubt;
    if (isDoubtful && Health.troubleEndedAt() != Time()) {
      DoubtfulRemovals[upstream] = change.Revision;
      RemovalTimer.scheduleBy(Health.troubleEndedAt() + LapseReturn);
      logLine(LineWeight::State, now, "upstream_removal_doubtful",
              "upstream={} revision={} store_back_ms={}", logSafe(id),
              change.Revision,
              std::chrono::duration_cast<milliseconds>(now -
                                                       Health.troubleEndedAt())
                  .count());
      return;
    }
    unlist(upstream, change.Revision);
    return;
  }
  DoubtfulRemovals.erase(upstream);
  const auto entry = platform::decodeUpstream(id, *change.Value);
  if (!entry.ok()) {
    logLine(LineWeight::State, now, "upstream_entry_unreadable",
            "upstream={} revision={} why={}", logSafe(id), change.Revision,
            logSafe(std::string(entry.status().message())));
    unlist(upstream, change.Revision);
    return;
  }
  Data.upstreams().apply(*entry, change.Revision, now);
  logLine(LineWeight::State, now, "upstream",
          "upstream={} service={} domain={} address={} born={} draining={} "
          "slots={} cold_ms={} revision={}",
          logSafe(id), logSafe(entry->Service.Value),
          logSafe(entry->Domain.Value), formatEndpoint(entry->Address),
          entry->StartedAtMs, entry->IsDraining, entry->Slots,
          std::chrono::duration_cast<milliseconds>(entry->WarmUpLeft).count(),
          change.Revision);
}

void NodeProcess::unlist(const UpstreamId &id, std::uint64_t revision) {
  const Time now = bootNow();
  Data.upstreams().unlist(id, now);
  logLine(LineWeight::State, now, "upstream_gone", "upstream={} revision={}",
          logSafe(id.Value), revision);
}

void NodeProcess::applyRemovals() {
  const Time now = bootNow();
  if (Health.isTroubled() || now < Health.troubleEndedAt() + LapseReturn) {
    RemovalTimer.scheduleBy(std::max(now + milliseconds(200),
                                     Health.troubleEndedAt() + LapseReturn));
    return;
  }
  for (const auto &[id, revision] : std::exchange(DoubtfulRemovals, {}))
    unlist(id, revision);
  onBatchEnd();
}

void NodeProcess::onConfigChange(const platform::StoreChange &change) {
  const Time now = bootNow();
  if (!change.Value)
    return; // the configuration stays in force until it is replaced
  auto config = platform::decodeConfig(*change.Value);
  const RouteTable *present = Data.config();
  if (!config.ok() ||
      (present != nullptr && config->Version < present->config().Version)) {
    logLine(LineWeight::State, now, "config_ignored", "revision={} why={}",
            change.Revision,
            config.ok() ? "older_version"
                        : logSafe(std::string(config.status().message())));
    return;
  }
  logLine(LineWeight::State, now, "config",
          "version={:08x} revision={} routes={} services={}", config->Version,
          change.Revision, config->Routes.size(), config->Services.size());
  Data.setConfig(std::make_shared<const RouteTable>(*std::move(config)));
}

void NodeProcess::onEvacuationChange(const std::string &domain,
                                     bool isEvacuated) {
  const Time now = bootNow();
  if (isEvacuated)
    Evacuated.insert(DomainId(domain));
  else
    Evacuated.erase(DomainId(domain));
  Data.upstreams().setEvacuated(Evacuated);
  if (!isEvacuated && Data.config() != nullptr)
    Data.upstreams().markDomainCold(DomainId(domain),
                                    Data.config()->config().Services, now);
  logLine(LineWeight::State, now, "evacuation", "domain={} evacuated={}",
          logSafe(domain), isEvacuated);
}

void NodeProcess::onBatchEnd() {
  Data.upstreams().removeUnlisted(bootNow() - KeepUnlisted);
  if (Data.config() != nullptr)
    Peers.onBeliefsChanged(*Data.config());
  Data.onUpstreamsChanged();
}

StatusPort::Page NodeProcess::readyPage() const {
  const bool isReady = Data.config() != nullptr && StoppedAt == Time();
  return {isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n"};
}

StatusPort::Page NodeProcess::metricsPage() const {
  MetricsPage page;
  const GatewayCounters &data = Data.counters();
  const LeadershipCounters &peers = Peers.counters();
  page.addCounter("waxwing_requests_total", "Requests of callers.",
                  data.Requests);
  page.addCounter("waxwing_answers_total",
                  "Requests answered by an upstream's answer.", data.Answered);
  page.addCounter("waxwing_attempts_total", "Requests sent to upstreams.",
                  data.Sent);
  page.addCounter("waxwing_repeats_total",
                  "Attempts beyond the first of a request.", data.Repeated);
  page.addCounter("waxwing_upstream_connections_total",
                  "Connections opened to upstreams.", data.Connections);
  page.addCounter("waxwing_upstream_connections_failed_total",
                  "Connections to upstreams that did not open.",
                  data.FailedConnections);
  page.addCounter("waxwing_queued_total", "Requests that waited.", data.Waited);
  page.addCounter("waxwing_callers_left_total",
                  "Requests whose caller left before the answer.",
                  data.CallersLeft);
  page.addReasons("waxwing_refusals_total",
                  "Requests that got an answer of this program's own.",
                  data.Refusals);
  page.addGauge("waxwing_queued", "Requests that wait now.",
                static_cast<double>(Data.waiting()));
  page.addGauge("waxwing_config_version", "Configuration in force.",
                Data.config() == nullptr
                    ? 0
                    : static_cast<double>(Data.config()->config().Version));
  page.addGauge("waxwing_store_revision", "Store revision applied.",
                static_cast<double>(Entries.revision()));
  page.addGauge(
      "waxwing_store_age_seconds", "Time since the store last answered.",
      std::chrono::duration<double>(bootNow() - Health.answeredAt()).count());
  page.addGauge("waxwing_leading", "1 on the leader.",
                Peers.isLeader() ? 1 : 0);
  page.addGauge("waxwing_vms", "VMs known.",
                static_cast<double>(Peers.vmCount()));
  page.addCounter("waxwing_store_calls_total", "Calls to the store.",
                  Peers.storeCalls() + Operators.callCount() +
                      Entries.callCount());
  page.addCounter("waxwing_orders_total", "Grants and releases sent.",
                  peers.OrdersSent);
  page.addCounter("waxwing_range_maps_written_total",
                  "Changes of who owns which keys.", peers.MapsWritten);
  page.addCounter("waxwing_log_lines_dropped_total",
                  "Log lines beyond the bound.", droppedLines());
  for (const auto &[route, stats] : Data.latencies())
    page.addLatency("waxwing_latency_seconds_" + logSafe(route),
                    "Latency of answered requests of the route.",
                    stats.summary());
  return {200, page.text()};
}

void NodeProcess::awaitSignal() {
  Signals.async_wait([this](const boost::system::error_code &ec, int number) {
    if (!ec)
      onSignal(number);
  });
}

void NodeProcess::onSignal(int number) {
  if (number == SIGHUP)
    reloadSettings();
  else if (StoppedAt == Time())
    beginShutdown();
  awaitSignal();
}

void NodeProcess::reloadSettings() {
  const auto settings = loadNodeSettings(SettingsPath);
  logLine(LineWeight::State, bootNow(), "reload", "result={}",
          settings.ok() ? "valid"
                        : logSafe(std::string(settings.status().message())));
  if (!settings.ok())
    return; // keep the current settings
  spdlog::set_level(spdlog::level::from_str(settings->Log.text("level")));
}

void NodeProcess::beginShutdown() {
  StoppedAt = bootNow();
  MustEndBy = StoppedAt + Settings.Bounds.seconds("grace") - EndMargin;
  logLine(
      LineWeight::State, StoppedAt, "draining", "grace_ms={}",
      std::chrono::duration_cast<milliseconds>(MustEndBy - StoppedAt).count());
  Data.beginDraining();
  Peers.resign();
  ShutdownTimer.scheduleBy(StoppedAt + ShutdownCheck);
}

/// Stops the event loop once the load balancer sends no more connections and
/// all requests are finished, or when the grace period ends.
void NodeProcess::continueShutdown() {
  const Time now = bootNow();
  const bool isTurnedAway = now > StoppedAt + BalancerTurnsAway;
  if (isTurnedAway)
    Data.closeIdleCallers();
  if (now >= MustEndBy - LastServing)
    Data.beginRefusing();
  if (now >= MustEndBy || (isTurnedAway && !Data.hasExchanges())) {
    Loop.stop();
    return;
  }
  ShutdownTimer.scheduleBy(now + ShutdownCheck);
}

} // namespace waxwing
