/**
 * @file dispatch_events.h
 * Table of the dispatcher's counters of events that are no refusals.
 */
#ifndef WAXWING_TABLE_DISPATCH_EVENTS_H
#define WAXWING_TABLE_DISPATCH_EVENTS_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace waxwing {

enum class DispatchEvent : std::uint8_t {
  StartedHere,   ///< attempts at upstreams whose home is here
  Forwarded,     ///< attempts through another router
  Queued,        ///< requests that waited for a slot
  Held,          ///< requests that waited for an owner or a home
  Hedged,        ///< second attempts beside a slow first one
  HedgeNoBudget, ///< hedges not sent because the budget was used up
  HomesGained,   ///< homes that came here
  ColdStarts,    ///< upstreams that failed or refused as cold
  LatencyJumps,  ///< upstreams treated as cold because of their latency
  LastCount = LatencyJumps
};

constexpr std::size_t DispatchEventCount =
    static_cast<std::size_t>(DispatchEvent::LastCount) + 1;

/// Labels of the counters, indexed by their value.
constexpr std::array<std::string_view, DispatchEventCount> DispatchEventNames{
    "started_here",    "forwarded",    "queued",      "held",         "hedged",
    "hedge_no_budget", "homes_gained", "cold_starts", "latency_jumps"};

} // namespace waxwing

#endif
