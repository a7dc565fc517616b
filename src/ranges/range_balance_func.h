/**
 * @file range_balance_func.h
 * Load balancing of key ranges: initial division and moves between upstreams.
 */
#ifndef WAXWING_RANGES_RANGE_BALANCE_FUNC_H
#define WAXWING_RANGES_RANGE_BALANCE_FUNC_H

#include "ranges/key_load_base.h"
#include "ranges/range_type.h"

#include <vector>

namespace waxwing {

/// A planned move of a key range to another upstream.
struct RangeMove {
  KeyRange Range; ///< part or all of the keys of one RangeRow
  UpstreamId To;
};

/// @return expected latency of a request at @p upstream, including queueing,
///   while the upstream receives @p rate requests/s; s
double expectedLatency(const RangeUpstream &upstream, double rate);

/// Divides all keys among the eligible @p upstreams; slow ones get fewer keys.
std::vector<RangeRow> divideKeys(const std::vector<RangeUpstream> &upstreams);

/// @return the eligible upstream where one more request adds the least total
///   latency, or nullptr when none is eligible
const RangeUpstream *
findLeastLoaded(const std::vector<RangeRow> &rows,
                const std::vector<RangeUpstream> &upstreams,
                const KeyLoad &load);

/// Plans moves that reduce the total latency of all callers, best move first.
/// @param rows key ranges and their owners once the running moves have
/// completed
/// @param maxMoves largest number of moves to plan
std::vector<RangeMove> planMoves(std::vector<RangeRow> rows,
                                 const std::vector<RangeUpstream> &upstreams,
                                 const KeyLoad &load, int maxMoves);

} // namespace waxwing

#endif
