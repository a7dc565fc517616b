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

/// Keys that one sketch follows.
constexpr std::size_t HotKeySketchSize = 64;

/// The space-saving algorithm (Metwally, Agrawal, El Abbadi, 2005).
/// Invariant: a key's count is at smallest its true count since the last
/// takeRates() and at most HotKeySketchSize-th of all above it.
class HotKeySketch {
public:
  /// Counts one request.
  void add(KeyHash key);

  /// @return requests per second since the last call, by key; only what the
  ///   sketch is sure of, so a rate may be too low but never too high
  std::map<KeyHash, double> takeRates(Time now);

private:
  struct Counter {
    KeyHash Key;
    std::uint64_t Count = 0;
    std::uint64_t Error = 0; ///< at most this much of Count is not the key's
  };

  std::vector<Counter> Counters;
  Time IntervalStart; ///< of the last takeRates()
};

} // namespace waxwing

#endif
