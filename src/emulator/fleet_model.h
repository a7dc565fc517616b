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
  std::string Name; ///< of the load pattern
  int Vms = 80;
  int Upstreams = 90;
  int Slots = 3; ///< of each upstream
  Duration ServiceTime =
      milliseconds(260);              ///< mean, of an upstream that isn't slow
  Duration Network = milliseconds(1); ///< one way
  Duration TargetLatency = milliseconds(1000);
  Duration CallerTimeout =
      milliseconds(4000); ///< later responses count as failed
  double Load = 0.6; ///< arrival rate relative to the capacity of all slots
  double SurgeLoad = 0.6; ///< Load from SurgeAt on
  Duration SurgeAt = seconds(5);
  double SlowFraction = 0; ///< fraction of the upstreams that are slow
  double SlowFactor =
      4; ///< service time of slow upstreams relative to ServiceTime
  /// Longest queue at an upstream, in requests per slot; it sheds the rest.
  double QueueLimit = 2;
  int Retries = 1; ///< by a VM, after an upstream shed the request
  Duration CallerRetryDelay =
      milliseconds(300); ///< before a refused caller retries
  Duration ArrivalPeriod = seconds(15);
  std::uint64_t Seed = 1;
};

/// Outcomes of the requests that arrived in one second, or in the whole run.
struct FleetStatistics {
  int Arrived = 0;
  int InTarget = 0;
  int Late = 0;
  int Refused = 0;
  int Failed = 0; ///< answered after CallerTimeout
  double MaxQueuePerSlot =
      0; ///< longest queue at an upstream, requests per slot
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
