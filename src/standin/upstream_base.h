/**
 * @file upstream_base.h
 * State of the upstream stand-in: slots, cold start and the record
 * of what it executed. The record is the oracle of the process tests.
 */
#ifndef WAXWING_STANDIN_UPSTREAM_BASE_H
#define WAXWING_STANDIN_UPSTREAM_BASE_H

#include "core/id_type.h"
#include "core/time_type.h"

#include <map>
#include <string>

namespace waxwing {

/// How the upstream is built.
struct UpstreamTraits {
  UpstreamId Id;
  int Slots = 4;          ///< requests executed at a time when warm
  int ColdSlots = 1;      ///< when just started
  int QueueLimit = 16;    ///< requests that wait for a slot
  Duration ServiceTime{}; ///< of one request
  Duration WarmUp{};      ///< from cold to warm
  bool ChecksOrders = true;
  bool IsDividedByKey = false;
};

/// What the upstream did since its start.
struct UpstreamRecord {
  std::uint64_t Executed = 0;
  std::uint64_t Shed = 0;
  int PeakRunning = 0;                   ///< executed or queued at a time
  int PeakWhileCold = 0;                 ///< the same, while cold
  std::map<std::string, int> Executions; ///< by idempotency key
};

} // namespace waxwing

#endif
