/**
 * @file range_codec_func.h
 * Encoding of range map rows as CBOR values, used both in the store and in the
 * datagrams between VMs.
 */
#ifndef WAXWING_RANGES_RANGE_CODEC_FUNC_H
#define WAXWING_RANGES_RANGE_CODEC_FUNC_H

#include "ranges/range_type.h"

#include <nlohmann/json.hpp>

namespace waxwing {

nlohmann::json encodeRangeRow(const RangeRow &row);
/// @return the row
/// @throws nlohmann::json::exception when @p json is malformed
RangeRow decodeRangeRow(const nlohmann::json &json);

/// @return true when @p rows are sorted and cover every key exactly once
bool coverAllKeys(const std::vector<RangeRow> &rows);

} // namespace waxwing

#endif
