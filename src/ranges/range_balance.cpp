/**
 * @file range_balance.cpp
 * Load of an upstream is the request rate of its keys over its capacity.
 */
#include "ranges/range_balance_func.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace waxwing {
namespace {

/// Keys move when the most loaded upstream has this much of the mean load;
/// below it a move costs callers more than the imbalance does.
constexpr double ImbalanceToMove = 1.5;
/// Rates below this say little about the next second, requests/s.
constexpr double LeastRateToMove = 3.0;
/// Weight of an idle key, so that upstreams without traffic still differ by
/// the number of keys they own; requests/s for each key.
constexpr double IdleKeyRate = 1e-4;
constexpr int KeyCount = 65536;

struct LoadView {
  const RangeUpstream *Upstream = nullptr;
  double Rate = 0; ///< requests/s
  bool OwnsKeys = false;

  double relative() const { return Rate / std::max(Upstream->Capacity, 1e-3); }
};

std::map<UpstreamId, LoadView>
viewLoads(const std::vector<RangeRow> &rows,
          const std::vector<RangeUpstream> &upstreams, const KeyLoad &load) {
  std::map<UpstreamId, LoadView> views;
  for (const RangeUpstream &upstream : upstreams)
    if (upstream.IsEligible)
      views[upstream.Id].Upstream = &upstream;
  for (const RangeRow &row : rows)
    if (const auto it = views.find(row.Owner); it != views.end()) {
      it->second.Rate += load.rate(row.Range) + IdleKeyRate * row.Range.size();
      it->second.OwnsKeys = true;
    }
  return views;
}

/// @return the row of @p owner with the highest rate
const RangeRow *busiestRow(const std::vector<RangeRow> &rows,
                           const UpstreamId &owner, const KeyLoad &load) {
  const RangeRow *best = nullptr;
  double bestRate = -1;
  for (const RangeRow &row : rows) {
    const double rate = load.rate(row.Range) + IdleKeyRate * row.Range.size();
    if (row.Owner == owner && rate > bestRate) {
      best = &row;
      bestRate = rate;
    }
  }
  return best;
}

KeyRange upperHalf(const KeyRange &range) {
  return {static_cast<std::uint16_t>(range.From + range.size() / 2), range.To};
}

} // namespace

std::vector<RangeRow> divideKeys(const std::vector<RangeUpstream> &upstreams) {
  std::vector<const RangeUpstream *> eligible;
  double total = 0;
  for (const RangeUpstream &upstream : upstreams)
    if (upstream.IsEligible) {
      eligible.push_back(&upstream);
      total += upstream.Capacity;
    }
  std::vector<RangeRow> rows;
  double sum = 0;
  int from = 0;
  for (const RangeUpstream *upstream : eligible) {
    sum += upstream->Capacity;
    const int end = upstream == eligible.back()
                        ? KeyCount
                        : static_cast<int>(std::lround(KeyCount * sum / total));
    if (end <= from)
      continue;
    rows.push_back({{static_cast<std::uint16_t>(from),
                     static_cast<std::uint16_t>(end - 1)},
                    upstream->Id,
                    upstream->Born,
                    0,
                    ""});
    from = end;
  }
  return rows;
}

const RangeUpstream *leastLoaded(const std::vector<RangeRow> &rows,
                                 const std::vector<RangeUpstream> &upstreams,
                                 const KeyLoad &load) {
  const auto views = viewLoads(rows, upstreams, load);
  const auto it = std::ranges::min_element(
      views, {}, [](const auto &entry) { return entry.second.relative(); });
  return it == views.end() ? nullptr : it->second.Upstream;
}

std::optional<RangeMove> planMove(const std::vector<RangeRow> &rows,
                                  const std::vector<RangeUpstream> &upstreams,
                                  const KeyLoad &load) {
  const auto views = viewLoads(rows, upstreams, load);
  if (views.size() < 2)
    return std::nullopt;
  const auto relative = [](const auto &entry) {
    return entry.second.relative();
  };
  const auto most = std::ranges::max_element(views, {}, relative);
  const auto least = std::ranges::min_element(views, {}, relative);
  const LoadView &giver = most->second;
  const LoadView &taker = least->second;
  const RangeRow *row = busiestRow(rows, most->first, load);
  if (row == nullptr || most == least)
    return std::nullopt;
  if (!taker.OwnsKeys && row->Range.size() > 1 && giver.Rate < LeastRateToMove)
    return RangeMove{upperHalf(row->Range), least->first};
  double total = 0;
  double capacity = 0;
  for (const auto &[id, view] : views) {
    total += view.Rate;
    capacity += view.Upstream->Capacity;
  }
  const double mean = total / std::max(capacity, 1e-3);
  const bool isEven = giver.relative() < ImbalanceToMove * mean;
  if (giver.Rate < LeastRateToMove || (isEven && taker.OwnsKeys))
    return std::nullopt;
  // The move after which both ends are equally loaded.
  const double wanted = (giver.relative() - taker.relative()) /
                        (1 / giver.Upstream->Capacity +
                         1 / std::max(taker.Upstream->Capacity, 1e-3));
  const KeyRange part = load.narrowest(row->Range, wanted);
  // A move that only passes the whole load on to the other end gains nothing.
  const double moved = load.rate(part);
  const double after = taker.Rate + moved;
  if (after / taker.Upstream->Capacity >= giver.relative())
    return std::nullopt;
  return RangeMove{part, least->first};
}

} // namespace waxwing
