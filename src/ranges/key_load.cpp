/**
 * @file key_load.cpp
 * Counts decay with a fixed time constant, so a count divided by it is a rate.
 */
#include "ranges/key_load_base.h"

#include <cmath>
#include <numeric>

namespace waxwing {
namespace {

/// Time constant of the decay: long enough that a service of 100 requests/s
/// shows a stretch of keys with a tenth of its load by several requests.
constexpr Duration Memory = milliseconds(1500);
constexpr double MemorySeconds = std::chrono::duration<double>(Memory).count();

} // namespace

void KeyLoad::add(std::uint16_t key) { Counts[key] += 1; }

void KeyLoad::decay(Time now) {
  const auto factor = static_cast<float>(std::exp(
      -std::chrono::duration<double>(now - DecayedAt).count() / MemorySeconds));
  DecayedAt = now;
  for (float &count : Counts)
    count *= factor;
}

double KeyLoad::rate(const KeyRange &range) const {
  const auto first = Counts.begin() + range.From;
  return std::accumulate(first, first + range.size(), 0.0) / MemorySeconds;
}

KeyRange KeyLoad::narrowest(const KeyRange &range, double wanted) const {
  const double target = wanted * MemorySeconds;
  KeyRange best = range;
  double sum = 0;
  int from = range.From;
  for (int to = range.From; to <= range.To; ++to) {
    sum += Counts[to];
    while (from < to && sum - Counts[from] >= target)
      sum -= Counts[from++];
    if (sum >= target && to - from + 1 < best.size())
      best = {static_cast<std::uint16_t>(from), static_cast<std::uint16_t>(to)};
  }
  return best;
}

} // namespace waxwing
