/**
 * @file idempotency_home_base.h
 * Lookup of the homes of idempotency keys (the only routers that execute
 * requests with these keys).
 */
#ifndef WAXWING_TRAFFIC_IDEMPOTENCY_HOME_BASE_H
#define WAXWING_TRAFFIC_IDEMPOTENCY_HOME_BASE_H

#include "traffic/dispatcher_base.h"
#include "traffic/idempotency_type.h"
#include "traffic/router_core_type.h"

#include <optional>

namespace waxwing {

/// Looks up which router is the home of a partition of idempotency keys.
/// Invariant: over all routers, at most one is the home of a partition at any
/// time.
class IdempotencyHomes {
public:
  virtual ~IdempotencyHomes() = default;

  /// @return time since when this router has leased the partition without
  ///   interruption, or nothing when it does not hold the lease at @p now
  virtual std::optional<Time> leasedSince(const ServiceId &service,
                                          PartitionId partition,
                                          Time now) const = 0;

  /// @return the other router that was last published as the partition's
  ///   home, or nothing when none is known
  virtual std::optional<RouterTarget> homeOf(const ServiceId &service,
                                             PartitionId partition) const = 0;
};

/// Looks up homes of partitions in the dispatcher's home leases.
class LeasedIdempotencyHomes final : public IdempotencyHomes {
public:
  /// @param dispatcher must outlive this object
  LeasedIdempotencyHomes(VmId self, const Dispatcher &dispatcher)
      : Self(std::move(self)), Leases(dispatcher) {}

  std::optional<Time> leasedSince(const ServiceId &service,
                                  PartitionId partition,
                                  Time now) const override {
    return Leases.homeLeaseHeldSince(service, partition, now);
  }
  std::optional<RouterTarget> homeOf(const ServiceId &service,
                                     PartitionId partition) const override {
    const HomeAssignment *row = Leases.findHome(service, partition);
    if (row == nullptr || row->Router == Self)
      return std::nullopt;
    return RouterTarget{row->Router, row->ForwardEndpoint, {}, {}};
  }

private:
  VmId Self;
  const Dispatcher &Leases;
};

} // namespace waxwing

#endif
