/**
 * @file upstream_base.h
 * State of the upstream stand-in: slots, cold start and the record
 * of what it executed. The record is the oracle of the process tests.
 */
#ifndef WAXWING_STANDIN_UPSTREAM_BASE_H
#define WAXWING_STANDIN_UPSTREAM_BASE_H

#include "ownership/ownership_type.h"

#include <map>
#include <string>

namespace waxwing {

/// How the upstream is built.
struct UpstreamTraits {
  UpstreamId Id;
  int Slots = 4;             ///< requests executed at a time when warm
  int ColdSlots = 1;         ///< when just started
  int QueueLimit = 16;       ///< requests that wait for a slot
  Duration ServiceTime{};    ///< of one request when warm
  int ColdFactor = 1;        ///< multiplies ServiceTime while cold
  Duration WarmUp{};         ///< from cold to warm
  Duration NetworkLatency{}; ///< one way, added to each answer twice
  Duration ReportLag{};      ///< age of the load that /waxwing/status tells
  int ReportPercent = 100;   ///< load told, of the true one
  bool ChecksOrders = true;
  bool IsDividedByKey = false;
  std::string CrashMarker; ///< a target that contains it ends the process
};

/// First and last acceptance of a request for a unit under one token.
struct Tenure {
  Time First;
  Time Last;
};

/// What the upstream did since its start.
struct UpstreamRecord {
  std::uint64_t Executed = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Cancelled = 0;
  int PeakLoad = 0;                          ///< executed or queued at a time
  int PeakWhileCold = 0;                     ///< the same, while cold
  std::map<std::string, int> Executions;     ///< by idempotency key
  std::map<GrantedUnit, Tenure> Acceptances; ///< for services divided by key
};

} // namespace waxwing

#endif
