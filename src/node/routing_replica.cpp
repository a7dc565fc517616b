/**
 * @file routing_replica.cpp
 * Connects the feeds, the state that they lead to, the other VMs and the
 * gateway.
 */
#include "node/routing_replica.h"

#include "documents.h"
#include "node/node_log.h"
#include "table/change_stages.h"

namespace waxwing {
namespace {

/// Delay between watches of the operators' keys. Configurations change one at a
/// time and must be in force within 2 s.
constexpr Duration OperatorBatchDelay = milliseconds(150);
/// Upstreams are kept for this time after their removal, so that their keys can
/// be released.
constexpr Duration RemovedUpstreamRetention = seconds(15);

} // namespace

RoutingReplica::RoutingReplica(boost::asio::io_context &loop,
                               const NodeSettings &settings,
                               HttpCallClient &calls, PeerPort &port,
                               Gateway &gateway)
    : Calls(calls), RequestGateway(gateway),
      Store(loop, calls, Health, parseEndpoint(settings.Store.text("address")),
            settings.Vm.boolean("first_start")),
      OperatorFeed(loop, Store, Health,
                   {std::string(platform::OperatorPrefix), OperatorBatchDelay}),
      UpstreamFeed(loop, Store, Health,
                   {std::string(platform::UpstreamPrefix),
                    UpstreamBatchDelay + MaxBatchDelayForVms}),
      State(gateway.upstreams()),
      VmCluster(loop, settings, calls, Store, Health, port, gateway.upstreams(),
                gateway.crashes(), gateway.limits(),
                {&OperatorFeed, &UpstreamFeed}),
      DueChangesTimer(loop, [this] { applyDueChanges(); }) {
  RequestGateway.OnKeyRequest = [this](const ServiceId &service,
                                       std::uint16_t key) {
    VmCluster.reportKeyRequest(service, key);
  };
  RequestGateway.UpstreamsCompleteAt = [this] {
    return UpstreamFeed.completeAt();
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
    updateBatchDelay();
  };
  VmCluster.OnAssigned = [this] { updateBatchDelay(); };
  OperatorFeed.OnBatchRead = [this](const ChangeBatch &batch) {
    VmCluster.onStoreBatch(FeedId::Operators, batch);
  };
  UpstreamFeed.OnBatchRead = [this](const ChangeBatch &batch) {
    VmCluster.onStoreBatch(FeedId::Upstreams, batch);
  };
}

absl::Status RoutingReplica::start() {
  if (auto status = VmCluster.start(); !status.ok())
    return status;
  Store.OnRestored = [this] {
    for (StoreFeed *feed : {&OperatorFeed, &UpstreamFeed})
      feed->beginEpoch();
    VmCluster.beginStoreEpoch();
  };
  Health.OnChange = [this](bool hasResponse) {
    if (hasResponse) {
      OperatorFeed.resume();
      UpstreamFeed.resume();
      VmCluster.onStoreRegained();
    }
  };
  Health.OnOutageWithdrawn = [this] { DueChangesTimer.scheduleBy(bootNow()); };
  Health.OnConnectionSilent = [this] {
    OperatorFeed.restartWatch();
    UpstreamFeed.restartWatch();
  };
  for (StoreFeed *feed : {&OperatorFeed, &UpstreamFeed})
    feed->start(
        [this](const platform::StoreChange &change) { onStoreChange(change); },
        [this] { onBatchEnd(); });
  return absl::OkStatus();
}

void RoutingReplica::onStoreChange(const platform::StoreChange &change) {
  if (change.Key.starts_with(platform::UpstreamPrefix))
    onUpstreamChange(change.Key.substr(platform::UpstreamPrefix.size()),
                     change);
  else if (change.Key == platform::ConfigKey)
    onConfigChange(change);
  else if (change.Key.starts_with(platform::EvacuationPrefix))
    onEvacuationChange(change.Key.substr(platform::EvacuationPrefix.size()),
                       change.Value.has_value());
}

ChangeOrigin RoutingReplica::originOf(const StoreFeed &feed) {
  if (!feed.isLoaded())
    return ChangeOrigin::FirstLoad;
  return feed.isLoadingEpoch() ? ChangeOrigin::Reload : ChangeOrigin::Written;
}

void RoutingReplica::onUpstreamChange(const std::string &id,
                                      const platform::StoreChange &change) {
  const Time now = bootNow();
  const ChangeSource &source = UpstreamFeed.source();
  if (UpstreamFeed.isLoaded())
    ChangeAges[static_cast<std::size_t>(source.Path)].add(source.MaxAge);
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
  logLine(entry->IsDraining ? LogPriority::StateChange : LogPriority::Routine,
          now, "upstream",
          "upstream={} result={} service={} domain={} address={} born={} "
          "sequence={} draining={} slots={} cold_ms={} revision={} path={} "
          "max_age_ms={}",
          sanitizeForLog(id), changeResultName(result),
          sanitizeForLog(entry->Service.Value),
          sanitizeForLog(entry->Domain.Value), formatEndpoint(entry->Address),
          entry->StartedAtMs, entry->Sequence, entry->IsDraining, entry->Slots,
          toMilliseconds(entry->WarmUpLeft), counterOf(change.Revision),
          changePathName(source.Path), toMilliseconds(source.MaxAge));
}

void RoutingReplica::onUpstreamLoss(const std::string &id, EntryLoss loss,
                                    StoreRevision revision) {
  const Time now = bootNow();
  const StoreAvailability store = storeAvailability();
  const ChangeResult result = State.onUpstreamLoss(
      UpstreamId(id), loss, revision, originOf(UpstreamFeed), store, now);
  DueChangesTimer.scheduleBy(State.nextDueAt(store, now));
  logLine(LogPriority::StateChange, now,
          result == ChangeResult::Deferred ? "upstream_removal_doubtful"
                                           : "upstream_gone",
          "upstream={} result={} revision={} store_back_ms={} path={} "
          "max_age_ms={}",
          sanitizeForLog(id), changeResultName(result), counterOf(revision),
          toMilliseconds(now - store.RecoveredAt),
          changePathName(UpstreamFeed.source().Path),
          toMilliseconds(UpstreamFeed.source().MaxAge));
}

void RoutingReplica::applyDueChanges() {
  const Time now = bootNow();
  const StoreAvailability store = storeAvailability();
  const DueChanges due = State.applyDue(store, now);
  DueChangesTimer.scheduleBy(State.nextDueAt(store, now));
  for (const DueChanges::Removal &removal : due.Removals)
    logLine(LogPriority::StateChange, now, "upstream_gone",
            "upstream={} revision={} path=deferred",
            sanitizeForLog(removal.Id.Value), counterOf(removal.Revision));
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

void RoutingReplica::onConfigChange(const platform::StoreChange &change) {
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

void RoutingReplica::onEvacuationChange(const std::string &domain,
                                        bool isEvacuated) {
  const Time now = bootNow();
  const ChangeResult result = State.onDomainChange(
      DomainId(domain), isEvacuated, originOf(OperatorFeed), now);
  DueChangesTimer.scheduleBy(State.nextDueAt(storeAvailability(), now));
  logLine(LogPriority::StateChange, now, "evacuation",
          "domain={} evacuated={} result={}", sanitizeForLog(domain),
          isEvacuated, changeResultName(result));
}

/// Readers are few, and all that they read late is late on their followers.
void RoutingReplica::updateBatchDelay() {
  UpstreamFeed.setBatchDelay(
      VmCluster.isReader()
          ? UpstreamBatchDelay
          : ownBatchDelay(static_cast<int>(VmCluster.vmCount())));
}

void RoutingReplica::onBatchEnd() {
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

void RoutingReplica::addMetrics(MetricsPage &page) const {
  const LeadershipCounters &peers = VmCluster.counters();
  page.addGauge("waxwing_store_revision", "Store revision applied.",
                static_cast<double>(counterOf(UpstreamFeed.revision())));
  page.addGauge("waxwing_store_epoch",
                "Rises with each restoration of the store.",
                static_cast<double>(Store.epoch()));
  page.addCounter("waxwing_store_outages_total",
                  "Times at which the store stopped serving this VM.",
                  Health.outageCount());
  page.addCounter("waxwing_store_outages_own_total",
                  "Those in which the store served other VMs.",
                  Health.ownOutageCount());
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
  for (std::size_t n = 0; n < ChangePathCount; ++n)
    page.addLatency(
        fmt::format("waxwing_upstream_change_age_seconds_{}",
                    changePathName(static_cast<ChangePath>(n))),
        "Greatest possible age of changes of upstreams when they were applied.",
        ChangeAges[n].summary());
  page.addGauge(
      "waxwing_upstream_list_age_seconds",
      "Time since the list of upstreams was known to be complete.",
      std::chrono::duration<double>(bootNow() - UpstreamFeed.completeAt())
          .count());
  page.addLatency("waxwing_loop_delay_seconds",
                  "How late the periodic work of this VM ran.",
                  VmCluster.loopDelay());
  page.addCounter("waxwing_datagrams_unexpected_total",
                  "Datagrams from VMs that may not send them.",
                  VmCluster.unexpectedDatagramCount());
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
}

} // namespace waxwing
