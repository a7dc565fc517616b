/**
 * @file home_type.h
 * Messages and data of home leases. An upstream's home is the only router that
 * sends it requests; a partition's home is the only router that stores its
 * idempotency keys.
 */
#ifndef WAXWING_TRAFFIC_HOME_TYPE_H
#define WAXWING_TRAFFIC_HOME_TYPE_H

#include "core/endpoint_type.h"
#include "core/id_type.h"
#include "core/time_type.h"

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace waxwing {

/// Number of a range of hashes of a service's idempotency keys.
using PartitionId = StrongId<struct PartitionTag, std::uint32_t>;

/// Number of partitions of one service's idempotency keys.
constexpr std::uint32_t PartitionCount = 64;

/// What a home lease covers.
using HomeResource = std::variant<UpstreamId, PartitionId>;

/// Timing of home leases.
struct HomeLeaseTiming {
  Duration Term = milliseconds(800); ///< counted from the router's request
  Duration RequestPeriod =
      milliseconds(150); ///< between the requests of a router
  Duration ResponseTimeout =
      milliseconds(150); ///< a new request is sent after it
  std::int64_t MaxDriftPpm =
      10'000; ///< bound on the rate difference of two clocks
};

/// Identifies a router process that requests home leases.
struct RouterIdentity {
  VmId Router;
  Incarnation Process;
  DomainId Domain;
  Endpoint ForwardEndpoint; ///< where it takes forwarded requests
};

/// A router's report about a lease that it holds.
struct HeldLease {
  HomeResource Resource;
  bool IsWarm = false;    ///< the upstream has all its slots
  bool IsExpired = false; ///< the lease expired, but requests may still run
  bool operator==(const HeldLease &) const = default;
};

/// Router to the leader of a service: renews the held leases and requests
/// more. A resource missing from HeldLeases is released: no request of the
/// router runs there, and the router ignores responses to earlier requests.
struct HomeLeaseRequest {
  ServiceId Service;
  VmId Router;
  Incarnation Process;
  DomainId Domain;                 ///< failure domain of the router
  Endpoint ForwardEndpoint;        ///< where it takes forwarded requests
  std::uint64_t RequestNumber = 0; ///< increases within a process
  std::vector<HeldLease> HeldLeases;
  bool IsLeaving = false; ///< the router shuts down and wants no new leases
  bool operator==(const HomeLeaseRequest &) const = default;
};

/// A lease granted for one term, counted from the request.
struct HomeLease {
  HomeResource Resource;
  bool IsWarm = false;      ///< as reported by its last holder
  bool IsVacant = false;    ///< no request of an earlier holder can still run
  bool IsReleasing = false; ///< start nothing; release when idle
  bool operator==(const HomeLease &) const = default;
};

/// Leader to router; replaces all earlier responses.
struct HomeLeaseResponse {
  ServiceId Service;
  VmId Router;
  Incarnation Process;
  std::uint64_t RequestNumber = 0; ///< copied from the request
  Duration Term{};
  std::vector<HomeLease> Leases;
  bool operator==(const HomeLeaseResponse &) const = default;
};

/// Version of one service's homes; orders updates across leaders.
struct HomesVersion {
  Revision Record;            ///< ownership record revision of the leader
  std::uint64_t Sequence = 0; ///< update number under this leader
  auto operator<=>(const HomesVersion &) const = default;
};

/// The router that is the home of a resource.
struct HomeAssignment {
  HomeResource Resource;
  VmId Router;
  Endpoint ForwardEndpoint;
  bool operator==(const HomeAssignment &) const = default;
};

/// Leader to all routers: the complete list of a service's homes.
struct HomesUpdate {
  ServiceId Service;
  HomesVersion Version;
  std::vector<HomeAssignment> Assignments;
  bool operator==(const HomesUpdate &) const = default;
};

} // namespace waxwing

#endif
