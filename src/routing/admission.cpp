/**
 * @file admission.cpp
 * A request is queued when its expected queueing time leaves enough time to
 * process it.
 */
#include "routing/admission.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Processing time that is assumed while that of the service is unknown.
constexpr Duration DefaultProcessingTime = milliseconds(150);
/// Fraction of the typical processing time that must remain until the deadline
/// after queueing.
constexpr double RequiredProcessingFraction = 0.9;
/// Fraction of the target latency that a request may spend in the queue. A
/// caller that is refused then still has time to retry, and most other requests
/// are answered within the target latency.
constexpr double MaxQueueingFraction = 0.5;
constexpr Duration MinWaitLimit = milliseconds(150);
/// Bounds of the retry delay: at most this fraction of the caller's remaining
/// time, and at least MinRetryDelay unless that bound is lower.
constexpr double MaxRetryDelayFraction = 0.3;
constexpr Duration MinRetryDelay = milliseconds(60);

Duration scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

} // namespace

AdmissionDecision decideAdmission(const AdmissionInput &input, double draw) {
  const Duration work = input.TypicalProcessingTime > Duration()
                            ? input.TypicalProcessingTime
                            : DefaultProcessingTime;
  const Duration queueingTime =
      input.Pause + scale(work, (input.QueuedAhead + 1) /
                                    std::max(input.AvailableSlots, 0.1));
  const Duration spareTime =
      input.TimeLeft - scale(work, RequiredProcessingFraction);
  AdmissionDecision result;
  const Duration remainingWait =
      std::max(scale(input.TargetLatency, MaxQueueingFraction), MinWaitLimit) -
      input.Waited;
  result.WaitLimit = std::max(std::min(spareTime, remainingWait), Duration());
  result.ShouldQueue = input.CanBeServedLater && queueingTime <= spareTime &&
                       remainingWait > input.Pause;
  const Duration latest = scale(input.TimeLeft, MaxRetryDelayFraction);
  const Duration wanted =
      std::max(MinRetryDelay, scale(queueingTime - input.Pause, 0.5 + draw)) +
      scale(MinRetryDelay, draw);
  result.RetryAfter = std::max(std::min(wanted, latest), Duration(1000));
  // An earlier retry would be refused again.
  if (input.Pause > Duration())
    result.RetryAfter =
        std::max(result.RetryAfter, input.Pause + scale(MinRetryDelay, draw));
  return result;
}

} // namespace waxwing
