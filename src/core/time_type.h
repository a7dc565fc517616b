/**
 * @file time_type.h
 * Points in time. Decisions never read a clock; each event carries `now`.
 */
#ifndef WAXWING_CORE_TIME_TYPE_H
#define WAXWING_CORE_TIME_TYPE_H

#include <chrono>
#include <cstdint>

namespace waxwing {

/// The monotonic clock of one process; it has no now() on purpose.
struct ProcessClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<ProcessClock>;
  static constexpr bool is_steady = true;
};

/// The monotonic clock of an upstream, as told in its answers.
struct UpstreamClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<UpstreamClock>;
  static constexpr bool is_steady = true;
};

/// Civil time as this VM knows it; may step. Only idempotency keys, whose
/// time of issue comes from callers, are compared with it.
struct WallClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<WallClock>;
  static constexpr bool is_steady = false;
};

using Duration = std::chrono::microseconds;
using Time = ProcessClock::time_point;          ///< this process's clock
using UpstreamTime = UpstreamClock::time_point; ///< one upstream's clock
using WallTime = WallClock::time_point;         ///< since the Unix epoch

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @return whole milliseconds of @p duration, for logs and wire formats
constexpr std::int64_t toMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

/// Longest wait by another clock that covers @p span here.
/// @param driftPpm bound on the relative rate of any two clocks, 1e-6
/// @return span lengthened by the drift bound, rounded up
constexpr Duration addClockDrift(Duration span, std::int64_t driftPpm) {
  return span + Duration((span.count() * driftPpm + 999'999) / 1'000'000);
}

} // namespace waxwing

#endif
