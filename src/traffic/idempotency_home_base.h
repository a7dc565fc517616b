/**
 * @file idempotency_home_base.h
 * Which router remembers which idempotency keys.
 */
#ifndef WAXWING_TRAFFIC_IDEMPOTENCY_HOME_BASE_H
#define WAXWING_TRAFFIC_IDEMPOTENCY_HOME_BASE_H

#include "traffic/dispatcher_base.h"
#include "traffic/idempotency_type.h"
#include "traffic/router_core_type.h"

#include <optional>

namespace waxwing {

/// Invariant: over all routers, at most one holds a partition at any time.
class IdempotencyHomes {
public:
  virtual ~IdempotencyHomes() = default;

  /// @return the start of this router's lease of the partition without a
  ///   gap until @p now, or nothing when it does not hold it
  virtual std::optional<Time> heldSince(const ServiceId &service,
                                        PartitionId partition,
                                        Time now) const = 0;

  /// @return the router that holds the partition, as far as is known here
  virtual std::optional<RouterTarget> homeOf(const ServiceId &service,
                                             PartitionId partition) const = 0;
};

/// Homes as the dispatcher leases them.
class LeasedHomes final : public IdempotencyHomes {
public:
  /// @param dispatcher outlives this object
  LeasedHomes(VmId self, const Dispatcher &dispatcher)
      : Self(std::move(self)), Leases(dispatcher) {}

  std::optional<Time> heldSince(const ServiceId &service, PartitionId partition,
                                Time now) const override {
    return Leases.homeHeldSince(service, partition, now);
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
