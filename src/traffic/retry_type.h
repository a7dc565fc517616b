/**
 * @file retry_type.h
 * Input and result of the retry decision.
 */
#ifndef WAXWING_TRAFFIC_RETRY_TYPE_H
#define WAXWING_TRAFFIC_RETRY_TYPE_H

#include "core/time_type.h"
#include "core/verdict_type.h"

#include <variant>

namespace waxwing {

/// State of a request whose last attempt failed or was refused.
struct RetryInput {
  Reason Cause = Reason::None; ///< why the last attempt failed
  /// Whether the request may have run in any of its attempts.
  Verdict ExecutionVerdict = Verdict::NotRun;
  bool IsIdempotent = false;
  bool IsOwned = false; ///< only the key's owner may serve it
  int AttemptsMade = 0; ///< started attempts, not counting hedges
  int PausesMade = 0;   ///< how often the request was paused
  Time Deadline;        ///< of the request
};

/// Retry at once.
struct RetryAtOnce {};

/// Retry at this time, or earlier when the owners are updated.
struct RetryLater {
  Time At;
};

/// Do not retry; the request ends.
struct NoRetry {};

using RetryDecision = std::variant<RetryAtOnce, RetryLater, NoRetry>;

} // namespace waxwing

#endif
