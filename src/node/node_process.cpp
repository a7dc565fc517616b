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

/// Delays between watches. Configurations change one at a time and must be in
/// force within 2 s. Upstreams change in large numbers, and stop 2 s after they
/// announce draining.
constexpr Duration OperatorBatchDelay = milliseconds(150);
constexpr Duration UpstreamBatchDelay = milliseconds(500);
/// VMs without a reader read each change of the upstream list themselves, so
/// the delay grows with the number of VMs to limit the load on the store. Until
/// that number is known, the largest delay applies.
constexpr Duration BatchDelayPerVm = milliseconds(6);
constexpr Duration MaxBatchDelayForVms = milliseconds(450);
/// Upstreams are kept for this time after their removal, so that their keys can
/// be released.
constexpr Duration RemovedUpstreamRetention = seconds(15);
/// The load balancer polls once per second and stops sending new connections
/// after two failures.
constexpr Duration BalancerReactionTime = milliseconds(2600);
/// Part of the grace period (from SIGTERM until the platform kills the process)
/// that is reserved for process exit, and for the delay of its timers.
constexpr Duration ShutdownMargin = milliseconds(150);
/// Part of the grace period in which requests are accepted. The rest is for
/// their upstreams, since a request that was sent must not be cut.
constexpr double AcceptingFraction = 0.5;
constexpr Duration ShutdownCheckInterval = milliseconds(50);
constexpr Duration LogFlushInterval = milliseconds(100);

} // namespace

NodeProcess::NodeProcess(std::string settingsPath, const NodeSettings &settings)
    : SettingsPath(std::move(settingsPath)), Settings(settings), Loop(1),
      Signals(Loop, SIGTERM, SIGINT, SIGHUP), Calls(Loop),
      Store(Loop, Calls, Health, parseEndpoint(settings.Store.text("address")),
            settings.Vm.boolean("first_start")),
      OperatorFeed(Loop, Store, Health,
                   {std::string(platform::OperatorPrefix), OperatorBatchDelay}),
      UpstreamFeed(Loop, Store, Health,
                   {std::string(platform::UpstreamPrefix),
                    UpstreamBatchDelay + MaxBatchDelayForVms}),
      RequestGateway(Loop, settings), State(RequestGateway.upstreams()),
      VmCluster(Loop, settings, Calls, Store, Health,
                RequestGateway.upstreams(), RequestGateway.crashes(),
                RequestGateway.limits(), {&OperatorFeed, &UpstreamFeed}),
      ReadyPort(Loop, [this] { return readyPage(); }),
      MetricsPort(Loop, [this] { return metricsPage(); }),
      DueChangesTimer(Loop, [this] { applyDueChanges(); }),
      ShutdownTimer(Loop, [this] { continueShutdown(); }),
      LogTimer(Loop, [this] { flushLogPeriodically(); }) {}

