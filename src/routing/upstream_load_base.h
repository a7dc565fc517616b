/**
 * @file upstream_load_base.h
 * This VM's estimates of the load, speed and reliability of one upstream.
 */
#ifndef WAXWING_ROUTING_UPSTREAM_LOAD_BASE_H
#define WAXWING_ROUTING_UPSTREAM_LOAD_BASE_H

#include "routing/route_type.h"
#include "routing/sliding_window_counter.h"

#include <optional>

namespace waxwing {

/// Outcome of an attempt. WrongUpstream and Cancelled do not change the
/// estimates, since they say nothing about the upstream's state.
enum class AttemptOutcome : std::uint8_t {
  Served,           ///< complete response that is not a failure
  Failed,           ///< the upstream failed, or its response is invalid
  Shed,             ///< the overloaded upstream refused the request
  NotConnected,     ///< the connection could not be established
  ConnectionBroken, ///< the connection was lost or timed out
  WrongUpstream, ///< the upstream does not own the key, or another one answered
  Cancelled,     ///< the caller left or the deadline passed
};

/// @return true when the attempt failed without a complete response
bool isConnectionFailure(AttemptOutcome end);

/// Failed connections within this time before a VM's links to the upstreams are
/// known as lost count as caused by that loss.
inline constexpr Duration LinkLossLookback = seconds(2);

/// Load that an upstream reported in a response.
struct ReportedLoad {
  int Running = 0; ///< requests in processing
  int Waiting = 0; ///< queued requests
  int Slots = 1;
  int SlownessPercent = 100; ///< processing time, % of the normal one
};

/// Estimates for one upstream, from this VM's own attempts and from load
/// reports.
class UpstreamLoad {
public:
  /// Counts a request that was sent.
  void onRequestSent() { ++Outstanding; }
  /// Records the outcome of an attempt.
  /// @param latency from sending the request to the complete response
  void onAttemptEnd(AttemptOutcome end, Duration latency, Time now);
  void onLoadReport(const ReportedLoad &report, Time now);
  /// Forgets the recent connection failures if the last of them was at
  /// @p since or later, because this VM's links caused them.
  void forgetConnectionFailures(Time since);

  /// @return estimated number of requests, from all VMs, that the upstream is
  ///   processing or has queued
  double busy(Time now) const;
  /// @return expected cost of one more request, relative to the normal
  ///   processing time; includes queueing, slowness and failure rate
  double cost(int slots, Time now) const;
  /// @return false during the backoff after errors, while the upstream gets no
  ///   requests
  bool isOutOfBackoff(Time now) const { return now >= Failures.BackoffUntil; }
  int outstanding() const { return Outstanding; }
  /// @return expected processing time of a request that is sent now, relative
  ///   to an upstream of normal speed
  double slowness(Time now) const;
  /// @return slowness() without short-term disturbances
  double lastingSlowness() const { return LastingSlowness; }
  /// @return estimated processing time of one request at normal speed, without
  ///   queueing, us; 0 while unknown
  double processingUs() const { return ProcessingUs; }

private:
  /// What failed attempts say about the upstream.
  struct FailureEstimate {
    double Rate = 0;     ///< moving average of failed attempts, 0 to 1
    int Consecutive = 0; ///< consecutive attempts without a response
    Time BackoffUntil;   ///< the upstream gets no requests before this time

    void update(AttemptOutcome end, Time now);
  };

  int Outstanding = 0; ///< requests of this VM without an outcome yet
  /// Other VMs' requests at the upstream, from the last load report.
  double OtherVmsRequests = 0;
  Time ReportAt;       ///< arrival of the last load report
  double Slowness = 1; ///< processing time / normal one, at ReportAt
  /// Slowness without short-term disturbances; adopts decreases at once and
  /// averages increases.
  double LastingSlowness = 1;
  bool HasReport = false;
  int ReportedSlots = 0;
  double ProcessingUs = 0; ///< mean processing time at normal speed, us
  FailureEstimate Failures;
  /// Failures without the recent connection failures, that is, the last ones
  /// with less than LinkLossLookback between them.
  FailureEstimate SettledFailures;
  Time LastConnectionFailureAt = Time::min();
};

} // namespace waxwing

#endif
