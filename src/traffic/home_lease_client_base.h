/**
 * @file home_lease_client_base.h
 * The router's side of home leases: asks, and knows which homes are its own
 * now. No I/O, no clock, no threads.
 */
#ifndef WAXWING_TRAFFIC_HOME_LEASE_CLIENT_BASE_H
#define WAXWING_TRAFFIC_HOME_LEASE_CLIENT_BASE_H

#include "traffic/home_type.h"

#include <map>
#include <optional>
#include <vector>

namespace waxwing {

/// What a router may do as the home of an upstream.
enum class HomeRight : std::uint8_t {
  None,    ///< start nothing
  Reduced, ///< the lease ended and no other home is known: a minimum only
  Full,    ///< the lease runs
};

/// The leases of one service in one router process.
/// Invariant: a lease ends at the time of the question plus the term, in the
/// router's own clock; only the response to the newest question counts.
class HomeLeaseClient {
public:
  HomeLeaseClient(ServiceId service, RouterIdentity self,
                  HomeLeaseTiming terms);

  /// @param isIdle whether nothing of the router runs at a resource
  /// @param isWarm whether an upstream has all its slots
  /// @return the question to send now, if one is due
  template <class IsIdle, class IsWarm>
  std::optional<HomeLeaseRequest> poll(Time now, IsIdle &&isIdle,
                                       IsWarm &&isWarm) {
    if (!isRequestDue(now))
      return std::nullopt;
    dropReleased(now, std::forward<IsIdle>(isIdle));
    HomeLeaseRequest request = beginRequest(now);
    for (const auto &[resource, lease] : Leases)
      request.HeldLeases.push_back(
          {resource, isWarm(resource), now >= lease.EndsAt});
    return request;
  }

  /// @return the leases that are new with this response
  std::vector<HomeLease> applyResponse(const HomeLeaseResponse &response,
                                       Time now);
  /// Homes that name another router end this router's minimum.
  void applyHomes(const HomesUpdate &homes);
  /// The leader changed; the question is due at once, since the new one
  /// extends leases that have not ended.
  void requestSoon() { IsRequestWanted = true; }
  /// The router shuts down.
  void leave() { IsLeaving = true; }

  /// @return whether a lease was given and not yet released
  bool hasLease(const HomeResource &resource) const {
    return Leases.contains(resource);
  }
  HomeRight right(const HomeResource &resource, Time now) const;
  /// @return since when the lease runs without a gap, when the right is full
  std::optional<Time> heldSince(const HomeResource &resource, Time now) const;

private:
  struct Lease {
    Time EndsAt;
    bool IsReleasing = false;
    bool IsSuperseded = false; ///< published homes name another router
    Time HeldSince;            ///< when the first of its unbroken answers came
  };

  bool isRequestDue(Time now) const;
  HomeLeaseRequest beginRequest(Time now);
  template <class IsIdle> void dropReleased(Time now, IsIdle &&isIdle) {
    std::erase_if(Leases, [&](const auto &entry) {
      const bool isOver =
          entry.second.IsReleasing ||
          (IsLeaving && right(entry.first, now) != HomeRight::Full) ||
          (entry.second.IsSuperseded && now >= entry.second.EndsAt);
      return isOver && isIdle(entry.first);
    });
  }

  bool IsRequestWanted = true;
  ServiceId Service;
  RouterIdentity Self;
  HomeLeaseTiming Terms;
  std::uint64_t RequestNumber = 0;
  Time RequestedAt;
  bool HasResponse = true; ///< the newest question, or none was asked
  bool IsLeaving = false;
  std::map<HomeResource, Lease> Leases;
};

} // namespace waxwing

#endif
