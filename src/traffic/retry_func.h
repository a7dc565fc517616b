/**
 * @file retry_func.h
 * Retry decision of a request.
 */
#ifndef WAXWING_TRAFFIC_RETRY_FUNC_H
#define WAXWING_TRAFFIC_RETRY_FUNC_H

#include "traffic/retry_type.h"

namespace waxwing {

/// Maximum number of attempts of a request that is retried without a pause;
/// hedges are not counted.
constexpr int MaxAttempts = 4;
/// Maximum number of times that one request is paused.
constexpr int MaxPauses = 16;
constexpr Duration ShortestPause = milliseconds(10);
constexpr Duration LongestPause = milliseconds(160);

/// Decides whether and when a request is retried. Only a request that is
/// idempotent or proven not to have run is retried. Pauses double with each
/// retry. The caller checks the retry budget afterwards.
RetryDecision decideRetry(const RetryInput &input, Time now);

} // namespace waxwing

#endif
