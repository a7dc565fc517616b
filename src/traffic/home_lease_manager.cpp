/**
 * @file home_lease_manager.cpp
 * Adoption, assignment, renewal and release of home leases.
 */
#include "traffic/home_lease_manager_base.h"

#include <algorithm>
#include <xxhash.h>

namespace waxwing {
namespace {

/// A router that asked within this many answer waits is live.
constexpr int LiveAnswerWaits = 2;
/// Homes more that a router of the upstream's own domain may have.
constexpr std::size_t ForeignDomainPenalty = 2;

/// Rank of a router for a resource; equal on every controller.
std::uint64_t rank(const HomeResource &resource, const VmId &router) {
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

HomeLeaseManager::HomeLeaseManager(ServiceId service, HomeLeaseTiming terms)
    : Service(std::move(service)), Terms(terms) {}

void HomeLeaseManager::setResources(std::vector<HomeResource> resources,
                                    std::map<UpstreamId, DomainId> domains) {
  Domains = std::move(domains);
  Resources = std::move(resources);
  std::ranges::sort(Resources);
}

void HomeLeaseManager::setLeadership(const ServiceLeadership &leadership,
                                     Time now) {
  const bool wasLeading = Leadership.IsLeader && Leadership.HaveOthersEnded;
  Leadership = leadership;
  const bool isLeading = Leadership.IsLeader && Leadership.HaveOthersEnded;
  if (!Leadership.IsLeader) {
    // What was known may be outdated by another lessor's leases.
    AssignsFrom.reset();
    Leases.clear();
    Idles.clear();
    Claims.clear();
    Published.clear();
    return;
  }
  // The first lessor waits only until every live router has asked.
  if (isLeading && !wasLeading)
    AssignsFrom =
        now + (Leadership.IsFirst ? Terms.AnswerWait + Terms.AskPeriod
                                  : addClockDrift(Terms.Term, Terms.DriftPpm));
}

std::optional<HomeLeaseResponse>
HomeLeaseManager::handleRequest(const HomeLeaseRequest &ask, Time now) {
  if (!Leadership.IsLeader || !Leadership.IsConfirmed || !AssignsFrom)
    return std::nullopt;
  Router &router = Routers[ask.Router];
  if (router.Process == ask.Process &&
      ask.RequestNumber <= router.RequestNumber)
    return std::nullopt;
  router = {ask.Process,       ask.Domain, ask.ForwardEndpoint,
            ask.RequestNumber, now,        ask.IsLeaving};
  dropEnded(now);
  forgetSilent(now);
  dropReleased(ask);
  takeHeld(ask, now);
  if (mayAssign(now)) {
    releaseExcess(ask.Router, now);
    assignIdle(ask.Router, now);
  }
  return makeAnswer(ask, now);
}

bool HomeLeaseManager::mayAssign(Time now) const {
  return AssignsFrom && now >= *AssignsFrom;
}

bool HomeLeaseManager::isLive(const Router &router, Time now) const {
  return now < router.HeardAt + Terms.AnswerWait * LiveAnswerWaits;
}

void HomeLeaseManager::takeHeld(const HomeLeaseRequest &ask, Time now) {
  for (const HeldLease &held : ask.HeldLeases) {
    if (!std::ranges::binary_search(Resources, held.Resource))
      continue;
    const auto it = Leases.find(held.Resource);
    if (it == Leases.end()) {
      if (held.IsExpired)
        Claims.try_emplace(held.Resource, ask.Router);
      // Once earlier leases ended, only leases of this lessor are renewed.
      else if (!mayAssign(now))
        Leases[held.Resource] = {ask.Router,  ask.Process, now,
                                 held.IsWarm, true,        false};
      continue;
    }
    if (it->second.Router == ask.Router && it->second.Process == ask.Process)
      it->second.IsWarm = held.IsWarm;
  }
}

void HomeLeaseManager::dropReleased(const HomeLeaseRequest &ask) {
  std::erase_if(Leases, [&](const auto &entry) {
    const auto &[resource, lease] = entry;
    const bool isOurs =
        lease.Router == ask.Router && lease.Process == ask.Process;
    const bool isHeld =
        std::ranges::any_of(ask.HeldLeases, [&](const HeldLease &it) {
          return it.Resource == resource;
        });
    if (!isOurs || isHeld)
      return false;
    Idles[resource] = {lease.IsWarm, true};
    return true;
  });
}

void HomeLeaseManager::dropEnded(Time now) {
  std::erase_if(Leases, [&](const auto &entry) {
    const auto &[resource, lease] = entry;
    if (now < lease.EndsAt || !mayAssign(now))
      return false;
    Idles[resource] = {lease.IsWarm, false};
    return true;
  });
  std::erase_if(Leases, [&](const auto &entry) {
    return now >= entry.second.EndsAt &&
           !std::ranges::binary_search(Resources, entry.first);
  });
}

void HomeLeaseManager::assignIdle(const VmId &to, Time now) {
  const Router &router = Routers.at(to);
  LeaseCounts counts = countLeases();
  for (const HomeResource &resource : Resources) {
    if (Leases.contains(resource) || chooseRouter(resource, counts, now) != to)
      continue;
    const auto idle = Idles.find(resource);
    const bool isKnown = idle != Idles.end();
    // Nobody can have held it before when this lessor is the first.
    const bool isClean = isKnown ? idle->second.IsVacant : Leadership.IsFirst;
    const bool isWarm = isKnown && idle->second.IsWarm;
    Leases[resource] = {to, router.Process, now, isWarm, isClean, false};
    ++counts.of(to, resource);
    Claims.erase(resource);
    if (isKnown)
      Idles.erase(idle);
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
        costOf(from, Routers.at(from), resource, counts) >
        costOf(*better, Routers.at(*better), resource, counts);
    if (!isExcess && !Routers.at(from).IsLeaving) {
      ++counts.of(from, resource);
      continue;
    }
    lease.IsReleasing = true;
    ++counts.of(*better, resource);
  }
}

void HomeLeaseManager::forgetSilent(Time now) {
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

std::size_t HomeLeaseManager::costOf(const VmId &vm, const Router &router,
                                     const HomeResource &resource,
                                     LeaseCounts &counts) const {
  const auto *upstream = std::get_if<UpstreamId>(&resource);
  const auto domain =
      upstream == nullptr ? Domains.end() : Domains.find(*upstream);
  const bool isForeign =
      domain != Domains.end() && domain->second != router.Domain;
  return counts.of(vm, resource) + (isForeign ? ForeignDomainPenalty : 0);
}

std::optional<VmId> HomeLeaseManager::chooseRouter(const HomeResource &resource,
                                                   LeaseCounts &counts,
                                                   Time now) const {
  const auto isEligible = [&](const Router &router) {
    return !router.IsLeaving && isLive(router, now);
  };
  if (const auto claim = Claims.find(resource); claim != Claims.end()) {
    const auto router = Routers.find(claim->second);
    if (router != Routers.end() && isEligible(router->second))
      return claim->second;
  }
  std::optional<VmId> best;
  std::pair<std::size_t, std::uint64_t> bestKey;
  for (const auto &[vm, router] : Routers) {
    if (!isEligible(router))
      continue;
    const std::pair key(costOf(vm, router, resource, counts),
                        rank(resource, vm));
    if (!best || key < bestKey) {
      best = vm;
      bestKey = key;
    }
  }
  return best;
}

HomeLeaseResponse HomeLeaseManager::makeAnswer(const HomeLeaseRequest &ask,
                                               Time now) {
  HomeLeaseResponse answer{Service,           ask.Router, ask.Process,
                           ask.RequestNumber, Terms.Term, {}};
  for (auto &[resource, lease] : Leases) {
    if (lease.Router != ask.Router || lease.Process != ask.Process)
      continue;
    lease.EndsAt = now + addClockDrift(Terms.Term, Terms.DriftPpm);
    answer.Leases.push_back(
        {resource, lease.IsWarm, lease.IsVacant, lease.IsReleasing});
  }
  return answer;
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
  return HomesUpdate{Service, {Leadership.Record, ++Sequence}, std::move(rows)};
}

} // namespace waxwing
