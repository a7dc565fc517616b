/**
 * @file upstream_load.cpp
 * Updates the estimates from own attempts and from load reports.
 */
#include "routing/upstream_load_base.h"

#include <algorithm>
#include <cmath>

namespace waxwing {
namespace {

/// Weight of one observation in the moving average of processing times: the
/// last twenty or so responses outweigh all older ones.
constexpr double ProcessingTimeWeight = 0.08;
/// Weight of one load report in LastingSlowness when the slowness increases.
constexpr double SlownessWeight = 0.15;
/// Weight of one attempt in the moving average of the failure rate.
constexpr double FailureWeight = 0.12;
/// Time constant with which other VMs' requests from the last load report are
/// assumed to complete, us.
constexpr double ReportDecayUs = 400'000;
/// Time constant with which reported slowness decays to the lasting slowness.
constexpr double SlownessDecayUs = 400'000;
/// Backoff after a connection error, doubled for each consecutive one.
constexpr Duration InitialBackoff = milliseconds(200);
constexpr int MaxBackoffDoublings = 4;
/// Backoff after the upstream refused a request because it is overloaded.
constexpr Duration ShedBackoff = milliseconds(60);
/// Additional cost of an attempt that fails, relative to an attempt that
/// succeeds.
constexpr double FailureCost = 4;

/// @return time from @p from to @p now, us
double ageUs(Time from, Time now) {
  return static_cast<double>((now - from).count());
}

} // namespace

bool isConnectionFailure(AttemptOutcome end) {
  return end == AttemptOutcome::NotConnected ||
         end == AttemptOutcome::ConnectionBroken;
}

void UpstreamLoad::onLoadReport(const ReportedLoad &report, Time now) {
  // The report includes this VM's own requests, except the one that was just
  // answered.
  OtherVmsRequests = std::max(0, report.Running + report.Waiting - Outstanding);
  ReportAt = now;
  Slowness = std::clamp(report.SlownessPercent, 10, 2000) / 100.0;
  // Disturbances can only increase the processing time, so decreases are
  // adopted at once and increases are averaged.
  const double weight =
      !HasReport || Slowness < LastingSlowness ? 1 : SlownessWeight;
  LastingSlowness += weight * (Slowness - LastingSlowness);
  HasReport = true;
  ReportedSlots = report.Slots;
}

void UpstreamLoad::onAttemptEnd(AttemptOutcome end, Duration latency,
                                Time now) {
  Outstanding = std::max(0, Outstanding - 1);
  if (isConnectionFailure(end)) {
    if (LastConnectionFailureAt == Time::min() ||
        now > LastConnectionFailureAt + LinkLossLookback)
      SettledFailures = Failures;
    LastConnectionFailureAt = now;
  } else {
    SettledFailures.update(end, now);
  }
  Failures.update(end, now);
  if (end != AttemptOutcome::Served)
    return;
  const double slots = std::max(ReportedSlots, 1);
  const double queueingRounds = std::max(0.0, busy(now) + 1 - slots) / slots;
  const double work =
      static_cast<double>(latency.count()) / (1 + queueingRounds) / Slowness;
  ProcessingUs = ProcessingUs == 0 ? work
                                   : ProcessingUs + ProcessingTimeWeight *
                                                        (work - ProcessingUs);
}

void UpstreamLoad::FailureEstimate::update(AttemptOutcome end, Time now) {
  const auto updateRate = [&](double value) {
    Rate += FailureWeight * (value - Rate);
  };
  switch (end) {
  case AttemptOutcome::Served:
    Consecutive = 0;
    BackoffUntil = Time();
    updateRate(0);
    break;
  case AttemptOutcome::Failed:
    Consecutive = 0;
    updateRate(1);
    break;
  case AttemptOutcome::Shed:
    Consecutive = 0;
    updateRate(0.5);
    BackoffUntil = std::max(BackoffUntil, now + ShedBackoff);
    break;
  case AttemptOutcome::NotConnected:
  case AttemptOutcome::ConnectionBroken:
    updateRate(1);
    BackoffUntil =
        std::max(BackoffUntil,
                 now + InitialBackoff *
                           (1 << std::min(Consecutive, MaxBackoffDoublings)));
    ++Consecutive;
    break;
  case AttemptOutcome::WrongUpstream:
  case AttemptOutcome::Cancelled:
    break;
  }
}

void UpstreamLoad::forgetConnectionFailures(Time since) {
  if (LastConnectionFailureAt >= since)
    Failures = SettledFailures;
}

double UpstreamLoad::busy(Time now) const {
  return Outstanding +
         OtherVmsRequests * std::exp(-ageUs(ReportAt, now) / ReportDecayUs);
}

double UpstreamLoad::slowness(Time now) const {
  return LastingSlowness +
         (Slowness - LastingSlowness) *
             std::exp(-ageUs(ReportAt, now) / SlownessDecayUs);
}

double UpstreamLoad::cost(int slots, Time now) const {
  const double queueingRounds =
      std::max(0.0, busy(now) + 1 - slots) / std::max(slots, 1);
  return slowness(now) * (1 + queueingRounds) *
         (1 + FailureCost * Failures.Rate);
}

} // namespace waxwing