absl::Status NodeProcess::run() {
  std::signal(SIGPIPE, SIG_IGN);
  initLog(Settings.Vm.text("name"), Settings.Log.text("level"),
          static_cast<int>(Settings.Log.integer("lines_per_second")));
  logLine(LogPriority::StateChange, bootNow(), "start",
          "domain={} callers={} store={}", Settings.Vm.text("domain"),
          Settings.Listen.text("callers"), Settings.Store.text("address"));
  RequestGateway.OnKeyRequest = [this](const ServiceId &service,
                                       std::uint16_t key) {
    VmCluster.reportKeyRequest(service, key);
  };
  RequestGateway.OnKeyRejected = [this] { VmCluster.requestRangeMapUpdate(); };
  RequestGateway.OnUpstreamLeaving = [this] { VmCluster.onUpstreamLeaving(); };
  VmCluster.OnLeavingReported = [this](const UpstreamProcess &process) {
    // It is reported again until this VM knows the upstream.
    if (RequestGateway.upstreams().find(process.Id) != nullptr)
      RequestGateway.noteLeaving(process, bootNow());
  };
  RequestGateway.crashes().OnNews = [this](const CrashNews &news) {
    VmCluster.spread(news);
  };
  RequestGateway.limits().OnAsk = [this](const VmId &vm,
                                         const PeerPermitAsk &ask) {
    VmCluster.askForPermit(vm, ask);
  };
  RequestGateway.limits().OnLimitsChanged = [this] {
    VmCluster.onLimitsChanged();
  };
  RequestGateway.OnLinksChanged = [this](bool isWorking) {
    VmCluster.setLinksWorking(isWorking);
  };
  Calls.OnTargetConnectEnd = [this](const std::string &target, Time startedAt,
                                    ConnectOutcome outcome) {
    RequestGateway.onConnectEnd(UpstreamId(target), startedAt, outcome);
  };
  VmCluster.OnRangeMapUpdate = [this](const ServiceId &service,
                                      const RangeMap &map) {
    RequestGateway.setRangeMap(service, map);
  };
  VmCluster.OnVmListChanged = [this](const std::vector<VmInfo> &vms) {
    RequestGateway.setVms(vms);
    UpstreamFeed.setBatchDelay(
        UpstreamBatchDelay +
        std::min(MaxBatchDelayForVms,
                 BatchDelayPerVm * static_cast<int>(vms.size())));
  };
  OperatorFeed.OnBatchRead = [this](const ChangeBatch &batch) {
    VmCluster.onStoreBatch(FeedId::Operators, batch);
  };
  UpstreamFeed.OnBatchRead = [this](const ChangeBatch &batch) {
    VmCluster.onStoreBatch(FeedId::Upstreams, batch);
  };
  if (auto status =
          RequestGateway.listen(parseEndpoint(Settings.Listen.text("callers")));
      !status.ok())
    return status;
  if (auto status = RequestGateway.listenForPeers(
          parseEndpoint(Settings.Listen.text("peers")));
      !status.ok())
    return status;
  if (auto status =
          ReadyPort.listen(parseEndpoint(Settings.Listen.text("ready")));
      !status.ok())
    return status;
  if (const std::string &address = Settings.Listen.text("metrics");
      !address.empty())
    if (auto status = MetricsPort.listen(parseEndpoint(address)); !status.ok())
      return status;
  if (auto status = VmCluster.start(); !status.ok())
    return status;
  Store.OnRestored = [this] {
    for (StoreFeed *feed : {&OperatorFeed, &UpstreamFeed})
      feed->beginEpoch();
    VmCluster.beginStoreEpoch();
  };
  // After an outage of the store, a pending watch may never return, so both
  // feeds reload everything.
  Health.OnChange = [this](bool hasResponse) {
    if (hasResponse) {
      OperatorFeed.reloadIfWatching();
      UpstreamFeed.reloadIfWatching();
    }
  };
  Health.OnConnectionSilent = [this] {
    OperatorFeed.restartWatch();
    UpstreamFeed.restartWatch();
  };
  for (StoreFeed *feed : {&OperatorFeed, &UpstreamFeed})
    feed->start(
        [this](const platform::StoreChange &change) { onStoreChange(change); },
        [this] { onBatchEnd(); });
  awaitSignals();
  flushLogPeriodically();
  Loop.run();
  logLine(LogPriority::StateChange, bootNow(), "stop",
          "answered={} dropped_lines={}", RequestGateway.counters().Answered,
          droppedLineCount());
  flushLog();
  return absl::OkStatus();
}

