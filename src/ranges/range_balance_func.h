/**
 * @file range_balance_func.h
 * Chooses which keys should change hands.
 */
#ifndef WAXWING_RANGES_RANGE_BALANCE_FUNC_H
#define WAXWING_RANGES_RANGE_BALANCE_FUNC_H

#include "ranges/key_load_base.h"
#include "ranges/range_type.h"

#include <optional>

namespace waxwing {

/// Keys that should go to another upstream.
struct RangeMove {
  KeyRange Range; ///< part of one row or a whole row
  UpstreamId To;
};

/// Divides all keys among @p upstreams by their capacities.
std::vector<RangeRow> divideKeys(const std::vector<RangeUpstream> &upstreams);

/// @return the eligible upstream with the least load for its capacity, or
///   nullptr when none is eligible
const RangeUpstream *leastLoaded(const std::vector<RangeRow> &rows,
                                 const std::vector<RangeUpstream> &upstreams,
                                 const KeyLoad &load);

/// Finds the move that takes most off the most loaded upstream.
/// @return nullopt while the load is even enough
std::optional<RangeMove> planMove(const std::vector<RangeRow> &rows,
                                  const std::vector<RangeUpstream> &upstreams,
                                  const KeyLoad &load);

} // namespace waxwing

#endif
