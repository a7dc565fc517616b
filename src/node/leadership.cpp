/**
 * @file leadership.cpp
 * Leader lease, range maps in the store, and orders to upstreams.
 */
#include "node/leadership.h"
#include "headers.h"
#include "key_orders.h"

#include "node/node_log.h"
#include "node/store_keys.h"
#include "routing/routing_state.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Preferred duration of the leader's lease. A lost leader is replaced after
/// this time, and grants to upstreams last longer than this lease.
constexpr Duration PreferredLeaderLeaseDuration = seconds(2);
/// Lease renewals per lease term.
constexpr int RenewalsPerLease = 4;
/// Fraction of the lease term after which the lease counts as expired, since
/// the clock rates of the store and of this VM may differ by 2 %.
constexpr double LeaseSafetyFactor = 0.95;
/// A renewal without a response within this time counts as a failure of the
/// store, early enough to renew grants while the lease is still valid.
constexpr Duration LeaseRenewalTimeout = milliseconds(700);
/// Timeout of a release order, longer than that of a grant: an upstream
/// responds to a release only when the running requests for the released keys
/// have ended.
constexpr Duration ReleaseTimeout = milliseconds(3500);
constexpr Duration RetryDelay = milliseconds(200);
/// Outcomes of orders to upstreams are collected for this time before the
/// range maps are processed again, so that one write to the store covers them.
constexpr Duration OrderBatchDelay = milliseconds(20);
/// An upstream gets no further keys when no order to it was delivered for this
/// time.
constexpr Duration UndeliveredConfirmTime = milliseconds(250);
/// An unreachable upstream is tried again after this time without orders to it.
constexpr Duration UnreachableRetryDelay = seconds(2);
constexpr double MicrosPerSecond = 1e6;
/// Processing time in s, assumed while no upstream of the service has a
/// measured one.
constexpr double DefaultProcessingSeconds = 0.15;
/// Status codes of a process that is not the one named in the order. The
/// address was reassigned to another upstream, which implies that the first has
/// ended.
constexpr int StatusMisdirected = 421;
constexpr int StatusBadRequest = 400;
/// The store's response with this status code counts as a failure of the store,
/// as do codes from 500 up.
constexpr int StatusTooManyRequests = 429;
/// Maximum number of processes remembered as ended.
constexpr std::size_t MaxEndedUpstreamProcesses = 4096;

Duration safeLeaseDuration(Duration term) {
  return std::chrono::duration_cast<Duration>(LeaseSafetyFactor * term);
}

std::string epochKey(StoreEpoch epoch) {
  return std::string(EpochPrefix) + std::to_string(epoch);
}

std::string rangeMapKey(const ServiceId &service) {
  return std::string(RangePrefix) + service.Value;
}

} // namespace

Leadership::Leadership(boost::asio::io_context &loop,
                       const NodeSettings &settings, HttpCallClient &calls,
                       NodeStoreClient &store, StoreHealth &health,
                       UpstreamTable &upstreams,
                       const RangeMapReplica &knownMaps)
    : Loop(loop), Calls(calls), Store(store), Health(health),
      Upstreams(upstreams), KnownMaps(knownMaps),
      LeaseRenewalTimer(loop, [this] { renewLease(); }),
      RunServicesTimer(loop, [this] { runServices(); }) {
  Timings.MaxGrantDuration = settings.Bounds.seconds("longest_hold");
  Timings.GrantDuration =
      std::min(Timings.GrantDuration, Timings.MaxGrantDuration);
  Timings.RenewInterval =
      std::min<Duration>(Timings.RenewInterval, Timings.GrantDuration / 3);
  LeaderLeaseDuration = std::max<Duration>(
      PreferredLeaderLeaseDuration, settings.Store.seconds("least_lease"));
  Timings.LeaderLease = LeaderLeaseDuration;
}

void Leadership::sendStoreCall(const platform::PlatformRequest &call,
                               HttpCallClient::Callback callback,
                               Duration timeout) {
  ++StoreCalls;
  Store.call(
      call, bootNow() + timeout,
      [this, callback = std::move(callback)](const HttpCallResult &result) {
        Health.recordCall(result,
                          result.Status != 0 &&
                              result.Status < platform::StatusServerError &&
                              result.Status != StatusTooManyRequests,
                          bootNow());
        callback(result);
      });
}

