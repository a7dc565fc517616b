/**
 * @file home_lease_client_base.h
 * Router side of home leases: requests and renews leases and tracks which are
 * valid. No I/O, no clock, no threads.
 */
#ifndef WAXWING_TRAFFIC_HOME_LEASE_CLIENT_BASE_H
#define WAXWING_TRAFFIC_HOME_LEASE_CLIENT_BASE_H

#include "traffic/home_type.h"

#include <map>
#include <optional>
#include <vector>

namespace waxwing {

/// Whether a router may start attempts at an upstream, by the state of its
/// home lease.
enum class HomeRight : std::uint8_t {
  None, ///< no attempt may be started
  /// The lease expired, but no other home is known: one slot if warm.
  Reduced,
  Full, ///< the lease is valid
};

/// Requests and tracks the home leases of one service (exclusive rights to use
/// an upstream or a partition of idempotency keys) in one router process.
/// Invariant: a lease expires one term after its request was sent, by the
/// router's own clock; only the response to the newest request is accepted.
class HomeLeaseClient {
public:
  HomeLeaseClient(ServiceId service, RouterIdentity self,
                  HomeLeaseTiming timing);

  /// @param isIdle tells whether no attempt of this router runs at a resource
  /// @param isWarm tells whether an upstream has all its slots
  /// @return the request to send now, or nullopt when none is due
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

  /// @return leases that this response grants for the first time
  std::vector<HomeLease> applyResponse(const HomeLeaseResponse &response,
                                       Time now);
  /// An expired lease loses its reduced right once the published homes name
  /// another router.
  void applyHomes(const HomesUpdate &homes);
  /// Makes the next request due at once. Called when the leader changes,
  /// because the new leader renews only leases that have not expired.
  void requestAtNextPoll() { IsRequestDueAtOnce = true; }
  /// The router shuts down: requests no new leases and releases its own.
  void leave() { IsLeaving = true; }

  /// @return whether a lease was granted and not yet released; it may have
  ///   expired
  bool hasLease(const HomeResource &resource) const {
    return Leases.contains(resource);
  }
  HomeRight right(const HomeResource &resource, Time now) const;
  /// @return start of the uninterrupted lease, nullopt unless the right is
  ///   Full
  std::optional<Time> leaseHeldSince(const HomeResource &resource,
                                     Time now) const;

private:
  struct Lease {
    Time EndsAt;
    bool IsReleasing = false;
    bool IsSuperseded = false; ///< published homes name another router
    Time HeldSince;            ///< start of the uninterrupted lease
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

  bool IsRequestDueAtOnce = true;
  ServiceId Service;
  RouterIdentity Self;
  HomeLeaseTiming Timing;
  std::uint64_t RequestNumber = 0;
  Time RequestedAt;
  /// The newest request was answered; true before the first request.
  bool IsLastRequestAnswered = true;
  bool IsLeaving = false;
  std::map<HomeResource, Lease> Leases;
};

} // namespace waxwing

#endif
