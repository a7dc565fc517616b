/**
 * @file home_type.h
 * Plain data of home leases: which router alone sends requests to an
 * upstream, and which router alone remembers a partition of the
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

/// A range of the hashes of a service's idempotency keys.
using PartitionId = StrongId<struct PartitionTag, std::uint32_t>;

/// Partitions of one service's idempotency keys.
constexpr std::uint32_t PartitionCount = 64;

/// What a home lease is about.
using HomeResource = std::variant<UpstreamId, PartitionId>;

/// Terms of home leases.
struct HomeLeaseTiming {
  Duration Term = milliseconds(800);          ///< from the router's question
  Duration RequestPeriod = milliseconds(150); ///< between a router's questions
  Duration ResponseTimeout =
      milliseconds(150); ///< then the question is repeated
  std::int64_t MaxDriftPpm =
      10'000; ///< bound on the relative rate of two clocks
};

/// A router process as homes are leased to it.
struct RouterIdentity {
  VmId Router;
  Incarnation Process;
  DomainId Domain;
  Endpoint ForwardEndpoint; ///< where it takes forwarded requests
};

/// What a router says of a resource that it holds.
struct HeldLease {
  HomeResource Resource;
  bool IsWarm = false;    ///< an upstream that has all its slots
  bool IsExpired = false; ///< the lease ended, but requests may still run
  bool operator==(const HeldLease &) const = default;
};

/// Router to the leader of a service: renew what I hold, lease me more.
/// A resource absent from HeldLeases is released: the router accepts no answer
/// to an earlier question any more, and no request of its runs there.
struct HomeLeaseRequest {
  ServiceId Service;
  VmId Router;
  Incarnation Process;
  DomainId Domain;                 ///< failure domain that it stands in
  Endpoint ForwardEndpoint;        ///< where it takes forwarded requests
  std::uint64_t RequestNumber = 0; ///< grows with each question of the process
  std::vector<HeldLease> HeldLeases;
  bool IsLeaving = false; ///< the router shuts down: lease it nothing new
  bool operator==(const HomeLeaseRequest &) const = default;
};

/// One resource leased until the question's time plus the term.
struct HomeLease {
  HomeResource Resource;
  bool IsWarm = false;      ///< as its last holder reported
  bool IsVacant = false;    ///< no request of an earlier holder may run there
  bool IsReleasing = false; ///< finish what runs, start nothing, release
  bool operator==(const HomeLease &) const = default;
};

/// Leader to router; replaces all earlier answers.
struct HomeLeaseResponse {
  ServiceId Service;
  VmId Router;
  Incarnation Process;
  std::uint64_t RequestNumber = 0; ///< of the question
  Duration Term{};
  std::vector<HomeLease> Leases;
  bool operator==(const HomeLeaseResponse &) const = default;
};

/// Orders updates of one service's homes.
struct HomesVersion {
  Revision Record;            ///< record revision the leader acted under
  std::uint64_t Sequence = 0; ///< number of the update of this leader
  auto operator<=>(const HomesVersion &) const = default;
};

/// Where requests for a resource go.
struct HomeAssignment {
  HomeResource Resource;
  VmId Router;
  Endpoint ForwardEndpoint;
  bool operator==(const HomeAssignment &) const = default;
};

/// Leader to all routers: the homes of a service, whole.
struct HomesUpdate {
  ServiceId Service;
  HomesVersion Version;
  std::vector<HomeAssignment> Assignments;
  bool operator==(const HomesUpdate &) const = default;
};

} // namespace waxwing

#endif
