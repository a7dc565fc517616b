/**
 * @file dispatcher_type.h
 * Requests to the dispatcher and the decisions that it returns.
 */
#ifndef WAXWING_TRAFFIC_DISPATCHER_TYPE_H
#define WAXWING_TRAFFIC_DISPATCHER_TYPE_H

#include "core/verdict_type.h"
#include "traffic/router_core_type.h"

#include <optional>
#include <variant>
#include <vector>

namespace waxwing {

/// A request that needs an attempt. Submitted again for each retry.
struct DispatchRequest {
  RequestId Id;
  TeamId Team;
  ServiceId Service;
  TierId Tier;
  KeyHash Key; ///< hash of the caller's key
  bool IsIdempotent = false;
  bool IsForwarded = false; ///< came from another router; not forwarded again
  Time Deadline;            ///< end of the request
  std::vector<UpstreamId> Avoid; ///< upstreams that already failed this request
};

/// Starts an attempt. The attempt occupies its slot until
/// Dispatcher::endAttempt() is called with its id.
struct DispatchStart {
  RequestId Request;
  AttemptId Attempt;
  AttemptTarget Target;
  Time Deadline;        ///< end of the attempt
  bool IsHedge = false; ///< second attempt while a slow first one runs
};

/// Refuses a request that cannot be served. No attempt was started.
struct DispatchRefusal {
  RequestId Request;
  Reason Why = Reason::None;
  Duration RetryAfter{};
};

/// Sends a home lease request to the leader of the service.
struct DispatchLeaseRequest {
  HomeLeaseRequest Request;
};

using DispatchDecision =
    std::variant<DispatchStart, DispatchRefusal, DispatchLeaseRequest>;

} // namespace waxwing

#endif
