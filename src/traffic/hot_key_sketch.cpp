/**
 * @file hot_key_sketch.cpp
 * Space-saving algorithm with a fixed number of counters.
 */
#include "traffic/hot_key_sketch_base.h"

#include <algorithm>
#include <utility>

namespace waxwing {

void HotKeySketch::add(KeyHash key) {
  const auto it = std::ranges::find(Counters, key, &Counter::Key);
  if (it != Counters.end()) {
    ++it->Count;
    return;
  }
  if (Counters.size() < HotKeySketchSize) {
    Counters.push_back({key, 1, 0});
    return;
  }
  const auto smallest = std::ranges::min_element(Counters, {}, &Counter::Count);
  *smallest = {key, smallest->Count + 1, smallest->Count};
}

std::map<KeyHash, double> HotKeySketch::takeRates(Time now) {
  const double passed =
      std::chrono::duration<double>(now - std::exchange(IntervalStart, now))
          .count();
  std::map<KeyHash, double> rates;
  if (passed > 0)
    for (const Counter &counter : Counters)
      rates[counter.Key] =
          static_cast<double>(counter.Count - counter.Error) / passed;
  Counters.clear();
  return rates;
}

} // namespace waxwing
