/**
 * @file admission.h
 * Whether a request that cannot be sent now should wait, and when a refused
 * caller should come back.
 */
#ifndef WAXWING_ROUTING_ADMISSION_H
#define WAXWING_ROUTING_ADMISSION_H

#include "core/time_type.h"

namespace waxwing {

/// What decides about one request.
struct AdmissionInput {
  Duration TimeLeft{};      ///< until the caller leaves or the route times out
  Duration TargetLatency{}; ///< within it an answer earns most
  Duration Waited{};        ///< time that it has waited already
  Duration TypicalProcessingTime{}; ///< work time of the service; 0: unknown
  int QueuedAhead = 0;              ///< requests that wait before it on this VM
  double AvailableSlots = 1;        ///< slots that this VM may count as its own
  bool CanBeServedLater = true;     ///< some upstream could tryConsume it later
};

struct AdmissionDecision {
  bool ShouldQueue = false; ///< false: refuse it now
  Duration WaitLimit{};     ///< longest wait that still leaves time to serve
  Duration RetryAfter{};    ///< for a refusal: when the caller should return
};

/// @param draw uniform in [0, 1); spreads returning callers
AdmissionDecision decideAdmission(const AdmissionInput &input, double draw);

} // namespace waxwing

#endif