void Leadership::retryLater(std::function<void()> action) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(Loop, RetryDelay);
  timer->async_wait([this, term = Term, timer,
                     action = std::move(action)](const auto & /*ec*/) {
    if (Term == term && term != 0)
      action();
  });
}

void Leadership::tryBecomeLeader(const VmId &self, const Endpoint &address,
                                 StoreRevision replacedTerm) {
  ++Counters.Elections;
  IsElecting = true;
  ElectionEpoch = Store.epoch();
  if (!Store.epochInfo().mayHaveEarlier()) {
    acquireLease(self, address, replacedTerm);
    return;
  }
  platform::StoreTransaction transaction;
  transaction.Writes.push_back({epochKey(ElectionEpoch), self.Value, 0});
  sendStoreCall(
      platform::buildTransactionRequest(transaction),
      [this, self, address, replacedTerm](const HttpCallResult &result) {
        if (result.Status == platform::StatusOk &&
            Store.epoch() == ElectionEpoch)
          acquireLease(self, address, replacedTerm);
        else
          abandonElection("epoch_not_marked");
      });
}

void Leadership::acquireLease(const VmId &self, const Endpoint &address,
                              StoreRevision replacedTerm) {
  const Time sentAt = bootNow();
  sendStoreCall(platform::buildLeaseRequest(LeaderLeaseDuration),
                [this, self, address, sentAt,
                 replacedTerm](const HttpCallResult &result) {
                  if (Store.epoch() != ElectionEpoch) {
                    abandonElection("store_restored");
                    return;
                  }
                  const auto lease = platform::decodeStoreLease(result.Body);
                  if (result.Status != platform::StatusOk || !lease.ok()) {
                    IsElecting = false;
                    return; // Cluster retries while there is no leader
                  }
                  Lease = lease->Id;
                  LeaderLeaseDuration = lease->Term;
                  LeaseValidUntil =
                      sentAt + safeLeaseDuration(LeaderLeaseDuration);
                  writeLeaderKey(self, address, replacedTerm);
                });
}

void Leadership::writeLeaderKey(const VmId &self, const Endpoint &address,
                                StoreRevision replacedTerm) {
  platform::StoreTransaction transaction;
  transaction.Conditions.push_back({std::string(LeaderKey), replacedTerm});
  transaction.Writes.push_back({std::string(LeaderKey),
                                encodeLeaderKey({self, address, ElectionEpoch}),
                                Lease});
  sendStoreCall(platform::buildTransactionRequest(transaction),
                [this](const HttpCallResult &result) {
                  if (Store.epoch() != ElectionEpoch) {
                    abandonElection("store_restored");
                    return;
                  }
                  IsElecting = false;
                  const auto revision = platform::decodeTransactionRevision(
                      result.Body, ElectionEpoch);
                  const bool isWon = result.Status == platform::StatusOk &&
                                     revision.ok() && isLeaseValid(bootNow());
                  if (!isWon) {
                    // Ending the lease deletes the key if it was written.
                    sendStoreCall(platform::buildLeaseEndRequest(Lease),
                                  [](const HttpCallResult &) {});
                    Lease = 0;
                    return;
                  }
                  Term = *revision;
                  AreRangeMapsLoaded = false;
                  RangeLeaders.clear();
                  Maps.clear();
                  logLine(LogPriority::StateChange, bootNow(), "leading",
                          "term={} epoch={} lease={}", counterOf(Term),
                          epochOf(Term), Lease);
                  LeaseRenewalTimer.scheduleBy(
                      bootNow() + LeaderLeaseDuration / RenewalsPerLease);
                  OnLeading(Term);
                  loadRangeMaps();
                });
}

/// A lease of an earlier epoch is not ended: its id may have been given out
/// again.
void Leadership::abandonElection(std::string_view why) {
  logLine(LogPriority::StateChange, bootNow(), "election_abandoned",
          "why={} epoch={}", why, ElectionEpoch);
  IsElecting = false;
  Lease = 0;
}

void Leadership::endForRestoredStore() {
  if (isLeading())
    endLeadership("store_restored", true);
}

