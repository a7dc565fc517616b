/**
 * @file key_load.cpp
 * Counters decay with a fixed time constant, so that a counter divided by the
 * time constant is a rate.
 */
#include "ranges/key_load_base.h"

#include <cmath>
#include <numeric>

namespace waxwing {
namespace {

/// Time constant of the decay. In a service with 100 requests/s, a key range
/// with a tenth of the load then still has several requests in its counters.
constexpr Duration DecayTime = milliseconds(1500);
constexpr double DecaySeconds =
    std::chrono::duration<double>(DecayTime).count();

} // namespace

void KeyLoad::recordRequest(std::uint16_t key) { Counts[key] += 1; }

void KeyLoad::decay(Time now) {
  const auto factor = static_cast<float>(std::exp(
      -std::chrono::duration<double>(now - DecayedAt).count() / DecaySeconds));
  DecayedAt = now;
  for (float &count : Counts)
    count *= factor;
}

double KeyLoad::rate(const KeyRange &range) const {
  const auto first = Counts.begin() + range.From;
  return std::accumulate(first, first + range.size(), 0.0) / DecaySeconds;
}

KeyRange KeyLoad::findHotRange(const KeyRange &range, double wanted) const {
  const double target = wanted * DecaySeconds;
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
