/**
 * @file fleet_model.h
 * Model of many VMs that send requests to the upstreams of one service, in
 * simulated time. Each VM chooses upstreams with the production UpstreamTable,
 * which knows only the load reported in responses to that VM. Callers retry
 * once when refused.
 */
#ifndef WAXWING_EMULATOR_FLEET_MODEL_H
#define WAXWING_EMULATOR_FLEET_MODEL_H

#include "core/time_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace waxwing {

/// Parameters of one simulation run.
struct FleetScenario {
  std::string Name; ///< name of the load pattern
  int Vms = 80;
  int Upstreams = 90;
  int Slots = 3; ///< slots of each upstream
  /// Mean service time of an upstream that isn't slow.
  Duration ServiceTime = milliseconds(260);
  Duration NetworkLatency = milliseconds(1); ///< one-way latency
  Duration TargetLatency = milliseconds(1000);
  /// A request whose response takes longer counts as failed.
  Duration CallerTimeout = milliseconds(4000);
  double Load = 0.6; ///< arrival rate relative to the capacity of all slots
  double SurgeLoad = 0.6; ///< value of Load from time SurgeAt on
  Duration SurgeAt = seconds(5);
  double SlowFraction = 0; ///< fraction of the upstreams that are slow
  /// Service time of slow upstreams relative to ServiceTime.
  double SlowFactor = 4;
  /// Maximum queue length of an upstream, in requests per slot; an upstream
  /// whose queue is full sheds further requests.
  double QueueLimit = 2;
  int Retries = 1; ///< retries by a VM after an upstream shed the request
  /// Delay before a refused caller retries.
  Duration CallerRetryDelay = milliseconds(300);
  Duration ArrivalPeriod = seconds(15);
  std::uint64_t Seed = 1;
};

/// Outcomes of the requests that arrived in one second, or in the whole run.
struct FleetStatistics {
  int Arrived = 0;
  int WithinTarget = 0; ///< answered within TargetLatency
  int Late = 0;         ///< answered after TargetLatency, within CallerTimeout
  int Refused = 0;      ///< refused again when the caller retried
  int Failed = 0;       ///< answered after CallerTimeout
  /// Longest queue at an upstream during that second, in requests per slot.
  double MaxQueuePerSlot = 0;
};

/// Outcomes of a simulation run.
struct FleetResult {
  std::vector<FleetStatistics> Seconds; ///< by arrival time
  FleetStatistics total() const;
};

/// Runs the simulation; the result is deterministic for a scenario.
FleetResult runFleet(const FleetScenario &scenario);

} // namespace waxwing

#endif