void Leadership::renewLease() {
  if (!isLeading())
    return;
  const Time sentAt = bootNow();
  if (!isLeaseValid(sentAt)) {
    endLeadership("lease_ended", true);
    return;
  }
  LeaseRenewalTimer.scheduleBy(sentAt + LeaderLeaseDuration / RenewalsPerLease);
  const auto onResponse = [this, sentAt,
                           term = Term](const HttpCallResult &result) {
    if (Term != term)
      return;
    if (result.Status == platform::StatusOk)
      LeaseValidUntil = std::max(
          LeaseValidUntil, sentAt + safeLeaseDuration(LeaderLeaseDuration));
    else if (result.Status == platform::StatusNotFound)
      endLeadership("lease_lost", false);
    else
      runServices(); // renews grants for longer if the lease is still valid
  };
  sendStoreCall(platform::buildLeaseRenewalRequest(Lease), onResponse,
                LeaseRenewalTimeout);
}

void Leadership::endLeadership(std::string_view why, bool mayResume) {
  logLine(LogPriority::StateChange, bootNow(), "leading_ended",
          "term={} epoch={} why={}", counterOf(Term), epochOf(Term), why);
  Term = 0;
  Lease = 0;
  LeaseValidUntil = Time();
  FormerRangeLeaders.clear();
  if (mayResume)
    FormerRangeLeaders = std::move(RangeLeaders);
  RangeLeaders.clear();
  RunServicesTimer.cancel();
  LeaseRenewalTimer.cancel();
  OnEnded();
}

void Leadership::resign(std::string_view why) {
  if (!isLeading())
    return;
  const std::uint64_t lease = Lease;
  endLeadership(why, false);
  sendStoreCall(platform::buildLeaseEndRequest(lease),
                [](const HttpCallResult &) {});
}

void Leadership::recordKeyRequest(const ServiceId &service, std::uint16_t key) {
  if (const auto it = RangeLeaders.find(service); it != RangeLeaders.end())
    it->second.recordKeyRequest(key);
}

/// Reads all range maps after the election. The read may not return stale data,
/// so it includes all writes of earlier leaders.
void Leadership::loadRangeMaps() {
  sendStoreCall(
      platform::buildListRequest(std::string(RangePrefix), ""),
      [this, term = Term](const HttpCallResult &result) {
        if (Term != term)
          return;
        const auto page = platform::decodeStorePage(result.Body, Store.epoch());
        if (result.Status != platform::StatusOk || !page.ok()) {
          retryLater([this] { loadRangeMaps(); });
          return;
        }
        for (const platform::StoreItem &item : page->Items) {
          const ServiceId service(item.Key.substr(RangePrefix.size()));
          const auto map =
              decodeRangeMap(item.Value, item.Revision, Store.epoch());
          if (map.ok())
            adoptStoredMap(service, *map);
          else
            logLine(LogPriority::StateChange, bootNow(), "ranges_unreadable",
                    "service={} revision={} why={}", service.Value,
                    counterOf(item.Revision),
                    sanitizeForLog(std::string(map.status().message())));
        }
        AreRangeMapsLoaded = true;
        runServices();
      });
}

/// Takes over the stored map of a service. After a restoration of the store
/// other VMs may know a newer map, whose owners are more likely to hold their
/// keys; it is not published until it has been stored again.
void Leadership::adoptStoredMap(const ServiceId &service, const RangeMap &map) {
  if (map.Epoch == Store.epoch()) {
    publish(service, map);
    return;
  }
  RangeMap base = map;
  const RangeMap *known = KnownMaps.find(service);
  const bool isKnownNewer =
      known != nullptr &&
      known->Revision > makeStoreRevision(map.Epoch, counterOf(map.Revision));
  if (isKnownNewer) {
    base = *known;
    base.Epoch = map.Epoch;
    base.Revision = map.Revision;
    base.NextFence = std::max(map.NextFence, known->NextFence);
  }
  logLine(LogPriority::StateChange, bootNow(), "ranges_restored",
          "service={} revision={} map_epoch={} epoch={} rows={} known_newer={}",
          service.Value, counterOf(map.Revision), map.Epoch, Store.epoch(),
          base.Rows.size(), isKnownNewer);
  Maps[service] = std::move(base);
}

