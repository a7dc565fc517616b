/**
 * @file dispatch_events.h
 * Dispatcher events that are counted, other than refusals, and their metric
 * labels.
 */
#ifndef WAXWING_TABLE_DISPATCH_EVENTS_H
#define WAXWING_TABLE_DISPATCH_EVENTS_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace waxwing {

/// Counted events of the dispatcher. An upstream's home is the only router that
/// sends attempts to it; other routers forward them to its home.
enum class DispatchEvent : std::uint8_t {
  StartedHere,   ///< attempts sent by this router, the upstream's home
  Forwarded,     ///< attempts forwarded to another router
  Queued,        ///< requests that had to wait for a slot
  Held,          ///< requests that had to wait for an owner or a home
  Hedged,        ///< second attempts while a slow first one ran
  HedgeNoBudget, ///< hedges not sent because the budget was exhausted
  HomesGained,   ///< home leases gained by this router
  ColdStarts,    ///< attempts whose failure or refusal indicated a cold start
  LatencyJumps,  ///< upstreams treated as cold because of a latency jump
  LastCount = LatencyJumps
};

constexpr std::size_t DispatchEventCount =
    static_cast<std::size_t>(DispatchEvent::LastCount) + 1;

/// Metric labels, indexed by DispatchEvent.
constexpr std::array<std::string_view, DispatchEventCount> DispatchEventNames{
    "started_here",    "forwarded",    "queued",      "held",         "hedged",
    "hedge_no_budget", "homes_gained", "cold_starts", "latency_jumps"};

} // namespace waxwing

#endif
