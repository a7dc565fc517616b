/**
 * @file dispatcher_type.h
 * Spec the router's request lifecycle and its dispatcher say to each other.
 */
#ifndef WAXWING_TRAFFIC_DISPATCHER_TYPE_H
#define WAXWING_TRAFFIC_DISPATCHER_TYPE_H

#include "core/verdict_type.h"
#include "traffic/router_core_type.h"

#include <optional>
#include <variant>
#include <vector>

namespace waxwing {

/// A request that wants an attempt. Submitted again for each retry.
struct DispatchRequest {
  RequestId Id;
  TeamId Team;
  ServiceId Service;
  TierId Tier;
  KeyHash Key; ///< of the caller's key
  bool IsIdempotent = false;
  bool IsForwarded = false;      ///< by another router; never sent on
  Time Deadline;                 ///< of the request
  std::vector<UpstreamId> Avoid; ///< upstreams that failed it already
};

/// Start an attempt now. The attempt holds its slot until
/// Dispatcher::endAttempt() is called with its id.
struct DispatchStart {
  RequestId Request;
  AttemptId Attempt;
  AttemptTarget Target;
  Time Deadline;        ///< of the attempt
  bool IsHedge = false; ///< a second attempt beside a slow first one
};

/// The request cannot be served; no attempt of it was started.
struct DispatchRefusal {
  RequestId Request;
  Reason Why = Reason::None;
  Duration RetryAfter{};
};

/// Send this question to the leader of its service.
struct DispatchLeaseRequest {
  HomeLeaseRequest Request;
};

using DispatchDecision =
    std::variant<DispatchStart, DispatchRefusal, DispatchLeaseRequest>;

} // namespace waxwing

#endif
