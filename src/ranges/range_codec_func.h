/**
 * @file range_codec_func.h
 * Rows of range maps as CBOR values, shared by the store's form and by the
 * datagrams between VMs.
 */
#ifndef WAXWING_RANGES_RANGE_CODEC_FUNC_H
#define WAXWING_RANGES_RANGE_CODEC_FUNC_H

#include "ranges/range_type.h"

#include <nlohmann/json.hpp>

namespace waxwing {

nlohmann::json encodeRangeRow(const RangeRow &row);
/// @return the row; throws nlohmann::json::exception when it is malformed
RangeRow decodeRangeRow(const nlohmann::json &json);

/// @return true when @p rows are sorted and hold every key exactly once
bool coverAllKeys(const std::vector<RangeRow> &rows);

} // namespace waxwing

#endif
