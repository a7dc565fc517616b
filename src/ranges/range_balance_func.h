/**
 * @file range_balance_func.h
 * Chooses which keys should change hands.
 */
#ifndef WAXWING_RANGES_RANGE_BALANCE_FUNC_H
#define WAXWING_RANGES_RANGE_BALANCE_FUNC_H

#include "ranges/key_load_base.h"
#include "ranges/range_type.h"

#include <vector>

namespace waxwing {

/// Keys that should go to another upstream.
struct RangeMove {
  KeyRange Range; ///< part of one row or a whole row
  UpstreamId To;
};

/// Expected time of a request at @p upstream, waiting included, while it gets
/// @p rate requests/s; s.
double expectedLatency(const RangeUpstream &upstream, double rate);

/// Divides all keys among @p upstreams, fewer to slow ones.
std::vector<RangeRow> divideKeys(const std::vector<RangeUpstream> &upstreams);

/// @return the eligible upstream where one more request costs least, or
///   nullptr when none is eligible
const RangeUpstream *leastLoaded(const std::vector<RangeRow> &rows,
                                 const std::vector<RangeUpstream> &upstreams,
                                 const KeyLoad &load);

/// Finds moves that shorten what callers wait in sum, the best first.
/// @param rows as they will be when moves under way have ended
/// @param most bound on the moves
std::vector<RangeMove> planMoves(std::vector<RangeRow> rows,
                                 const std::vector<RangeUpstream> &upstreams,
                                 const KeyLoad &load, int most);

} // namespace waxwing

#endif
