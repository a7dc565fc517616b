/**
 * @file request_order.h
 * Order in which the queued requests of a service are sent.
 */
#ifndef WAXWING_ROUTING_REQUEST_ORDER_H
#define WAXWING_ROUTING_REQUEST_ORDER_H

#include "core/time_type.h"

#include <compare>

namespace waxwing {

/// Position of a queued request; requests with smaller values are sent first.
/// Requests of the same priority are ordered by the time at which they miss
/// their target latency, so that a short urgent request does not wait behind
/// long ones that have more time, and none of those waits forever.
struct QueuePosition {
  int Priority = 0; ///< Route::Priority; 0 is the highest
  Time TargetAt;    ///< arrival plus Route::TargetLatency

  auto operator<=>(const QueuePosition &) const = default;
};

} // namespace waxwing

#endif
