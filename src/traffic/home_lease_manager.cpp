/**
 * @file home_lease_manager.cpp
 * Adopts, assigns, renews and releases home leases.
 */
#include "traffic/home_lease_manager_base.h"

#include <algorithm>
#include <xxhash.h>

namespace waxwing {
namespace {

/// A router is live for this many response timeouts after its last request.
constexpr int LivenessTimeouts = 2;
/// Extra leases that a router in the upstream's failure domain may hold
/// before a router in another domain is chosen.
constexpr std::size_t ForeignDomainPenalty = 2;

/// Orders routers with equal cost; the same on every controller.
std::uint64_t tieBreakHash(const HomeResource &resource, const VmId &router) {
  const std::string name = std::visit(
      [](const auto &id) {
        if constexpr (std::is_same_v<std::decay_t<decltype(id.Value)>,
                                     std::string>)
          return id.Value;
        else
          return std::to_string(id.Value);
      },
      resource);
  const std::string text = name + "@" + router.Value;
  return XXH64(text.data(), text.size(), 0);
}

} // namespace

HomeLeaseManager::HomeLeaseManager(ServiceId service, HomeLeaseTiming timing)
    : Service(std::move(service)), Timing(timing) {}

void HomeLeaseManager::setResources(std::vector<HomeResource> resources,
                                    std::map<UpstreamId, DomainId> domains) {
  Domains = std::move(domains);
  Resources = std::move(resources);
  std::ranges::sort(Resources);
}

void HomeLeaseManager::setLeadership(const ServiceLeadership &leadership,
                                     Time now) {
  const bool wasLeading =
      Leadership.IsLeader && Leadership.HaveEarlierConfirmationsExpired;
  Leadership = leadership;
  const bool isLeading =
      Leadership.IsLeader && Leadership.HaveEarlierConfirmationsExpired;
  if (!Leadership.IsLeader) {
    // Another leader may have granted leases that make this state stale.
    AssignmentStartsAt.reset();
    Leases.clear();
    Unleased.clear();
    FormerHolders.clear();
    Published.clear();
    return;
  }
  // The first leader has no earlier leases to wait for and only waits until
  // every live router has sent a request. Any other leader waits until all
  // earlier leases have expired.
  if (isLeading && !wasLeading)
    AssignmentStartsAt =
        now + (Leadership.IsFirstLeader
                   ? Timing.ResponseTimeout + Timing.RequestPeriod
                   : addClockDrift(Timing.Term, Timing.MaxDriftPpm));
}

std::optional<HomeLeaseResponse>
HomeLeaseManager::handleRequest(const HomeLeaseRequest &request, Time now) {
  if (!Leadership.IsLeader || !Leadership.IsConfirmed || !AssignmentStartsAt)
    return std::nullopt;
  Router &router = Routers[request.Router];
  if (router.Process == request.Process &&
      request.RequestNumber <= router.RequestNumber)
    return std::nullopt;
  router = {request.Process,
            request.Domain,
            request.ForwardEndpoint,
            request.RequestNumber,
            now,
            request.IsLeaving};
  dropExpired(now);
  forgetSilentRouters(now);
  dropReleased(request);
  adoptReportedLeases(request, now);
  if (mayAssign(now)) {
    releaseExcess(request.Router, now);
    assignUnleased(request.Router, now);
  }
  return makeResponse(request, now);
}

bool HomeLeaseManager::mayAssign(Time now) const {
  return AssignmentStartsAt && now >= *AssignmentStartsAt;
}

bool HomeLeaseManager::isLive(const Router &router, Time now) const {
  return now < router.LastRequestAt + Timing.ResponseTimeout * LivenessTimeouts;
}

void HomeLeaseManager::adoptReportedLeases(const HomeLeaseRequest &request,
                                           Time now) {
  for (const HeldLease &held : request.HeldLeases) {
    if (!std::ranges::binary_search(Resources, held.Resource))
      continue;
    const auto it = Leases.find(held.Resource);
    if (it == Leases.end()) {
      if (held.IsExpired)
        FormerHolders.try_emplace(held.Resource, request.Router);
      // A lease of an earlier leader is adopted only before this manager
      // assigns resources; all such leases have expired when it does.
      else if (!mayAssign(now))
        Leases[held.Resource] = {
            request.Router, request.Process, now, held.IsWarm, true, false};
      continue;
    }
    if (it->second.Router == request.Router &&
        it->second.Process == request.Process)
      it->second.IsWarm = held.IsWarm;
  }
}

void HomeLeaseManager::dropReleased(const HomeLeaseRequest &request) {
  std::erase_if(Leases, [&](const auto &entry) {
    const auto &[resource, lease] = entry;
    const bool isRequesters =
        lease.Router == request.Router && lease.Process == request.Process;
    const bool isReported =
        std::ranges::any_of(request.HeldLeases, [&](const HeldLease &it) {
          return it.Resource == resource;
        });
    if (!isRequesters || isReported)
      return false;
    Unleased[resource] = {lease.IsWarm, true};
    return true;
  });
}

void HomeLeaseManager::dropExpired(Time now) {
  std::erase_if(Leases, [&](const auto &entry) {
    const auto &[resource, lease] = entry;
    if (now < lease.EndsAt || !mayAssign(now))
      return false;
    Unleased[resource] = {lease.IsWarm, false};
    return true;
  });
  std::erase_if(Leases, [&](const auto &entry) {
    return now >= entry.second.EndsAt &&
           !std::ranges::binary_search(Resources, entry.first);
  });
}

void HomeLeaseManager::assignUnleased(const VmId &to, Time now) {
  const Router &router = Routers.at(to);
  LeaseCounts counts = countLeases();
  for (const HomeResource &resource : Resources) {
    if (Leases.contains(resource) || chooseRouter(resource, counts, now) != to)
      continue;
    const auto unleased = Unleased.find(resource);
    const bool isKnown = unleased != Unleased.end();
    // Under the first leader, no router can have held a resource before its
    // first assignment.
    const bool isVacant =
        isKnown ? unleased->second.IsVacant : Leadership.IsFirstLeader;
    const bool isWarm = isKnown && unleased->second.IsWarm;
    Leases[resource] = {to, router.Process, now, isWarm, isVacant, false};
    ++counts.of(to, resource);
    FormerHolders.erase(resource);
    if (isKnown)
      Unleased.erase(unleased);
  }
}

void HomeLeaseManager::releaseExcess(const VmId &from, Time now) {
  LeaseCounts counts = countLeases();
  for (auto &[resource, lease] : Leases) {
    if (lease.Router != from || lease.IsReleasing)
      continue;
    const auto better = chooseRouter(resource, counts, now);
    if (!better || *better == from)
      continue;
    --counts.of(from, resource);
    const bool isExcess =
        leaseCost(from, Routers.at(from), resource, counts) >
        leaseCost(*better, Routers.at(*better), resource, counts);
    if (!isExcess && !Routers.at(from).IsLeaving) {
      ++counts.of(from, resource);
      continue;
    }
    lease.IsReleasing = true;
    ++counts.of(*better, resource);
  }
}

void HomeLeaseManager::forgetSilentRouters(Time now) {
  std::erase_if(Routers, [&](const auto &entry) {
    const bool hasLease = std::ranges::any_of(Leases, [&](const auto &it) {
      return it.second.Router == entry.first;
    });
    return !isLive(entry.second, now) && !hasLease;
  });
}

HomeLeaseManager::LeaseCounts HomeLeaseManager::countLeases() const {
  LeaseCounts counts;
  for (const auto &[resource, lease] : Leases)
    if (!lease.IsReleasing)
      ++counts.of(lease.Router, resource);
  return counts;
}

std::size_t HomeLeaseManager::leaseCost(const VmId &vm, const Router &router,
                                        const HomeResource &resource,
                                        LeaseCounts &counts) const {
  const auto *upstream = std::get_if<UpstreamId>(&resource);
  const auto domain =
      upstream == nullptr ? Domains.end() : Domains.find(*upstream);
  const bool isInOtherDomain =
      domain != Domains.end() && domain->second != router.Domain;
  return counts.of(vm, resource) + (isInOtherDomain ? ForeignDomainPenalty : 0);
}

std::optional<VmId> HomeLeaseManager::chooseRouter(const HomeResource &resource,
                                                   LeaseCounts &counts,
                                                   Time now) const {
  const auto isEligible = [&](const Router &router) {
    return !router.IsLeaving && isLive(router, now);
  };
  if (const auto former = FormerHolders.find(resource);
      former != FormerHolders.end()) {
    const auto router = Routers.find(former->second);
    if (router != Routers.end() && isEligible(router->second))
      return former->second;
  }
  std::optional<VmId> best;
  std::pair<std::size_t, std::uint64_t> bestRank;
  for (const auto &[vm, router] : Routers) {
    if (!isEligible(router))
      continue;
    const std::pair rank(leaseCost(vm, router, resource, counts),
                         tieBreakHash(resource, vm));
    if (!best || rank < bestRank) {
      best = vm;
      bestRank = rank;
    }
  }
  return best;
}

HomeLeaseResponse
HomeLeaseManager::makeResponse(const HomeLeaseRequest &request, Time now) {
  HomeLeaseResponse response{Service,         request.Router,
                             request.Process, request.RequestNumber,
                             Timing.Term,     {}};
  for (auto &[resource, lease] : Leases) {
    if (lease.Router != request.Router || lease.Process != request.Process)
      continue;
    lease.EndsAt = now + addClockDrift(Timing.Term, Timing.MaxDriftPpm);
    response.Leases.push_back(
        {resource, lease.IsWarm, lease.IsVacant, lease.IsReleasing});
  }
  return response;
}

std::optional<HomesUpdate> HomeLeaseManager::takeUpdate(Time now) {
  if (!Leadership.IsLeader || !Leadership.IsConfirmed || !mayAssign(now))
    return std::nullopt;
  std::vector<HomeAssignment> rows;
  for (const auto &[resource, lease] : Leases)
    if (now < lease.EndsAt)
      rows.push_back(
          {resource, lease.Router, Routers.at(lease.Router).ForwardEndpoint});
  if (rows == Published)
    return std::nullopt;
  Published = rows;
  return HomesUpdate{
      Service, {Leadership.RecordRevision, ++Sequence}, std::move(rows)};
}

} // namespace waxwing
