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
/// Additional cost of an attempt that fails, relative to an attempt that
/// succeeds.
constexpr double FailureCost = 4;

/// @return time from @p from to @p now, us
double ageUs(Time from, Time now) {
  return static_cast<double>((now - from).count());
}

} // namespace

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
  const auto updateFailureRate = [&](double value) {
    FailureRate += FailureWeight * (value - FailureRate);
  };
  const auto backOff = [&] {
    BackoffUntil =
        std::max(BackoffUntil,
                 now + InitialBackoff * (1 << std::min(ConsecutiveFailures,
                                                       MaxBackoffDoublings)));
    ++ConsecutiveFailures;
  };
  switch (end) {
  case AttemptOutcome::Served: {
    ConsecutiveFailures = 0;
    BackoffUntil = Time();
    updateFailureRate(0);
    const double slots = std::max(ReportedSlots, 1);
    const double queueingRounds = std::max(0.0, busy(now) + 1 - slots) / slots;
    const double work =
        static_cast<double>(latency.count()) / (1 + queueingRounds) / Slowness;
    ProcessingUs = ProcessingUs == 0 ? work
                                     : ProcessingUs + ProcessingTimeWeight *
                                                          (work - ProcessingUs);
    break;
  }
  case AttemptOutcome::Failed:
    ConsecutiveFailures = 0;
    updateFailureRate(1);
    break;
  case AttemptOutcome::Shed:
    ConsecutiveFailures = 0;
    updateFailureRate(0.5);
    BackoffUntil = std::max(BackoffUntil, now + milliseconds(60));
    break;
  case AttemptOutcome::NotConnected:
  case AttemptOutcome::ConnectionBroken:
    updateFailureRate(1);
    backOff();
    break;
  case AttemptOutcome::WrongUpstream:
  case AttemptOutcome::Cancelled:
    break;
  }
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
  return slowness(now) * (1 + queueingRounds) * (1 + FailureCost * FailureRate);
}

} // namespace waxwing
