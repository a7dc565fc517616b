/**
 * @file retry_decision.h
 * Decides after a failed attempt whether the request may be sent again, and
 * which status a caller gets whose request is not sent again.
 */
#ifndef WAXWING_ROUTING_RETRY_DECISION_H
#define WAXWING_ROUTING_RETRY_DECISION_H

#include "core/time_type.h"
#include "core/verdict_type.h"
#include "routing/route_type.h"

#include <array>
#include <string_view>

namespace waxwing {

/// State of a request after an attempt that failed.
struct RetryInput {
  RequestKind Kind = RequestKind::NonIdempotent;
  /// Deliveries to an upstream that may have been executed.
  int PossibleExecutions = 0;
  int DeliveriesNotExecuted = 0; ///< deliveries certainly not executed
  int MaxAttempts = 1;           ///< Route::MaxAttempts
  Duration TimeLeft{};           ///< until the request's timeout
  bool IsBodyStored = true; ///< every received byte of the body is still stored
};

/// Whether a request is sent again, or why not.
enum class RetryDecision : std::uint8_t {
  Retry,
  MayHaveRun,     ///< a request that must not run twice may have run
  NoAttemptsLeft, ///< the limit of attempts or deliveries is reached
  NoTimeLeft,     ///< an attempt would not be answered in time
  BodyNotStored,  ///< a part of the body was forwarded and is no longer stored
};
constexpr std::array<std::string_view, 5> RetryDecisionNames{
    "retry", "may_have_run", "no_attempts_left", "no_time_left",
    "body_not_stored"};

RetryDecision decideRetry(const RetryInput &input);

/// @param possibleExecutions deliveries that may have been executed
/// @return HTTP status of the response to a caller whose request is given up.
///   503 and 429 promise that the request has not run and never will.
int refusalStatus(Reason reason, int possibleExecutions);

} // namespace waxwing

#endif
