/**
 * @file key_load_base.h
 * Request rates of the keys of one service.
 */
#ifndef WAXWING_RANGES_KEY_LOAD_BASE_H
#define WAXWING_RANGES_KEY_LOAD_BASE_H

#include "routing/route_type.h"

#include <vector>

namespace waxwing {

/// Estimates the request rate of each key with exponentially decaying counters.
class KeyLoad {
public:
  /// Counts one request for @p key.
  void recordRequest(std::uint16_t key);
  /// Decays all counters for the time since the last call.
  void decay(Time now);
  /// @return estimated requests/s for all keys of @p range
  double rate(const KeyRange &range) const;
  /// @return the narrowest part of @p range that receives at least @p wanted
  ///   requests/s, or the whole range when it receives less
  KeyRange findHotRange(const KeyRange &range, double wanted) const;

private:
  static constexpr int KeyCount = 65536;

  std::vector<float> Counts =
      std::vector<float>(KeyCount); ///< decayed number of requests of each key
  Time DecayedAt;                   ///< time of the last decay()
};

} // namespace waxwing

#endif
