/**
 * @file retry_type.h
 * What the retry decision is asked, and what it answers.
 */
#ifndef WAXWING_TRAFFIC_RETRY_TYPE_H
#define WAXWING_TRAFFIC_RETRY_TYPE_H

#include "core/time_type.h"
#include "core/verdict_type.h"

#include <variant>

namespace waxwing {

/// A request whose last attempt failed or was refused.
struct RetryQuestion {
  Reason Cause = Reason::None;                ///< of the last attempt
  Verdict ExecutionVerdict = Verdict::NotRun; ///< over all attempts
  bool IsIdempotent = false;
  bool IsOwned = false; ///< only the key's owner may serve it
  int AttemptsMade = 0; ///< attempts that were started
  int PausesMade = 0;   ///< waits for owners, homes or an owner's return
  Time Deadline;        ///< of the request
};

/// Try again at once.
struct RetryNow {};

/// Try again at this time, or when newer owners arrive.
struct RetryLater {
  Time At;
};

/// The request ends.
struct GiveUp {};

using RetryDecision = std::variant<RetryNow, RetryLater, GiveUp>;

} // namespace waxwing

#endif
