/**
 * @file time_type.h
 * Clocks, time points and durations. Decision code never reads a clock; each
 * event carries the current time as `now`.
 */
#ifndef WAXWING_CORE_TIME_TYPE_H
#define WAXWING_CORE_TIME_TYPE_H

#include <chrono>
#include <cstdint>

namespace waxwing {

/// The monotonic clock of this process. It has no now(), so that decision code
/// cannot read it.
struct ProcessClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<ProcessClock>;
  static constexpr bool is_steady = true;
};

/// The monotonic clock of an upstream, as reported in its responses.
struct UpstreamClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<UpstreamClock>;
  static constexpr bool is_steady = true;
};

/// Wall-clock time of this VM; it may jump. It is used only to check the age of
/// idempotency keys, since callers put the time of issue into them.
struct WallClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<WallClock>;
  static constexpr bool is_steady = false;
};

using Duration = std::chrono::microseconds;
using Time = ProcessClock::time_point;          ///< on this process's clock
using UpstreamTime = UpstreamClock::time_point; ///< on one upstream's clock
using WallTime = WallClock::time_point;         ///< since the Unix epoch

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @return @p duration in whole milliseconds, rounded toward zero
constexpr std::int64_t toMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

/// Lengthens a duration so that a wait on one clock lasts at least @p span on
/// another.
/// @param driftPpm maximum rate difference between two clocks, parts per
///   million
/// @return @p span plus the maximum drift, rounded up to a microsecond
constexpr Duration addClockDrift(Duration span, std::int64_t driftPpm) {
  return span + Duration((span.count() * driftPpm + 999'999) / 1'000'000);
}

} // namespace waxwing

#endif
