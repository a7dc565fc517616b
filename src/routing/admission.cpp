/**
 * @file admission.cpp
 * A request waits while its expected turn leaves time for the work.
 */
#include "routing/admission.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Work time that is assumed before any was seen.
constexpr Duration DefaultWork = milliseconds(150);
/// Part of the usual work that must fit behind the wait.
constexpr double NeededWork = 0.9;
/// Part of the target latency that a request may wait: a caller who is told
/// then still has time to come back, and most others are served in time.
constexpr double LongestWait = 0.5;
constexpr Duration LeastWait = milliseconds(150);
/// Callers return within this part of their time, and not sooner than this.
constexpr double LatestReturn = 0.3;
constexpr Duration SoonestReturn = milliseconds(60);

Duration scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

} // namespace

AdmissionDecision decideAdmission(const AdmissionInput &input, double draw) {
  const Duration work = input.TypicalProcessingTime > Duration()
                            ? input.TypicalProcessingTime
                            : DefaultWork;
  const Duration turn = scale(work, (input.QueuedAhead + 1) /
                                        std::max(input.AvailableSlots, 0.1));
  const Duration spare = input.TimeLeft - scale(work, NeededWork);
  AdmissionDecision result;
  const Duration patience =
      std::max(scale(input.TargetLatency, LongestWait), LeastWait) -
      input.Waited;
  result.WaitLimit = std::max(std::min(spare, patience), Duration());
  result.ShouldQueue =
      input.CanBeServedLater && turn <= spare && patience > Duration();
  const Duration latest = scale(input.TimeLeft, LatestReturn);
  const Duration wanted = std::max(SoonestReturn, scale(turn, 0.5 + draw)) +
                          scale(SoonestReturn, draw);
  result.RetryAfter = std::max(std::min(wanted, latest), Duration(1000));
  return result;
}

} // namespace waxwing
