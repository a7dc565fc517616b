/**
 * @file range_balance.cpp
 * An upstream's cost is the time that its callers spend in sum: request rate
 * times expected latency. Keys move where the sum over both ends falls.
 */
#include "ranges/range_balance_func.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <optional>

namespace waxwing {
namespace {

/// Least gain of a move, seconds of waiting saved in each second. A move
/// holds its keys for some tenths of a second and costs each VM two calls.
constexpr double LeastGain = 0.4;
/// Weight of an idle key, so that upstreams without traffic still differ by
/// the number of keys they own; requests/s for each key.
constexpr double IdleKeyRate = 1e-5;
/// Utilization from which the queueing formula goes on as a straight line.
constexpr double SteepUtilization = 0.9;
/// Utilization up to which an upstream takes on keys without regard to the
/// others: requests seldom wait below it.
constexpr double LightUtilization = 0.6;
/// Most loaded upstreams that are looked at for a move; the first ones may
/// have only keys that move already.
constexpr std::size_t MaxGivers = 4;
/// Parts of the giver's rate that are tried as the amount to move.
constexpr std::array<double, 6> MoveShares{0.75, 0.5, 0.35, 0.2, 0.1, 0.05};
constexpr int KeyCount = 65536;

double queueFactor(double utilization, double slots) {
  return std::pow(utilization, std::sqrt(2 * (slots + 1)) - 1) /
         (slots * (1 - utilization));
}

double cost(const RangeUpstream &upstream, double rate) {
  return rate * expectedLatency(upstream, rate);
}

/// An upstream with the load that a plan gives it.
struct LoadView {
  const RangeUpstream *Upstream = nullptr;
  double Rate = 0; ///< requests/s
  bool OwnsKeys = false;

