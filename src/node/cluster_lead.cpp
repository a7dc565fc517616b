/**
 * @file cluster_lead.cpp
 * The leader's duties: maps in the store, orders to upstreams.
 */
#include "key_orders.h"
#include "node/cluster.h"
#include "node/node_log.h"

#include <algorithm>

namespace waxwing {
namespace {

constexpr Duration CallTimeout = milliseconds(1500);
constexpr Duration GrantTimeout = milliseconds(1000);
/// A release is answered when the running work on its keys has ended.
constexpr Duration ReleaseTimeout = milliseconds(3500);
constexpr Duration ReadRetry = milliseconds(200);
/// Connections refused for this long prove that the process has ended.
constexpr Duration RefusedForDead = milliseconds(250);
/// Work time that is assumed before any was seen, s.
constexpr double DefaultWorkSeconds = 0.15;
/// Answers of a process that is not the one the order names: its address was
/// given to another upstream, which happens only after the first has ended.
constexpr int StatusMisdirected = 421;
constexpr int StatusBadRequest = 400;
/// Lives that are remembered as ended.
constexpr std::size_t MaxDeadLives = 4096;

std::string mapKey(const ServiceId &service) {
  return std::string(Cluster::RangePrefix) + service.Value;
}

} // namespace

/// Reads all maps after the election: what was written before is in them.
void Cluster::loadMaps() {
  const std::uint64_t term = LeaderRevision;
  storeCall(platform::rangeCall(std::string(RangePrefix), ""), CallTimeout,
            [this, term](const CallResult &result) {
              if (LeaderRevision != term)
                return;
              const auto page = platform::decodePage(result.Body);
              if (result.Status != platform::StatusOk || !page.ok()) {
                const auto timer = std::make_shared<boost::asio::steady_timer>(
                    Loop, ReadRetry);
                timer->async_wait([this, term, timer](const auto &) {
                  if (LeaderRevision == term)
                    loadMaps();
                });
                return;
              }
              for (const platform::StoreItem &item : page->Items)
                onStoreChange({item.Key, item.Value, item.Revision});
              AreMapsLoaded = true;
              lead();
            });
}

void Cluster::onBeliefsChanged(const RouteTable &config) {
  Divided.clear();
  for (const auto &[service, rules] : config.config().Services)
    if (rules.IsDividedByKey)
      Divided.insert(service);
  if (isLeader() && AreMapsLoaded)
    lead();
}

std::vector<RangeUpstream> Cluster::rangeUpstreams(const ServiceId &service,
                                                   const RangeMap &map,
                                                   Time now) {
  std::set<UpstreamId> owners;
  for (const RangeRow &row : map.Rows)
    owners.insert(row.Owner);
  double work = 0;
  int known = 0;
  for (const auto &[id, upstream] : Upstreams.all())
    if (upstream.Entry.Service == service && upstream.Load.workUs() > 0) {
      work += upstream.Load.workUs();
      ++known;
    }
  constexpr double MicrosPerSecond = 1e6;
  const double usualWork =
      known > 0 ? work / known / MicrosPerSecond : DefaultWorkSeconds;
  std::vector<RangeUpstream> result;
  bool isAnyWarm = false;
  for (const auto &[id, upstream] : Upstreams.all()) {
    if (upstream.Entry.Service != service)
      continue;
    const bool isDead = DeadLives.contains({id, upstream.Entry.Born});
    const bool isWarm = now >= upstream.ColdUntil || owners.contains(id);
    RangeUpstream view;
    view.Id = id;
    view.Address = upstream.Entry.Address;
    view.Born = upstream.Entry.Born;
    view.Slots = upstream.Entry.Slots;
    view.WorkSeconds = usualWork * upstream.Load.lastingSlowness();
    view.IsEligible = Upstreams.isUsable(upstream) && !isDead && isWarm;
    isAnyWarm |= view.IsEligible;
    result.push_back(view);
  }
  if (!isAnyWarm)
    for (RangeUpstream &view : result) {
      const Upstream *upstream = Upstreams.find(view.Id);
      view.IsEligible = Upstreams.isUsable(*upstream) &&
                        !DeadLives.contains({view.Id, view.Born});
    }
  return result;
}

void Cluster::lead() {
  const Time now = bootNow();
  if (!isLeader() || !AreMapsLoaded)
    return;
  if (!isLeaseValid(now)) {
    stepDown("lease_ended");
    return;
  }
  for (const ServiceId &service : Divided) {
    const auto it =
        Leaderships
            .try_emplace(service,
                         Leadership{RangeLeader(Terms, Maps[service], now)})
            .first;
    runLeadership(service, it->second, now);
  }
}

void Cluster::runLeadership(const ServiceId &service, Leadership &leadership,
                            Time now) {
  RangeLeader &ranges = leadership.Ranges;
  ranges.setStoreTrouble(Feed.isTroubled());
  ranges.setUpstreams(rangeUpstreams(service, ranges.map(), now), now);
  for (const auto &[id, born] : DeadLives)
    ranges.noteDead(id, born);
  const RangeActions actions = ranges.step(now, isLeaseValid(now));
  if (actions.Write)
    writeMap(service, *actions.Write);
  for (const RangeOrder &order : actions.Orders)
    sendOrder(service, order);
  LeadTimer.setBy(std::min(actions.WakeAt, now + seconds(1)));
}

void Cluster::writeMap(const ServiceId &service, const RangeMap &map) {
  ++Counters.MapsWritten;
  platform::StoreTransaction transaction;
  transaction.Conditions.push_back({mapKey(service), map.Revision});
  transaction.Conditions.push_back({std::string(LeaderKey), LeaderRevision});
  transaction.Writes.push_back({mapKey(service), encodeRangeMap(map), 0});
  const std::uint64_t term = LeaderRevision;
  storeCall(
      platform::transactionCall(transaction), CallTimeout,
      [this, service, map, term](const CallResult &result) {
        const auto it = Leaderships.find(service);
        if (LeaderRevision != term || it == Leaderships.end())
          return;
        const auto revision = platform::decodeRevision(result.Body);
        if (result.Status == platform::StatusOk && revision.ok()) {
          it->second.Ranges.onWritten(*revision);
          Maps[service] = map;
          Maps[service].Revision = *revision;
          OnRanges(service, Maps[service]);
          logLine(LineWeight::State, bootNow(), "ranges_written",
                  "service={} revision={} rows={} next_fence={}", service.Value,
                  *revision, map.Rows.size(), map.NextFence);
          lead();
          return;
        }
        logLine(LineWeight::State, bootNow(), "ranges_write_failed",
                "service={} over_revision={} status={} error={}", service.Value,
                map.Revision, result.Status, logSafe(result.Error));
        readMap(service);
      });
}

/// Finds out what became of a write.
void Cluster::readMap(const ServiceId &service) {
  const std::uint64_t term = LeaderRevision;
  storeCall(platform::rangeCall(mapKey(service), ""), CallTimeout,
            [this, service, term](const CallResult &result) {
              const auto it = Leaderships.find(service);
              if (LeaderRevision != term || it == Leaderships.end())
                return;
              const auto page = platform::decodePage(result.Body);
              if (result.Status != platform::StatusOk || !page.ok()) {
                const auto timer = std::make_shared<boost::asio::steady_timer>(
                    Loop, ReadRetry);
                timer->async_wait([this, service, term, timer](const auto &) {
                  if (LeaderRevision == term)
                    readMap(service);
                });
                return;
              }
              RangeMap stored;
              for (const platform::StoreItem &item : page->Items)
                if (item.Key == mapKey(service)) {
                  auto map = decodeRangeMap(item.Value, item.Revision);
                  if (map.ok())
                    stored = *std::move(map);
                }
              it->second.Ranges.onStored(stored, bootNow());
              if (stored.Revision > Maps[service].Revision) {
                Maps[service] = stored;
                OnRanges(service, stored);
              }
              lead();
            });
}

void Cluster::sendOrder(const ServiceId &service, const RangeOrder &order) {
  ++Counters.OrdersSent;
  const bool isGrant = order.Kind == OrderKind::Grant;
  const platform::Call call =
      isGrant ? platform::grantCall(order.Range, order.Fence, order.Hold,
                                    order.Handover)
              : platform::releaseCall(order.Range, order.Fence);
  const std::uint64_t term = LeaderRevision;
  Calls.call(order.Address, call, order.Upstream.Value,
             bootNow() + (isGrant ? GrantTimeout : ReleaseTimeout),
             [this, service, order, term](const CallResult &result) {
               if (LeaderRevision == term)
                 onOrder(service, order, result);
             });
}

/// Connections that are refused for some time prove that the process ended.
void Cluster::noteRefusal(const RangeOrder &order, Time now) {
  const Upstream *upstream = Upstreams.find(order.Upstream);
  if (upstream == nullptr)
    return;
  const std::pair life{order.Upstream, upstream->Entry.Born};
  const Time since = RefusedSince.try_emplace(life, now).first->second;
  if (now >= since + RefusedForDead)
    noteDead(order, now, "connections_refused");
}

/// The life that the order was meant for has ended and holds nothing.
void Cluster::noteDead(const RangeOrder &order, Time now,
                       std::string_view why) {
  const Upstream *upstream = Upstreams.find(order.Upstream);
  if (upstream == nullptr || upstream->Entry.Address != order.Address ||
      DeadLives.size() > MaxDeadLives)
    return;
  if (DeadLives.insert({order.Upstream, upstream->Entry.Born}).second)
    logLine(LineWeight::State, now, "upstream_dead",
            "upstream={} born={} entry_rev={} why={}", order.Upstream.Value,
            upstream->Entry.Born, upstream->EntryRevision, why);
}

void Cluster::onOrder(const ServiceId &service, const RangeOrder &order,
                      const CallResult &result) {
  const auto it = Leaderships.find(service);
  if (it == Leaderships.end())
    return;
  const Time now = bootNow();
  OrderOutcome outcome = OrderOutcome::NotDelivered;
  if (result.Status == platform::StatusOk)
    outcome = OrderOutcome::Accepted;
  else if (result.Status == platform::StatusHigherFence)
    outcome = OrderOutcome::HigherFence;
  else if (result.Status == 0 && result.IsDelivered)
    outcome = OrderOutcome::Unanswered;
  else if (result.Status >= 500)
    outcome = OrderOutcome::Unanswered;
  ++Counters.Outcomes[static_cast<std::size_t>(outcome)];
  const bool isElsewhere = result.Status == StatusMisdirected ||
                           result.Status == StatusBadRequest;
  if (isElsewhere)
    noteDead(order, now, "address_in_use_by_another");
  else if (result.IsRefused)
    noteRefusal(order, now);
  else if (const Upstream *upstream = Upstreams.find(order.Upstream))
    RefusedSince.erase({order.Upstream, upstream->Entry.Born});
  const bool isRoutine =
      outcome == OrderOutcome::Accepted && order.Kind == OrderKind::Grant;
  logLine(isRoutine ? LineWeight::Routine : LineWeight::State, now, "order",
          "kind={} service={} upstream={} from={} to={} fence={} hold_ms={} "
          "outcome={} status={} error={} map_revision={}",
          OrderKindNames[static_cast<std::size_t>(order.Kind)], service.Value,
          order.Upstream.Value, order.Range.From, order.Range.To, order.Fence,
          std::chrono::duration_cast<milliseconds>(order.Hold).count(),
          OrderOutcomeNames[static_cast<std::size_t>(outcome)], result.Status,
          logSafe(result.Error), it->second.Ranges.map().Revision);
  it->second.Ranges.onOrder(order.Id, outcome,
                            platform::handoverOf(result.Headers), now);
  if (!isRoutine)
    runLeadership(service, it->second, now);
}

} // namespace waxwing
