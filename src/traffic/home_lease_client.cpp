/**
 * @file home_lease_client.cpp
 * Home lease requests, responses and the resulting rights to start attempts.
 */
#include "traffic/home_lease_client_base.h"

#include <algorithm>

namespace waxwing {

HomeLeaseClient::HomeLeaseClient(ServiceId service, RouterIdentity self,
                                 HomeLeaseTiming timing)
    : Service(std::move(service)), Self(std::move(self)), Timing(timing) {}

bool HomeLeaseClient::isRequestDue(Time now) const {
  if (IsRequestDueAtOnce)
    return true;
  return now >= RequestedAt + (IsLastRequestAnswered ? Timing.RequestPeriod
                                                     : Timing.ResponseTimeout);
}

HomeLeaseRequest HomeLeaseClient::beginRequest(Time now) {
  RequestedAt = now;
  IsRequestDueAtOnce = false;
  IsLastRequestAnswered = false;
  return {Service,
          Self.Router,
          Self.Process,
          Self.Domain,
          Self.ForwardEndpoint,
          ++RequestNumber,
          {},
          IsLeaving};
}

std::vector<HomeLease>
HomeLeaseClient::applyResponse(const HomeLeaseResponse &response, Time now) {
  if (response.Process != Self.Process ||
      response.RequestNumber != RequestNumber || IsLastRequestAnswered)
    return {};
  IsLastRequestAnswered = true;
  const Time end = RequestedAt + response.Term;
  std::vector<HomeLease> gained;
  std::map<HomeResource, Lease> next;
  for (const HomeLease &lease : response.Leases) {
    const Time since = leaseHeldSince(lease.Resource, now).value_or(now);
    next[lease.Resource] = {end, lease.IsReleasing, false, since};
    if (!Leases.contains(lease.Resource))
      gained.push_back(lease);
  }
  // A lease missing from the response is not renewed. The following requests
  // list it until nothing runs under it; the first request without it releases
  // it. Expired leases are kept unchanged until the published homes name
  // another router.
  for (const auto &[resource, lease] : Leases)
    if (!next.contains(resource))
      next[resource] = lease.EndsAt <= RequestedAt
                           ? lease
                           : Lease{lease.EndsAt, true, true, lease.HeldSince};
  Leases = std::move(next);
  return gained;
}

void HomeLeaseClient::applyHomes(const HomesUpdate &homes) {
  for (const HomeAssignment &row : homes.Assignments) {
    const auto it = Leases.find(row.Resource);
    if (it != Leases.end())
      it->second.IsSuperseded = row.Router != Self.Router;
  }
}

std::optional<Time>
HomeLeaseClient::leaseHeldSince(const HomeResource &resource, Time now) const {
  if (right(resource, now) != HomeRight::Full)
    return std::nullopt;
  return Leases.at(resource).HeldSince;
}

HomeRight HomeLeaseClient::right(const HomeResource &resource, Time now) const {
  const auto it = Leases.find(resource);
  if (it == Leases.end() || it->second.IsReleasing)
    return HomeRight::None;
  if (now < it->second.EndsAt)
    return HomeRight::Full;
  return it->second.IsSuperseded ? HomeRight::None : HomeRight::Reduced;
}

} // namespace waxwing
