/**
 * @file range_codec.cpp
 * CBOR encoding of range maps, and validation of decoded maps.
 */
#include "ranges/range_codec_func.h"

#include <absl/status/status.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace waxwing {

nlohmann::json encodeRangeRow(const RangeRow &row) {
  return {row.Range.From, row.Range.To, row.Owner.Value, row.OwnerStartedAtMs,
          row.Fence,      row.Handover, row.IsMoving};
}

RangeRow decodeRangeRow(const nlohmann::json &json) {
  return {{json.at(0).get<std::uint16_t>(), json.at(1).get<std::uint16_t>()},
          UpstreamId(json.at(2).get<std::string>()),
          json.at(3).get<std::int64_t>(),
          json.at(4).get<std::uint64_t>(),
          json.at(5).get<std::string>(),
          json.at(6).get<bool>()};
}

bool coverAllKeys(const std::vector<RangeRow> &rows) {
  constexpr int lastKey = 65535;
  int next = 0;
  const bool isSorted = std::ranges::all_of(rows, [&](const RangeRow &row) {
    const bool isContiguous =
        row.Range.From == next && row.Range.To >= row.Range.From;
    next = row.Range.To + 1;
    return isContiguous;
  });
  return isSorted && next == lastKey + 1;
}

const RangeRow *RangeMap::find(std::uint16_t key) const {
  const auto it = std::ranges::lower_bound(
      Rows, key, {}, [](const RangeRow &row) { return row.Range.To; });
  return it != Rows.end() && it->Range.contains(key) ? &*it : nullptr;
}

std::string encodeRangeMap(const RangeMap &map) {
  nlohmann::json rows = nlohmann::json::array();
  for (const RangeRow &row : map.Rows)
    rows.push_back(encodeRangeRow(row));
  const auto bytes = nlohmann::json::to_cbor(
      {{"next", map.NextFence}, {"epoch", map.Epoch}, {"rows", rows}});
  return {bytes.begin(), bytes.end()};
}

absl::StatusOr<RangeMap> decodeRangeMap(const std::string &bytes,
                                        StoreRevision revision,
                                        StoreEpoch currentEpoch) {
  RangeMap map;
  map.Revision = revision;
  try {
    const auto json = nlohmann::json::from_cbor(bytes);
    map.NextFence = json.at("next").get<std::uint64_t>();
    map.Epoch = json.value("epoch", currentEpoch);
    for (const auto &row : json.at("rows"))
      map.Rows.push_back(decodeRangeRow(row));
  } catch (const nlohmann::json::exception &error) {
    return absl::InvalidArgumentError(std::string("range map: ") +
                                      error.what());
  }
  if (!map.Rows.empty() && !coverAllKeys(map.Rows))
    return absl::InvalidArgumentError(
        "range map: rows do not cover every key exactly once");
  return map;
}

} // namespace waxwing