  double marginal() const {
    return cost(*Upstream, Rate + 1) - cost(*Upstream, Rate);
  }
};

using LoadViews = std::map<UpstreamId, LoadView>;

double rateOf(const KeyRange &range, const KeyLoad &load) {
  return load.rate(range) + IdleKeyRate * range.size();
}

LoadViews viewLoads(const std::vector<RangeRow> &rows,
                    const std::vector<RangeUpstream> &upstreams,
                    const KeyLoad &load) {
  LoadViews views;
  for (const RangeUpstream &upstream : upstreams)
    if (upstream.IsEligible)
      views[upstream.Id].Upstream = &upstream;
  for (const RangeRow &row : rows)
    if (const auto it = views.find(row.Owner); it != views.end()) {
      it->second.Rate += rateOf(row.Range, load);
      it->second.OwnsKeys = true;
    }
  return views;
}

struct Candidate {
  RangeMove Move;
  double Gain = 0;
};

double capacity(const RangeUpstream &upstream) {
  return upstream.Slots / std::max(upstream.ProcessingSeconds, 1e-4);
}

/// @return requests/s that @p taker should take on at most: what keeps it
///   lightly loaded, or its share of the whole load when that is more
double roomOf(const LoadView &taker, double meanUtilization) {
  const double bearable = std::max(LightUtilization, 1.2 * meanUtilization);
  return bearable * capacity(*taker.Upstream) - taker.Rate;
}

/// The best move of keys in @p row to @p taker.
/// @param room requests/s that the taker should take on at most
std::optional<Candidate> bestPart(const RangeRow &row, const LoadView &giver,
                                  const LoadView &taker, double room,
                                  const KeyLoad &load) {
  std::optional<Candidate> best;
  for (const double share : MoveShares) {
    const double wanted = std::min(share * giver.Rate, room);
    const KeyRange part = load.narrowest(row.Range, wanted);
    const double moved = rateOf(part, load);
    const double before =
        cost(*giver.Upstream, giver.Rate) + cost(*taker.Upstream, taker.Rate);
    const double after =
        cost(*giver.Upstream, std::max(giver.Rate - moved, 0.0)) +
        cost(*taker.Upstream, taker.Rate + moved);
    const double gain = before - after;
    if (gain > LeastGain && (!best || gain > best->Gain))
      best = Candidate{{part, taker.Upstream->Id}, gain};
  }
  return best;
}

/// A joined upstream without keys gets some of the busiest one's.
std::optional<RangeMove> shareWithNewcomer(const std::vector<RangeRow> &rows,
                                           const LoadViews &views,
                                           const KeyLoad &load) {
  const auto newcomer = std::ranges::find_if(
      views, [](const auto &entry) { return !entry.second.OwnsKeys; });
  if (newcomer == views.end() || views.size() < 2)
    return std::nullopt;
  const RangeRow *busiest = nullptr;
  double rate = -1;
  for (const RangeRow &row : rows)
    if (const double n = rateOf(row.Range, load);
        n > rate && row.Range.size() > 1 && views.contains(row.Owner)) {
      busiest = &row;
      rate = n;
    }
  if (busiest == nullptr)
    return std::nullopt;
  double total = 0;
  for (const auto &[id, view] : views)
    total += view.Rate;
  const KeyRange part = load.narrowest(
      busiest->Range,
      std::min(0.5 * rate, total / static_cast<double>(views.size())));
  return RangeMove{
      part == busiest->Range
          ? KeyRange{static_cast<std::uint16_t>(part.From + part.size() / 2),
                     part.To}
          : part,
      newcomer->first};
}

std::optional<RangeMove> planMove(const std::vector<RangeRow> &rows,
                                  const std::vector<RangeUpstream> &upstreams,
                                  const KeyLoad &load) {
  const LoadViews views = viewLoads(rows, upstreams, load);
  if (views.size() < 2)
    return std::nullopt;
  if (auto move = shareWithNewcomer(rows, views, load))
    return move;
  double total = 0;
  double bearable = 0;
  std::vector<const LoadView *> givers;
  for (const auto &[id, view] : views) {
    total += view.Rate;
    bearable += capacity(*view.Upstream);
    if (view.Rate >= 1)
      givers.push_back(&view);
  }
  std::ranges::sort(givers, std::ranges::greater{}, &LoadView::marginal);
  if (givers.size() > MaxGivers)
    givers.resize(MaxGivers);
  const auto least = std::ranges::min_element(
      views, {}, [](const auto &entry) { return entry.second.marginal(); });
  const LoadView &taker = least->second;
  const double room = roomOf(taker, total / bearable);
  for (const LoadView *giver : givers) {
    std::optional<Candidate> best;
    for (const RangeRow &row : rows) {
      if (row.Owner != giver->Upstream->Id || row.IsMoving || giver == &taker)
        continue;
      const auto candidate = bestPart(row, *giver, taker, room, load);
      if (candidate && (!best || candidate->Gain > best->Gain))
        best = candidate;
    }
    if (best)
      return best->Move;
  }
  return std::nullopt;
}

/// Applies a planned move to @p rows.
void applyMove(std::vector<RangeRow> &rows, const RangeMove &move) {
  const auto it = std::ranges::find_if(rows, [&](const RangeRow &row) {
    return row.Range.contains(move.Range.From);
  });
  const RangeRow row = std::move(*it);
  std::vector<RangeRow> parts;
  const auto add = [&](int from, int to, bool isMoved) {
    if (from > to)
      return;
    parts.push_back(row);
    parts.back().Range = {static_cast<std::uint16_t>(from),
                          static_cast<std::uint16_t>(to)};
    if (isMoved) {
      parts.back().Owner = move.To;
      parts.back().IsMoving = true;
    }
  };
  add(row.Range.From, move.Range.From - 1, false);
  add(move.Range.From, move.Range.To, true);
  add(move.Range.To + 1, row.Range.To, false);
  rows.insert(rows.erase(it), parts.begin(), parts.end());
}

} // namespace

double expectedLatency(const RangeUpstream &upstream, double rate) {
  const double work = std::max(upstream.ProcessingSeconds, 1e-4);
  const double slots = std::max(upstream.Slots, 1);
  const double utilization = rate * work / slots;
  if (utilization <= SteepUtilization)
    return work * (1 + queueFactor(utilization, slots));
  // Work that piles up for a second delays everybody by what exceeds.
  return work * (1 + queueFactor(SteepUtilization, slots)) +
         2 * (utilization - SteepUtilization);
}

std::vector<RangeRow> divideKeys(const std::vector<RangeUpstream> &upstreams) {
  std::vector<const RangeUpstream *> eligible;
  const auto share = [](const RangeUpstream &upstream) {
    const double work = std::max(upstream.ProcessingSeconds, 1e-4);
    return upstream.Slots / (work * work);
  };
  double total = 0;
  for (const RangeUpstream &upstream : upstreams)
    if (upstream.IsEligible) {
      eligible.push_back(&upstream);
      total += share(upstream);
    }
  std::vector<RangeRow> rows;
  double sum = 0;
  int from = 0;
  for (const RangeUpstream *upstream : eligible) {
    sum += share(*upstream);
    const int end = upstream == eligible.back()
                        ? KeyCount
                        : static_cast<int>(std::lround(KeyCount * sum / total));
    if (end <= from)
      continue;
    RangeRow row;
    row.Range = {static_cast<std::uint16_t>(from),
                 static_cast<std::uint16_t>(end - 1)};
    row.Owner = upstream->Id;
    row.OwnerStartedAtMs = upstream->StartedAtMs;
    rows.push_back(row);
    from = end;
  }
  return rows;
}

const RangeUpstream *leastLoaded(const std::vector<RangeRow> &rows,
                                 const std::vector<RangeUpstream> &upstreams,
                                 const KeyLoad &load) {
  const LoadViews views = viewLoads(rows, upstreams, load);
  const auto it = std::ranges::min_element(
      views, {}, [](const auto &entry) { return entry.second.marginal(); });
  return it == views.end() ? nullptr : it->second.Upstream;
}

std::vector<RangeMove> planMoves(std::vector<RangeRow> rows,
                                 const std::vector<RangeUpstream> &upstreams,
                                 const KeyLoad &load, int most) {
  std::vector<RangeMove> moves;
  while (static_cast<int>(moves.size()) < most) {
    const auto move = planMove(rows, upstreams, load);
    if (!move)
      break;
    applyMove(rows, *move);
    moves.push_back(*move);
  }
  return moves;
}

} // namespace waxwing
