/**
 * @file admission.h
 * Decides whether a request that cannot be sent at once is queued or refused,
 * and when a refused caller should retry.
 */
#ifndef WAXWING_ROUTING_ADMISSION_H
#define WAXWING_ROUTING_ADMISSION_H

#include "core/time_type.h"

namespace waxwing {

/// Inputs of the decision whether one request is queued or refused.
struct AdmissionInput {
  Duration TimeLeft{}; ///< until the caller's deadline or the route's timeout
  Duration TargetLatency{}; ///< target latency of the route
  Duration Waited{};        ///< time that the request has been queued
  /// Typical processing time of the service's requests; 0: unknown.
  Duration TypicalProcessingTime{};
  int QueuedAhead = 0;          ///< requests ahead of it in this VM's queue
  double AvailableSlots = 1;    ///< this VM's share of the upstreams' slots
  Duration Pause{};             ///< until an upstream accepts requests again
  bool CanBeServedLater = true; ///< some upstream may be able to serve it later
};

/// Whether a request is queued, and for how long.
struct AdmissionDecision {
  bool ShouldQueue = false; ///< false: refuse the request now
  Duration WaitLimit{};     ///< longest time in the queue from now
  Duration RetryAfter{};    ///< delay after which a refused caller should retry
};

/// @param draw random number in [0, 1); spreads the retries of refused callers
AdmissionDecision decideAdmission(const AdmissionInput &input, double draw);

} // namespace waxwing

#endif
