/**
 * @file retry_func.h
 * Whether a request may be tried again.
 */
#ifndef WAXWING_TRAFFIC_RETRY_FUNC_H
#define WAXWING_TRAFFIC_RETRY_FUNC_H

#include "traffic/retry_type.h"

namespace waxwing {

/// Attempts of one request without a pause at most, hedges not counted.
constexpr int MaxAttempts = 4;
/// Pauses of one request at most.
constexpr int MaxPauses = 16;
constexpr Duration FirstPause = milliseconds(10);
constexpr Duration LongestPause = milliseconds(160);

/// Decides without the budget, which is asked last.
/// Only a request that is idempotent, or proven not to have run, is tried
/// again.
RetryDecision decideRetry(const RetryQuestion &question, Time now);

} // namespace waxwing

#endif