void Leadership::publish(const ServiceId &service, const RangeMap &map) {
  const RangeMap before = std::exchange(Maps[service], map);
  OnRangeMapChanged(service, before, map);
}

void Leadership::onRoutingStateChanged(const RouteTable &config) {
  ServicesDividedByKey.clear();
  for (const auto &[service, rules] : config.config().Services)
    if (rules.IsDividedByKey)
      ServicesDividedByKey.insert(service);
  runServices();
}

void Leadership::onUpstreamsChanged() {
  if (isLeading())
    RunServicesTimer.scheduleBy(bootNow() + OrderBatchDelay);
}

std::vector<RangeUpstream> Leadership::rangeUpstreams(const ServiceId &service,
                                                      const RangeMap &map,
                                                      Time now) {
  std::set<UpstreamId> owners;
  for (const RangeRow &row : map.Rows)
    owners.insert(row.Owner);
  double totalWorkUs = 0;
  int measuredCount = 0;
  for (const auto &[id, upstream] : Upstreams.all())
    if (upstream.Entry.Service == service && upstream.Load.processingUs() > 0) {
      totalWorkUs += upstream.Load.processingUs();
      ++measuredCount;
    }
  const double meanProcessingSeconds =
      measuredCount > 0 ? totalWorkUs / measuredCount / MicrosPerSecond
                        : DefaultProcessingSeconds;
  std::vector<RangeUpstream> result;
  bool isAnyWarm = false;
  for (const auto &[id, upstream] : Upstreams.all()) {
    if (upstream.Entry.Service != service)
      continue;
    const bool isDead =
        EndedUpstreamProcesses.contains({id, upstream.Entry.StartedAtMs});
    const bool isWarm = now >= upstream.ColdUntil || owners.contains(id);
    RangeUpstream candidate;
    candidate.Id = id;
    candidate.Address = upstream.Entry.Address;
    candidate.StartedAtMs = upstream.Entry.StartedAtMs;
    candidate.Slots = upstream.Entry.Slots;
    candidate.ProcessingSeconds =
        meanProcessingSeconds * upstream.Load.lastingSlowness();
    candidate.LimitPerS = Upstreams.limitOf(upstream);
    candidate.IsEligible = Upstreams.isUsable(upstream) && !isDead && isWarm &&
                           !isUnreachable(upstream.Entry, now);
    isAnyWarm |= candidate.IsEligible;
    result.push_back(candidate);
  }
  if (!isAnyWarm)
    for (RangeUpstream &candidate : result) {
      const Upstream *upstream = Upstreams.find(candidate.Id);
      candidate.IsEligible = Upstreams.isUsable(*upstream) &&
                             !EndedUpstreamProcesses.contains(
                                 {candidate.Id, candidate.StartedAtMs});
    }
  return result;
}

void Leadership::runServices() {
  const Time now = bootNow();
  if (!isLeading() || !AreRangeMapsLoaded)
    return;
  if (!isLeaseValid(now)) {
    endLeadership("lease_ended", true);
    return;
  }
  for (const ServiceId &service : ServicesDividedByKey)
    runService(service, rangeLeader(service, now), now);
}

/// @return the range leader of @p service; created from the stored map, unless
///   that is older than what this VM knows from its last term
RangeLeader &Leadership::rangeLeader(const ServiceId &service, Time now) {
  if (const auto it = RangeLeaders.find(service); it != RangeLeaders.end())
    return it->second;
  const RangeMap &stored = Maps[service];
  auto former = FormerRangeLeaders.extract(service);
  const bool isResumed = !former.empty() && stored.Epoch < Store.epoch() &&
                         former.mapped().resumeInEpoch(
                             stored.Revision, Store.epochInfo(),
                             Health.recoveredAt() + EntryReappearTimeout, now);
  logLine(LogPriority::StateChange, now, "ranges_adopted",
          "service={} revision={} map_epoch={} epoch={} resumed={}",
          service.Value, counterOf(stored.Revision), stored.Epoch,
          Store.epoch(), isResumed);
  if (isResumed)
    return RangeLeaders.insert(std::move(former)).position->second;
  return RangeLeaders
      .try_emplace(service, Timings, stored, now, Store.epochInfo())
      .first->second;
}

