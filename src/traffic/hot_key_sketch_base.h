/**
 * @file hot_key_sketch_base.h
 * Finds the most requested keys of a service in constant memory.
 */
#ifndef WAXWING_TRAFFIC_HOT_KEY_SKETCH_BASE_H
#define WAXWING_TRAFFIC_HOT_KEY_SKETCH_BASE_H

#include "core/id_type.h"
#include "core/time_type.h"

#include <map>
#include <vector>

namespace waxwing {

/// Number of keys that one sketch tracks.
constexpr std::size_t HotKeySketchSize = 64;

/// Counts frequent keys by the space-saving algorithm (Metwally, Agrawal,
/// El Abbadi, 2005).
/// Invariant: a tracked key's count is at least its true count since the last
/// takeRates(), and exceeds it by at most 1/HotKeySketchSize of all requests.
class HotKeySketch {
public:
  /// Counts one request.
  void add(KeyHash key);

  /// Resets the counts.
  /// @return requests per second since the last call, by key; lower bounds,
  ///   never above the true rate
  std::map<KeyHash, double> takeRates(Time now);

private:
  struct Counter {
    KeyHash Key;
    std::uint64_t Count = 0;
    std::uint64_t Error = 0; ///< upper bound of the overcount in Count
  };

  std::vector<Counter> Counters;
  Time IntervalStart; ///< time of the last takeRates()
};

} // namespace waxwing

#endif
