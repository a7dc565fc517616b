/**
 * @file range_map_replica.cpp
 * Applies updates to the replicated range maps. An update whose base revision
 * does not match is ignored; the next hello then makes the leader send the
 * complete map.
 */
#include "peers/range_map_replica_base.h"

#include "ranges/range_codec_func.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Largest number of rows in one datagram; keeps the datagram below 8 KB.
constexpr std::size_t MaxRowsPerDatagram = 100;

/// @return rows of @p after that differ from @p before
std::vector<RangeRow> changedRows(const RangeMap &before,
                                  const RangeMap &after) {
  std::vector<RangeRow> rows;
  std::ranges::copy_if(after.Rows, std::back_inserter(rows),
                       [&](const RangeRow &row) {
                         const RangeRow *old = before.find(row.Range.From);
                         return old == nullptr || !(*old == row);
                       });
  return rows;
}

/// @return @p rows in which all rows that overlap @p changes are replaced by
///   @p changes. These cover whole rows of the sender's previous map, so no row
///   is replaced in part.
std::vector<RangeRow> applyRows(const std::vector<RangeRow> &rows,
                                const std::vector<RangeRow> &changes) {
  std::vector<RangeRow> result = changes;
  const auto isReplaced = [&](const RangeRow &row) {
    return std::ranges::any_of(changes, [&](const RangeRow &change) {
      return change.Range.From <= row.Range.To &&
             row.Range.From <= change.Range.To;
    });
  };
  std::ranges::remove_copy_if(rows, std::back_inserter(result), isReplaced);
  std::ranges::sort(result, {}, &RangeRow::Range);
  return result;
}

} // namespace

bool RangeMapReplica::applyRangeMap(const ServiceId &service,
                                    const RangeMap &map) {
  RangeMap &copy = Maps[service];
  if (map.Revision <= copy.Revision)
    return false;
  copy = map;
  return true;
}

bool RangeMapReplica::applyRangeMap(const PeerRangeUpdate &ranges) {
  RangeMap &copy = Maps[ranges.Service];
  if (ranges.Revision <= copy.Revision)
    return false;
  RangeMap next;
  next.Revision = ranges.Revision;
  next.NextFence = ranges.NextFence;
  if (ranges.Base != 0) {
    if (ranges.Base != copy.Revision)
      return false;
    next.Rows = applyRows(copy.Rows, ranges.Rows);
  } else {
    PartialMap &partialMap = PartialMaps[ranges.Service];
    if (partialMap.Revision != ranges.Revision)
      partialMap = {ranges.Revision, {}};
    partialMap.Parts[ranges.Part] = ranges.Rows;
    if (partialMap.Parts.size() < ranges.Parts)
      return false;
    for (const auto &[part, rows] : partialMap.Parts)
      next.Rows.insert(next.Rows.end(), rows.begin(), rows.end());
    PartialMaps.erase(ranges.Service);
  }
  if (!coverAllKeys(next.Rows))
    return false;
  copy = std::move(next);
  return true;
}

const RangeMap *RangeMapReplica::find(const ServiceId &service) const {
  const auto it = Maps.find(service);
  return it == Maps.end() || it->second.Revision == 0 ? nullptr : &it->second;
}

std::map<ServiceId, std::uint64_t> RangeMapReplica::revisions() const {
  std::map<ServiceId, std::uint64_t> result;
  for (const auto &[service, map] : Maps)
    result[service] = map.Revision;
  return result;
}

std::vector<PeerRangeUpdate> RangeMapReplica::buildRangeUpdates(
    const ServiceId &service, const RangeMap *before, const RangeMap &after) {
  PeerRangeUpdate update;
  update.Service = service;
  update.Revision = after.Revision;
  update.NextFence = after.NextFence;
  if (before != nullptr && before->Revision != 0) {
    update.Rows = changedRows(*before, after);
    if (update.Rows.size() <= MaxRowsPerDatagram) {
      update.Base = before->Revision;
      return {update};
    }
    update.Rows.clear();
  }
  update.Parts = static_cast<std::uint32_t>(
      (after.Rows.size() + MaxRowsPerDatagram - 1) / MaxRowsPerDatagram);
  std::vector<PeerRangeUpdate> result;
  for (std::size_t n = 0; n < after.Rows.size(); n += MaxRowsPerDatagram) {
    PeerRangeUpdate part = update;
    part.Part = static_cast<std::uint32_t>(n / MaxRowsPerDatagram);
    const auto first = after.Rows.begin() + static_cast<std::ptrdiff_t>(n);
    const auto count = std::min(MaxRowsPerDatagram, after.Rows.size() - n);
    part.Rows.assign(first, first + static_cast<std::ptrdiff_t>(count));
    result.push_back(std::move(part));
  }
  return result;
}

} // namespace waxwing
