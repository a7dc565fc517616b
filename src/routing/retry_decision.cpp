/**
 * @file retry_decision.cpp
 * A request that may have run is sent again only if its kind permits that.
 */
#include "routing/retry_decision.h"

#include "table/reasons.h"

namespace waxwing {
namespace {

/// A request is not sent again after more deliveries than this that upstreams
/// certainly did not execute. These do not count as attempts of the route.
constexpr int MaxDeliveriesNotExecuted = 4;
/// A request is not sent again if less time than this is left.
constexpr Duration MinTimeForRetry = milliseconds(30);
constexpr int StatusTooManyRequests = 429;
constexpr int StatusBadGateway = 502;
constexpr int StatusUnavailable = 503;

} // namespace

RetryDecision decideRetry(const RetryInput &input) {
  if (input.PossibleExecutions > 0 && !isRepeatable(input.Kind))
    return RetryDecision::MayHaveRun;
  if (!input.IsBodyStored)
    return RetryDecision::BodyNotStored;
  if (input.PossibleExecutions >= input.MaxAttempts ||
      input.DeliveriesNotExecuted > MaxDeliveriesNotExecuted)
    return RetryDecision::NoAttemptsLeft;
  if (input.TimeLeft <= MinTimeForRetry)
    return RetryDecision::NoTimeLeft;
  return RetryDecision::Retry;
}

int refusalStatus(Reason reason, int possibleExecutions) {
  // The status of the reason does not tell whether the request has run.
  const int status = reason == Reason::SuspectedCrasher
                         ? StatusUnavailable
                         : reasonInfo(reason).HttpStatus;
  const bool isPromise =
      status == StatusUnavailable || status == StatusTooManyRequests;
  if (isPromise && possibleExecutions > 0)
    return StatusBadGateway;
  if (reason == Reason::RouteTimeout && possibleExecutions == 0)
    return StatusUnavailable;
  return status;
}

} // namespace waxwing
