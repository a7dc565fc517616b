/**
 * @file key_load_base.h
 * Rates at which the keys of one service are asked for.
 */
#ifndef WAXWING_RANGES_KEY_LOAD_BASE_H
#define WAXWING_RANGES_KEY_LOAD_BASE_H

#include "routing/route_type.h"

#include <vector>

namespace waxwing {

/// Exponentially decaying request rate of each key.
class KeyLoad {
public:
  /// Notes one request for @p key.
  void add(std::uint16_t key);
  /// Lets rates decay up to @p now.
  void decay(Time now);
  /// @return requests/s for keys of @p range
  double rate(const KeyRange &range) const;
  /// Finds few neighbouring keys that carry much of a range's load.
  /// @return the narrowest part of @p range with at least @p wanted
  ///   requests/s, or the whole range when it has less
  KeyRange narrowest(const KeyRange &range, double wanted) const;

private:
  static constexpr int KeyCount = 65536;

  std::vector<float> Counts = std::vector<float>(KeyCount); ///< decayed
  Time DecayedAt;
};

} // namespace waxwing

#endif
