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

/// Identifies a partition (a range of hashes) of a service's idempotency keys.
using PartitionId = StrongId<struct PartitionTag, std::uint32_t>;

/// Number of partitions of one service's idempotency keys.
constexpr std::uint32_t PartitionCount = 64;

/// What a home lease covers: an upstream or a partition of idempotency keys.
/// The router that holds the lease is the home: only it may start attempts at
/// the upstream, or decide whether requests with the partition's keys run.
using HomeResource = std::variant<UpstreamId, PartitionId>;

/// Timing of home leases (a router's exclusive right to use an upstream or a
/// partition of idempotency keys).
struct HomeLeaseTiming {
  /// Validity of a lease, counted from when the router sends its request.
  Duration Term = milliseconds(800);
  /// Time between two lease requests of a router.
  Duration RequestPeriod = milliseconds(150);
  /// A router without a response sends a new lease request after this time.
  Duration ResponseTimeout = milliseconds(150);
  /// Maximum difference between the rates of two clocks, in parts per million.
  std::int64_t MaxDriftPpm = 10'000;
};

/// Identifies a router process that requests home leases.
struct RouterIdentity {
  VmId Router;
  Incarnation Process;
  DomainId Domain;
  Endpoint ForwardEndpoint; ///< address for requests of other routers
};

/// A router's report about a home lease that it holds.
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
  Endpoint ForwardEndpoint;        ///< address for requests of other routers
  std::uint64_t RequestNumber = 0; ///< increases within a process
  std::vector<HeldLease> HeldLeases;
  bool IsLeaving = false; ///< the router shuts down and wants no new leases
  bool operator==(const HomeLeaseRequest &) const = default;
};

/// A home lease, valid for one term after the router sent its request.
struct HomeLease {
  HomeResource Resource;
  bool IsWarm = false;      ///< its last holder reported the upstream as warm
  bool IsVacant = false;    ///< no request of an earlier holder can still run
  bool IsReleasing = false; ///< start nothing; release when idle
  bool operator==(const HomeLease &) const = default;
};

/// Leader to router: the complete list of the router's home leases of a
/// service. Replaces all earlier responses.
struct HomeLeaseResponse {
  ServiceId Service;
  VmId Router;
  Incarnation Process;
  std::uint64_t RequestNumber = 0; ///< copied from the request
  Duration Term{};
  std::vector<HomeLease> Leases;
  bool operator==(const HomeLeaseResponse &) const = default;
};

/// Version of the list of one service's homes. Versions of a later leader are
/// higher than those of an earlier one.
struct HomesVersion {
  Revision Record;            ///< ownership record revision of the leader
  std::uint64_t Sequence = 0; ///< update number under this leader
  auto operator<=>(const HomesVersion &) const = default;
};

/// Names the home of a resource (the router that holds its home lease).
struct HomeAssignment {
  HomeResource Resource;
  VmId Router;
  Endpoint ForwardEndpoint;
  bool operator==(const HomeAssignment &) const = default;
};

/// Leader to all routers: the complete list of a service's homes (the routers
/// that hold its home leases).
struct HomesUpdate {
  ServiceId Service;
  HomesVersion Version;
  std::vector<HomeAssignment> Assignments;
  bool operator==(const HomesUpdate &) const = default;
};

} // namespace waxwing

#endif
