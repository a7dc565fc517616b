/**
 * @file upstream_load.cpp
 * Estimates from own attempts and from what upstreams report.
 */
#include "routing/upstream_load_base.h"

#include <algorithm>
#include <cmath>

namespace waxwing {
namespace {

/// Weight of one observation in the average of work times: about twenty
/// answers outweigh the older ones.
constexpr double WorkWeight = 0.08;
/// Weight of one report in the lasting slowness when it rises.
constexpr double SlownessWeight = 0.15;
/// Weight of one attempt in the failure rate.
constexpr double FailureWeight = 0.12;
/// Other VMs' requests that a report counted are gone after about this long.
constexpr double ReportMemoryUs = 400'000;
/// A momentary slowness says little after this long.
constexpr double SlownessMemoryUs = 400'000;
/// Pause after a connection that failed or broke, doubled each time.
constexpr Duration FirstAvoidance = milliseconds(200);
constexpr int MaxDoublings = 4;
/// What one expected failure costs, in units of usual work.
constexpr double FailureCost = 4;

double ageUs(Time from, Time now) {
  return static_cast<double>((now - from).count());
}

} // namespace

void UpstreamLoad::onLoadReport(const ReportedLoad &report, Time now) {
  // The report counts this VM's requests too, but not the answered one.
  OthersBusy = std::max(0, report.Running + report.Waiting - Outstanding);
  ReportAt = now;
  Slowness = std::clamp(report.SlownessPercent, 10, 2000) / 100.0;
  // Disturbances only ever slow work down: low values are followed at once,
  // high ones little by little.
  const double weight =
      !HasReport || Slowness < LastingSlowness ? 1 : SlownessWeight;
  LastingSlowness += weight * (Slowness - LastingSlowness);
  HasReport = true;
  ReportedSlots = report.Slots;
}

void UpstreamLoad::onAttemptEnd(AttemptOutcome end, Duration latency,
                                Time now) {
  Outstanding = std::max(0, Outstanding - 1);
  const auto noteFailure = [&](double value) {
    FailureRate += FailureWeight * (value - FailureRate);
  };
  const auto avoid = [&] {
    AvoidUntil = std::max(AvoidUntil,
                          now + FirstAvoidance *
                                    (1 << std::min(BrokenInRow, MaxDoublings)));
    ++BrokenInRow;
  };
  switch (end) {
  case AttemptOutcome::Served: {
    BrokenInRow = 0;
    AvoidUntil = Time();
    noteFailure(0);
    const double slots = std::max(ReportedSlots, 1);
    const double waits = std::max(0.0, busy(now) + 1 - slots) / slots;
    const double work =
        static_cast<double>(latency.count()) / (1 + waits) / Slowness;
    WorkUs = WorkUs == 0 ? work : WorkUs + WorkWeight * (work - WorkUs);
    break;
  }
  case AttemptOutcome::Failed:
    BrokenInRow = 0;
    noteFailure(1);
    break;
  case AttemptOutcome::Shed:
    BrokenInRow = 0;
    noteFailure(0.5);
    AvoidUntil = std::max(AvoidUntil, now + milliseconds(60));
    break;
  case AttemptOutcome::NotConnected:
  case AttemptOutcome::ConnectionBroken:
    noteFailure(1);
    avoid();
    break;
  case AttemptOutcome::WrongUpstream:
  case AttemptOutcome::Cancelled:
    break;
  }
}

double UpstreamLoad::busy(Time now) const {
  return Outstanding +
         OthersBusy * std::exp(-ageUs(ReportAt, now) / ReportMemoryUs);
}

double UpstreamLoad::slowness(Time now) const {
  return LastingSlowness +
         (Slowness - LastingSlowness) *
             std::exp(-ageUs(ReportAt, now) / SlownessMemoryUs);
}

double UpstreamLoad::cost(int slots, Time now) const {
  const double waits =
      std::max(0.0, busy(now) + 1 - slots) / std::max(slots, 1);
  return slowness(now) * (1 + waits) * (1 + FailureCost * FailureRate);
}

} // namespace waxwing