void Leadership::runService(const ServiceId &service, RangeLeader &ranges,
                            Time now) {
  ranges.setStoreUnavailable(Health.isUnavailable(), now);
  ranges.setUpstreams(rangeUpstreams(service, ranges.map(), now), now);
  for (const auto &[id, born] : EndedUpstreamProcesses)
    ranges.markUpstreamDead(id, born);
  const RangeActions actions = ranges.step(now, isLeaseValid(now));
  if (actions.Write)
    writeRangeMap(service, *actions.Write);
  for (const RangeOrder &order : actions.Orders)
    sendOrder(service, order);
  RunServicesTimer.scheduleBy(std::min(actions.WakeAt, now + seconds(1)));
}

void Leadership::writeRangeMap(const ServiceId &service, const RangeMap &map) {
  ++Counters.RangeMapWrites;
  platform::StoreTransaction transaction;
  transaction.Conditions.push_back({rangeMapKey(service), map.Revision});
  transaction.Conditions.push_back({std::string(LeaderKey), Term});
  transaction.Conditions.push_back({epochKey(epochOf(Term) + 1), 0});
  transaction.Writes.push_back({rangeMapKey(service), encodeRangeMap(map), 0});
  sendStoreCall(
      platform::buildTransactionRequest(transaction),
      [this, service, map, term = Term](const HttpCallResult &result) {
        const auto it = RangeLeaders.find(service);
        if (Term != term || it == RangeLeaders.end())
          return;
        const auto revision =
            platform::decodeTransactionRevision(result.Body, Store.epoch());
        if (result.Status != platform::StatusOk || !revision.ok()) {
          logLine(LogPriority::StateChange, bootNow(), "ranges_write_failed",
                  "service={} over_revision={} status={} error={}",
                  service.Value, counterOf(map.Revision), result.Status,
                  sanitizeForLog(result.Error));
          readRangeMap(service);
          return;
        }
        it->second.onWriteApplied(*revision);
        RangeMap stored = map;
        stored.Revision = *revision;
        logLine(LogPriority::StateChange, bootNow(), "ranges_written",
                "service={} revision={} rows={} next_fence={}", service.Value,
                counterOf(*revision), stored.Rows.size(), stored.NextFence);
        publish(service, stored);
        runServices();
      });
}

/// Reads a service's range map to determine whether a failed write was
/// executed.
void Leadership::readRangeMap(const ServiceId &service) {
  sendStoreCall(platform::buildListRequest(rangeMapKey(service), ""),
                [this, service, term = Term](const HttpCallResult &result) {
                  const auto it = RangeLeaders.find(service);
                  if (Term != term || it == RangeLeaders.end())
                    return;
                  const auto page =
                      platform::decodeStorePage(result.Body, Store.epoch());
                  if (result.Status != platform::StatusOk || !page.ok()) {
                    retryLater([this, service] { readRangeMap(service); });
                    return;
                  }
                  RangeMap stored;
                  for (const platform::StoreItem &item : page->Items)
                    if (item.Key == rangeMapKey(service))
                      if (auto map = decodeRangeMap(item.Value, item.Revision,
                                                    Store.epoch());
                          map.ok())
                        stored = *std::move(map);
                  it->second.onWriteFailed(stored, bootNow());
                  if (stored.Epoch == Store.epoch() &&
                      stored.Revision > Maps[service].Revision)
                    publish(service, stored);
                  runServices();
                });
}

void Leadership::sendOrder(const ServiceId &service, const RangeOrder &order) {
  ++Counters.OrdersSent;
  const bool isGrant = order.Kind == OrderKind::Grant;
  const platform::PlatformRequest call =
      isGrant ? platform::buildGrantRequest(order.Range, order.Fence,
                                            order.GrantDuration, order.Handover)
              : platform::buildReleaseRequest(order.Range, order.Fence);
  const Upstream *upstream = Upstreams.find(order.Upstream);
  const UpstreamProcess process{
      order.Upstream, upstream == nullptr ? 0 : upstream->Entry.StartedAtMs};
  Calls.call(order.Address, call, order.Upstream.Value,
             bootNow() + (isGrant ? Timings.OrderDeadline : ReleaseTimeout),
             [this, service, order, process,
              term = Term](const HttpCallResult &result) {
               if (Term == term)
                 onOrder(service, order, process, result);
             });
}