void NodeProcess::flushLogPeriodically() {
  flushLog();
  LogTimer.scheduleBy(bootNow() + LogFlushInterval);
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

ChangeOrigin NodeProcess::originOf(const StoreFeed &feed) {
  if (!feed.isLoaded())
    return ChangeOrigin::FirstLoad;
  return feed.isLoadingEpoch() ? ChangeOrigin::Reload : ChangeOrigin::Written;
}

void NodeProcess::onUpstreamChange(const std::string &id,
                                   const platform::StoreChange &change) {
  const Time now = bootNow();
  if (!change.Value) {
    onUpstreamLoss(id, EntryLoss::Removed, change.Revision);
    return;
  }
  const auto entry = platform::decodeUpstreamEntry(id, *change.Value);
  if (!entry.ok()) {
    logLine(LogPriority::StateChange, now, "upstream_entry_unreadable",
            "upstream={} revision={} why={}", sanitizeForLog(id),
            counterOf(change.Revision),
            sanitizeForLog(std::string(entry.status().message())));
    onUpstreamLoss(id, EntryLoss::Unreadable, change.Revision);
    return;
  }
  const ChangeResult result = State.onUpstreamEntry(
      *entry, change.Revision, originOf(UpstreamFeed), now);
  DueChangesTimer.scheduleBy(State.nextDueAt(storeAvailability(), now));
  if (result == ChangeResult::Applied) {
    ++ChangedUpstreams;
    RequestGateway.crashes().onUpstreamListed(*entry, now);
  }
  // The number of these lines grows with the fleet; onBatchEnd() counts them.
  logLine(LogPriority::Routine, now, "upstream",
          "upstream={} result={} service={} domain={} address={} born={} "
          "sequence={} draining={} slots={} cold_ms={} revision={}",
          sanitizeForLog(id), changeResultName(result),
          sanitizeForLog(entry->Service.Value),
          sanitizeForLog(entry->Domain.Value), formatEndpoint(entry->Address),
          entry->StartedAtMs, entry->Sequence, entry->IsDraining, entry->Slots,
          toMilliseconds(entry->WarmUpLeft), counterOf(change.Revision));
}

void NodeProcess::onUpstreamLoss(const std::string &id, EntryLoss loss,
                                 StoreRevision revision) {
  const Time now = bootNow();
  const StoreAvailability store = storeAvailability();
  const ChangeResult result = State.onUpstreamLoss(
      UpstreamId(id), loss, revision, originOf(UpstreamFeed), store, now);
  DueChangesTimer.scheduleBy(State.nextDueAt(store, now));
  logLine(LogPriority::StateChange, now,
          result == ChangeResult::Deferred ? "upstream_removal_doubtful"
                                           : "upstream_gone",
          "upstream={} result={} revision={} store_back_ms={}",
          sanitizeForLog(id), changeResultName(result), counterOf(revision),
          toMilliseconds(now - store.RecoveredAt));
}

void NodeProcess::applyDueChanges() {
  const Time now = bootNow();
  const StoreAvailability store = storeAvailability();
  const DueChanges due = State.applyDue(store, now);
  DueChangesTimer.scheduleBy(State.nextDueAt(store, now));
  for (const DueChanges::Removal &removal : due.Removals)
    logLine(LogPriority::StateChange, now, "upstream_gone",
            "upstream={} revision={}", sanitizeForLog(removal.Id.Value),
            counterOf(removal.Revision));
  for (const UpstreamId &id : due.ListedAgain)
    logLine(LogPriority::StateChange, now, "upstream_listed_again",
            "upstream={}", sanitizeForLog(id.Value));
  for (const DueChanges::DomainChange &change : due.Domains)
    logLine(LogPriority::StateChange, now, "evacuation",
            "domain={} evacuated={} result=applied",
            sanitizeForLog(change.Domain.Value), change.IsEvacuated);
  if (!due.isEmpty())
    onBatchEnd();
}

void NodeProcess::onConfigChange(const platform::StoreChange &change) {
  const Time now = bootNow();
  if (!change.Value)
    return; // the configuration stays in force until it is replaced
  auto config = platform::decodeTrafficConfig(*change.Value);
  if (!config.ok()) {
    logLine(LogPriority::StateChange, now, "config_ignored",
            "revision={} why={}", counterOf(change.Revision),
            sanitizeForLog(std::string(config.status().message())));
    return;
  }
  const std::uint64_t version = config->Version;
  const ChangeResult result =
      State.onConfig(*std::move(config), originOf(OperatorFeed));
  if (result != ChangeResult::Applied) {
    logLine(LogPriority::StateChange, now, "config_ignored",
            "revision={} version={:08x} why=not_newer",
            counterOf(change.Revision), version);
    return;
  }
  const TrafficConfig &current = State.config()->config();
  logLine(LogPriority::StateChange, now, "config",
          "version={:08x} revision={} routes={} services={}", version,
          counterOf(change.Revision), current.Routes.size(),
          current.Services.size());
  RequestGateway.setConfig(State.config());
}

void NodeProcess::onEvacuationChange(const std::string &domain,
                                     bool isEvacuated) {
  const Time now = bootNow();
  const ChangeResult result = State.onDomainChange(
      DomainId(domain), isEvacuated, originOf(OperatorFeed), now);
  DueChangesTimer.scheduleBy(State.nextDueAt(storeAvailability(), now));
  logLine(LogPriority::StateChange, now, "evacuation",
          "domain={} evacuated={} result={}", sanitizeForLog(domain),
          isEvacuated, changeResultName(result));
}

void NodeProcess::onBatchEnd() {
  if (const int count = std::exchange(ChangedUpstreams, 0); count > 0)
    logLine(LogPriority::StateChange, bootNow(), "upstreams",
            "changed={} revision={}", count,
            counterOf(UpstreamFeed.revision()));
  RequestGateway.upstreams().removeUnlisted(bootNow() -
                                            RemovedUpstreamRetention);
  if (RequestGateway.config() != nullptr)
    VmCluster.onRoutingStateChanged(*RequestGateway.config());
  RequestGateway.onUpstreamsChanged();
}

StatusPort::Page NodeProcess::readyPage() const {
  const bool isReady =
      RequestGateway.config() != nullptr && ShutdownStartedAt == Time();
  return {isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n"};
}

StatusPort::Page NodeProcess::metricsPage() {
  MetricsPage page;
  const GatewayCounters &data = RequestGateway.counters();
  const LeadershipCounters &peers = VmCluster.counters();
  page.addCounter("waxwing_requests_total", "Requests of callers.",
                  data.Requests);
  page.addCounter("waxwing_answers_total",
                  "Requests answered by an upstream's answer.", data.Answered);
  page.addCounter("waxwing_attempts_total", "Requests sent to upstreams.",
                  data.Sent);
  page.addCounter("waxwing_repeats_total",
                  "Attempts beyond the first of a request.", data.Retried);
  page.addCounter("waxwing_upstream_connections_total",
                  "Connections opened to upstreams.", data.Connections);
  page.addCounter("waxwing_upstream_connections_failed_total",
                  "Connections to upstreams that did not open.",
                  data.FailedConnections);
  page.addCounter("waxwing_relayed_sent_total", "Requests passed to other VMs.",
                  data.RelayedSent);
  page.addCounter("waxwing_relayed_served_total",
                  "Other VMs' requests answered by an upstream's answer.",
                  data.RelayedServed);
  page.addCounter("waxwing_queued_total", "Requests that waited.", data.Queued);
  page.addCounter("waxwing_callers_left_total",
                  "Requests whose caller left before the answer.",
                  data.CallersDisconnected);
  page.addCounter("waxwing_upstreams_leaving_total",
                  "Upstreams that announced in an answer that they leave.",
                  data.LeavingUpstreams);
  page.addCounter("waxwing_upstream_pauses_total",
                  "Pauses that upstreams asked for when they refused.",
                  data.UpstreamPauses);
  page.addCounter("waxwing_crashes_under_requests_total",
                  "Upstreams that this VM found crashed under a request.",
                  RequestGateway.crashes().crashCount());
  page.addGauge(
      "waxwing_suspected_requests",
      "Requests refused because upstreams crashed under them.",
      static_cast<double>(RequestGateway.crashes().suspectCount(bootNow())));
  addLimitMetrics(page);
  page.addEndCounters("waxwing_requests_cut_total",
                      "Requests that this program ended without an answer.",
                      data.Cuts);
  page.addReasonCounters("waxwing_refusals_total",
                         "Requests that got an answer of this program's own.",
                         data.Refusals);
  page.addGauge("waxwing_queued", "Requests that wait now.",
                static_cast<double>(RequestGateway.queuedCount()));
  page.addGauge(
      "waxwing_config_version", "Configuration in force.",
      RequestGateway.config() == nullptr
          ? 0
          : static_cast<double>(RequestGateway.config()->config().Version));
  page.addGauge("waxwing_store_revision", "Store revision applied.",
                static_cast<double>(counterOf(UpstreamFeed.revision())));
  page.addGauge("waxwing_store_epoch",
                "Rises with each restoration of the store.",
                static_cast<double>(Store.epoch()));
  page.addCounter("waxwing_store_outages_total",
                  "Times at which the store stopped serving this VM.",
                  Health.outageCount());
  page.addCounter("waxwing_store_connections_lost_total",
                  "Calls to the store that failed with their connection alone.",
                  Health.lostCallCount());
  page.addCounter("waxwing_store_watches_silent_total",
                  "Watches given up since other VMs knew newer changes.",
                  VmCluster.silentWatchCount());
  page.addCounter("waxwing_store_checks_total",
                  "Checks on new connections while a call had no response.",
                  Store.checkCount());
  page.addGauge(
      "waxwing_store_age_seconds", "Time since the store last answered.",
      std::chrono::duration<double>(bootNow() - Health.lastResponseAt())
          .count());
  page.addGauge("waxwing_leading", "1 on the leader.",
                VmCluster.isLeader() ? 1 : 0);
  page.addGauge("waxwing_reader", "1 on a VM that reads the store for others.",
                VmCluster.isReader() ? 1 : 0);
  page.addGauge("waxwing_links_working",
                "0 while no connection to an upstream can be opened.",
                RequestGateway.areLinksWorking() ? 1 : 0);
  page.addCounter("waxwing_link_tests_total",
                  "Connections opened to upstreams to test this VM's links.",
                  RequestGateway.linkTestCount());
  page.addGauge("waxwing_vms", "VMs known.",
                static_cast<double>(VmCluster.vmCount()));
  page.addCounter("waxwing_store_calls_total", "Calls to the store.",
                  VmCluster.storeCalls() + Store.checkCount() +
                      OperatorFeed.callCount() + UpstreamFeed.callCount());
  page.addCounter("waxwing_orders_total", "Grants and releases sent.",
                  peers.OrdersSent);
  page.addCounter("waxwing_range_maps_written_total",
                  "Changes of who owns which keys.", peers.RangeMapWrites);
  page.addCounter("waxwing_log_lines_dropped_total",
                  "Log lines beyond the bound.", droppedLineCount());
  for (const auto &[route, stats] : RequestGateway.latencies())
    page.addLatency("waxwing_latency_seconds_" + sanitizeForLog(route),
                    "Latency of answered requests of the route.",
                    stats.summary());
  return {200, page.text()};
}

void NodeProcess::addLimitMetrics(MetricsPage &page) {
  LimitGuard &limits = RequestGateway.limits();
  page.addGauge("waxwing_limited_upstreams",
                "Upstreams that named a limit for all VMs together.",
                static_cast<double>(limits.limitedCount()));
  page.addGauge("waxwing_limited_requests_in_window",
                "Requests of this VM to limited upstreams in the last 4 s.",
                limits.recentSends(bootNow()));
  page.addCounter("waxwing_limit_permits_given_total",
                  "Permits that this VM gave as the VM in charge.",
                  limits.grantedCount());
  page.addCounter("waxwing_limit_permits_denied_total",
                  "Permits that this VM asked for and did not get.",
                  limits.deniedCount());
  page.addCounter("waxwing_limit_permits_unanswered_total",
                  "Permits that this VM asked for without an answer.",
                  limits.unansweredCount());
}

void NodeProcess::awaitSignals() {
  Signals.async_wait([this](const boost::system::error_code &ec, int number) {
    if (!ec)
      onSignal(number);
  });
}

void NodeProcess::onSignal(int number) {
  if (number == SIGHUP)
    reloadSettings();
  else if (ShutdownStartedAt == Time())
    beginShutdown();
  awaitSignals();
}

void NodeProcess::reloadSettings() {
  const auto settings = loadNodeSettings(SettingsPath);
  logLine(LogPriority::StateChange, bootNow(), "reload", "result={}",
          settings.ok()
              ? "valid"
              : sanitizeForLog(std::string(settings.status().message())));
  if (!settings.ok())
    return; // keep the current settings
  spdlog::set_level(spdlog::level::from_str(settings->Log.text("level")));
}

void NodeProcess::beginShutdown() {
  ShutdownStartedAt = bootNow();
  ShutdownDeadline =
      ShutdownStartedAt + Settings.Bounds.seconds("grace") - ShutdownMargin;
  RefuseFrom = ShutdownStartedAt +
               std::chrono::duration_cast<Duration>(
                   AcceptingFraction * Settings.Bounds.seconds("grace")) -
               ShutdownMargin;
  logLine(LogPriority::StateChange, ShutdownStartedAt, "draining",
          "grace_ms={}",
          std::chrono::duration_cast<milliseconds>(ShutdownDeadline -
                                                   ShutdownStartedAt)
              .count());
  RequestGateway.beginDraining(RefuseFrom, ShutdownDeadline);
  VmCluster.resign();
  ShutdownTimer.scheduleBy(ShutdownStartedAt + ShutdownCheckInterval);
}

/// Stops the event loop once the load balancer sends no more connections and
/// all requests are finished, or when the grace period ends.
void NodeProcess::continueShutdown() {
  const Time now = bootNow();
  const bool hasBalancerReacted =
      now > ShutdownStartedAt + BalancerReactionTime;
  if (hasBalancerReacted)
    RequestGateway.closeIdleCallers();
  if (now >= RefuseFrom)
    RequestGateway.refuseWaiting();
  if (now >= ShutdownDeadline ||
      (hasBalancerReacted && !RequestGateway.hasExchanges())) {
    RequestGateway.closeCallers();
    Loop.stop();
    return;
  }
  ShutdownTimer.scheduleBy(now + ShutdownCheckInterval);
}

} // namespace waxwing
