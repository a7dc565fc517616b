/**
 * @file routing_state.cpp
 * Entries of one process are ordered by their sequence, processes of one
 * upstream by their start. What a restored store lacks or shows otherwise waits
 * until the writers had time to write again.
 */
#include "routing/routing_state.h"

#include <algorithm>
#include <array>
#include <utility>

namespace waxwing {
namespace {

/// Removals within this time after the store recovered may be entries that
/// expired only because it was unavailable.
constexpr Duration UncertainExpiryPeriod = milliseconds(2500);
/// Operators have written the domains taken out again within 2 s after the
/// store's return; the rest is time for the change to arrive.
constexpr Duration DomainRewriteTimeout = milliseconds(3000);
/// An entry that the store still lists after this time is renewed by a running
/// process. The entry of a process that ended expires sooner.
constexpr Duration ListedAgainDelay = seconds(10);
/// Removed processes are remembered for this time, up to this number. A copy
/// from which a store is restored is much younger.
constexpr Duration RemovedProcessRetention = std::chrono::minutes(10);
constexpr std::size_t MaxRemovedProcesses = 4096;
/// Pause between checks for due changes while the store is unavailable.
constexpr Duration UnavailableRecheckInterval = milliseconds(200);

/// Names of the results, by value.
constexpr std::array<std::string_view, 3> ChangeResultNames{
    "applied", "deferred", "ignored"};

/// @return when an entry first seen at @p seenAt is known to be renewed
Time listedAgainAt(Time seenAt, const StoreAvailability &store) {
  return std::max(seenAt, store.RecoveredAt) + ListedAgainDelay;
}

} // namespace

std::string_view changeResultName(ChangeResult result) {
  return ChangeResultNames[static_cast<std::size_t>(result)];
}

std::optional<RoutingState::KnownProcess>
RoutingState::findKnown(const UpstreamId &id, Time now) const {
  if (const Upstream *upstream = Upstreams.find(id); upstream != nullptr) {
    const UpstreamEntry &entry = upstream->Entry;
    return KnownProcess{entry.StartedAtMs, entry.Sequence, entry.IsDraining,
                        upstream->IsListed};
  }
  const auto it = RemovedProcesses.find(id);
  if (it == RemovedProcesses.end() ||
      it->second.RemovedAt + RemovedProcessRetention < now)
    return std::nullopt;
  return it->second.Process;
}

bool RoutingState::isOutdated(const UpstreamEntry &entry, ChangeOrigin origin,
                              const KnownProcess &known) {
  if (entry.StartedAtMs != known.StartedAtMs)
    return entry.StartedAtMs < known.StartedAtMs;
  if (entry.Sequence < known.Sequence)
    return true;
  if (origin != ChangeOrigin::Reload)
    return false;
  // Heartbeats raise the stored sequence without a change that a VM is told of,
  // so a higher one may also be from before the removal.
  if (!known.IsListed)
    return true;
  return entry.Sequence == known.Sequence &&
         (known.IsDraining || !entry.IsDraining);
}

ChangeResult RoutingState::onUpstreamEntry(UpstreamEntry entry,
                                           StoreRevision revision,
                                           ChangeOrigin origin, Time now) {
  const auto known = findKnown(entry.Id, now);
  const bool isKnownProcess = known && known->StartedAtMs == entry.StartedAtMs;
  if (known && isOutdated(entry, origin, *known)) {
    if (known->IsListed && isKnownProcess) {
      DeferredRemovals.erase(entry.Id);
      HeldEntries.erase(entry.Id);
      return ChangeResult::Ignored;
    }
    // The restored store lacks the entry of the known process.
    if (known->IsListed && origin == ChangeOrigin::Reload)
      DeferredRemovals[entry.Id] = revision;
    const UpstreamId id = entry.Id;
    HeldEntries[id] = {std::move(entry), revision, now};
    return ChangeResult::Deferred;
  }
  // Without a newer sequence, the order of the two entries is not certain.
  if (isKnownProcess && entry.Sequence == known->Sequence)
    entry.IsDraining |= known->IsDraining;
  list(entry, revision, now);
  return ChangeResult::Applied;
}

void RoutingState::list(const UpstreamEntry &entry, StoreRevision revision,
                        Time now) {
  DeferredRemovals.erase(entry.Id);
  HeldEntries.erase(entry.Id);
  RemovedProcesses.erase(entry.Id);
  Upstreams.apply(entry, revision, now);
}

bool RoutingState::unlist(const UpstreamId &id, Time now) {
  const Upstream *upstream = Upstreams.find(id);
  if (upstream == nullptr || !upstream->IsListed)
    return false;
  const UpstreamEntry &entry = upstream->Entry;
  std::erase_if(RemovedProcesses, [now](const auto &removed) {
    return removed.second.RemovedAt + RemovedProcessRetention < now;
  });
  if (RemovedProcesses.size() >= MaxRemovedProcesses)
    RemovedProcesses.erase(
        std::ranges::min_element(RemovedProcesses, {}, [](const auto &removed) {
          return removed.second.RemovedAt;
        }));
  RemovedProcesses[id] = {
      {entry.StartedAtMs, entry.Sequence, entry.IsDraining, false}, now};
  Upstreams.markUnlisted(id, now);
  return true;
}

ChangeResult RoutingState::onUpstreamLoss(const UpstreamId &id, EntryLoss loss,
                                          StoreRevision revision,
                                          ChangeOrigin origin,
                                          const StoreAvailability &store,
                                          Time now) {
  HeldEntries.erase(id);
  const bool mayBeSpurious =
      (loss == EntryLoss::Removed || origin == ChangeOrigin::Reload) &&
      store.RecoveredAt != Time() &&
      (store.IsUnavailable || now < store.RecoveredAt + UncertainExpiryPeriod);
  const Upstream *upstream = Upstreams.find(id);
  if (mayBeSpurious && upstream != nullptr && upstream->IsListed) {
    DeferredRemovals[id] = revision;
    return ChangeResult::Deferred;
  }
  DeferredRemovals.erase(id);
  return unlist(id, now) ? ChangeResult::Applied : ChangeResult::Ignored;
}

ChangeResult RoutingState::onDomainChange(const DomainId &domain,
                                          bool isEvacuated, ChangeOrigin origin,
                                          Time now) {
  DeferredDomains.erase(domain);
  if (Upstreams.evacuated().contains(domain) == isEvacuated)
    return ChangeResult::Ignored;
  if (origin == ChangeOrigin::Reload) {
    DeferredDomains[domain] = isEvacuated;
    return ChangeResult::Deferred;
  }
  setDomainEvacuated(domain, isEvacuated, now);
  return ChangeResult::Applied;
}

void RoutingState::setDomainEvacuated(const DomainId &domain, bool isEvacuated,
                                      Time now) {
  std::set<DomainId> evacuated = Upstreams.evacuated();
  if (isEvacuated)
    evacuated.insert(domain);
  else
    evacuated.erase(domain);
  Upstreams.setEvacuatedDomains(std::move(evacuated));
  if (!isEvacuated && Config != nullptr)
    Upstreams.markDomainCold(domain, Config->config().Services, now);
}

ChangeResult RoutingState::onConfig(TrafficConfig config, ChangeOrigin origin) {
  if (Config != nullptr) {
    const TrafficConfig &current = Config->config();
    if (config.Version < current.Version || config == current ||
        (config.Version == current.Version && origin == ChangeOrigin::Reload))
      return ChangeResult::Ignored;
  }
  Config = std::make_shared<const RouteTable>(std::move(config));
  return ChangeResult::Applied;
}

Time RoutingState::nextDueAt(const StoreAvailability &store, Time now) const {
  Time due = Time::max();
  if (!DeferredRemovals.empty())
    due = std::min(due, store.RecoveredAt + EntryReappearTimeout);
  if (!DeferredDomains.empty())
    due = std::min(due, store.RecoveredAt + DomainRewriteTimeout);
  for (const auto &[id, held] : HeldEntries)
    due = std::min(due, listedAgainAt(held.SeenAt, store));
  return store.IsUnavailable && due != Time::max()
             ? std::max(now + UnavailableRecheckInterval, due)
             : due;
}

DueChanges RoutingState::applyDue(const StoreAvailability &store, Time now) {
  DueChanges result;
  if (store.IsUnavailable)
    return result;
  if (now >= store.RecoveredAt + EntryReappearTimeout)
    for (const auto &[id, revision] : std::exchange(DeferredRemovals, {}))
      if (unlist(id, now))
        result.Removals.push_back({id, revision});
  if (now >= store.RecoveredAt + DomainRewriteTimeout)
    for (const auto &[domain, isEvacuated] :
         std::exchange(DeferredDomains, {})) {
      setDomainEvacuated(domain, isEvacuated, now);
      result.Domains.push_back({domain, isEvacuated});
    }
  std::vector<HeldEntry> due;
  for (const auto &[id, held] : HeldEntries)
    if (now >= listedAgainAt(held.SeenAt, store))
      due.push_back(held);
  for (HeldEntry &held : due) {
    const auto known = findKnown(held.Entry.Id, now);
    if (known && known->StartedAtMs == held.Entry.StartedAtMs)
      held.Entry.IsDraining |= known->IsDraining;
    list(held.Entry, held.Revision, now);
    result.ListedAgain.push_back(held.Entry.Id);
  }
  return result;
}

} // namespace waxwing