/// Marks the process that an order was sent to as ended, so that it no longer
/// holds any keys.
void Leadership::markUpstreamDead(const UpstreamProcess &process, Time now,
                                  std::string_view why) {
  const Upstream *upstream = Upstreams.find(process.Id);
  if (upstream == nullptr ||
      upstream->Entry.StartedAtMs != process.StartedAtMs ||
      EndedUpstreamProcesses.size() > MaxEndedUpstreamProcesses)
    return;
  if (EndedUpstreamProcesses.insert({process.Id, process.StartedAtMs}).second)
    logLine(LogPriority::StateChange, now, "upstream_dead",
            "upstream={} born={} entry_rev={} why={}", process.Id.Value,
            process.StartedAtMs, upstream->EntryRevision, why);
}

void Leadership::recordDelivery(const UpstreamProcess &process,
                                bool isDelivered, Time now) {
  std::erase_if(Undelivered, [now](const auto &entry) {
    return now >= entry.second.ForgetAt;
  });
  const std::pair key{process.Id, process.StartedAtMs};
  if (isDelivered) {
    Undelivered.erase(key);
    return;
  }
  UndeliveredOrders &orders =
      Undelivered.try_emplace(key, now + UndeliveredConfirmTime).first->second;
  orders.ForgetAt = now + UnreachableRetryDelay;
  if (now >= orders.ConfirmAt && !std::exchange(orders.IsUnreachable, true))
    logLine(LogPriority::StateChange, now, "upstream_unreachable",
            "upstream={} born={}", process.Id.Value, process.StartedAtMs);
}

bool Leadership::isUnreachable(const UpstreamEntry &entry, Time now) const {
  const auto it = Undelivered.find({entry.Id, entry.StartedAtMs});
  return it != Undelivered.end() && it->second.IsUnreachable &&
         now < it->second.ForgetAt;
}

void Leadership::onOrder(const ServiceId &service, const RangeOrder &order,
                         const UpstreamProcess &process,
                         const HttpCallResult &result) {
  const auto it = RangeLeaders.find(service);
  if (it == RangeLeaders.end())
    return;
  const Time now = bootNow();
  OrderOutcome outcome = OrderOutcome::NotDelivered;
  if (result.Status == platform::StatusOk)
    outcome = OrderOutcome::Accepted;
  else if (result.Status == platform::StatusHigherFence)
    outcome = OrderOutcome::HigherFence;
  else if ((result.Status == 0 && result.IsDelivered) || result.Status >= 500)
    outcome = OrderOutcome::Unanswered;
  ++Counters.Outcomes[static_cast<std::size_t>(outcome)];
  const bool isDifferentProcess =
      result.Status == StatusMisdirected || result.Status == StatusBadRequest;
  recordDelivery(process, result.IsDelivered, now);
  if (isDifferentProcess)
    markUpstreamDead(process, now, "address_in_use_by_another");
  else if (platform::readResponseMetadata(result.Status, result.Headers)
               .IsLeaving)
    OnLeavingAnnounced(process);
  const bool isRoutine =
      outcome == OrderOutcome::Accepted && order.Kind == OrderKind::Grant;
  logLine(isRoutine ? LogPriority::Routine : LogPriority::StateChange, now,
          "order",
          "kind={} service={} upstream={} from={} to={} fence={} hold_ms={} "
          "outcome={} status={} error={} map_revision={}",
          OrderKindNames[static_cast<std::size_t>(order.Kind)], service.Value,
          order.Upstream.Value, order.Range.From, order.Range.To, order.Fence,
          std::chrono::duration_cast<milliseconds>(order.GrantDuration).count(),
          OrderOutcomeNames[static_cast<std::size_t>(outcome)], result.Status,
          sanitizeForLog(result.Error), counterOf(it->second.map().Revision));
  it->second.onOrder(order.Id, outcome,
                     platform::readHandoverToken(result.Headers), now);
  // Many orders complete at about the same time; one call of runServices()
  // processes them all.
  if (!isRoutine)
    RunServicesTimer.scheduleBy(now + OrderBatchDelay);
}

} // namespace waxwing
