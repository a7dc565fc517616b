/**
 * @file upstream_base.h
 * Settings and execution record of the upstream stand-in. The process tests
 * check their results against the record.
 */
#ifndef WAXWING_STANDIN_UPSTREAM_BASE_H
#define WAXWING_STANDIN_UPSTREAM_BASE_H

#include "ownership/ownership_type.h"

#include <map>
#include <string>

namespace waxwing {

/// Settings of the upstream.
struct UpstreamSettings {
  UpstreamId Id;
  int Slots = 4;          ///< concurrent requests when warm
  int ColdSlots = 1;      ///< concurrent requests when cold
  int QueueLimit = 16;    ///< most requests waiting for a slot
  Duration ServiceTime{}; ///< execution time of a request when warm
  int ColdFactor = 1;     ///< multiplies ServiceTime while cold
  Duration WarmUp{};      ///< time from cold to warm
  /// Simulated one-way latency; a response is delayed by twice this value.
  Duration NetworkLatency{};
  Duration ReportLag{};    ///< age of the load in /waxwing/status
  int ReportPercent = 100; ///< load in /waxwing/status, in % of the true load
  bool RejectsOldOrders = true; ///< rejects outdated grant orders
  bool IsDividedByKey = false;
  /// A request whose target contains this text crashes the process.
  std::string CrashMarker;
};

/// Times of the first and last request that was accepted for a unit (a shard or
/// a key split off from its shard) with one fencing token.
struct AcceptancePeriod {
  Time First;
  Time Last;
};

/// Counters and accepted requests since the start of the process.
struct ExecutionRecord {
  std::uint64_t Executed = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Cancelled = 0;
  int PeakLoad = 0;      ///< most requests running or queued at a time
  int PeakWhileCold = 0; ///< most requests running or queued while cold
  std::map<std::string, int> Executions; ///< execution count by idempotency key
  /// By unit and fencing token; empty unless the service is divided by key.
  std::map<GrantedUnit, AcceptancePeriod> Acceptances;
};

} // namespace waxwing

#endif
