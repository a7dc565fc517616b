/**
 * @file range_balance.cpp
 * The cost of an upstream is the total latency of its callers: request rate
 * times expected latency. A move is planned when it lowers the summed cost of
 * its source and its target.
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

/// Smallest cost reduction that justifies the move of a key range, in seconds
/// of latency saved per second. During a move, requests for its keys wait for
/// some tenths of a second, and each VM makes two calls.
constexpr double MinCostReduction = 0.4;
/// Request rate assumed for an idle key, so that upstreams without traffic
/// still compare by the number of keys that they own; requests/s.
constexpr double AssumedIdleKeyRate = 1e-5;
/// Utilization above which latency is extrapolated linearly; the queueing
/// formula diverges at 1.
constexpr double MaxQueueModelUtilization = 0.9;
/// Utilization up to which an upstream may receive keys regardless of the mean
/// utilization: requests seldom wait below it.
constexpr double LowUtilization = 0.6;
/// Number of upstreams that are examined as the source of a move, those
/// with the highest marginal cost first; all keys of the first may be moving.
constexpr std::size_t MaxMoveSources = 4;
/// Fractions of the source's request rate that are tried as the amount to move.
constexpr std::array<double, 6> MovedRateFractions{0.75, 0.5, 0.35,
                                                   0.2,  0.1, 0.05};
constexpr int KeyCount = 65536;

/// @return mean waiting time relative to the processing time, by Sakasegawa's
///   approximation of an M/M/c queue
double relativeWaitingTime(double utilization, double slots) {
  return std::pow(utilization, std::sqrt(2 * (slots + 1)) - 1) /
         (slots * (1 - utilization));
}

/// Least limit of an upstream that is taken into account, requests/s.
constexpr double MinLimitPerS = 0.01;

/// @return requests/s that keep all slots of @p upstream busy, or its limit if
///   that is lower
double capacity(const RangeUpstream &upstream) {
  const double bySlots =
      std::max(upstream.Slots, 1) / std::max(upstream.ProcessingSeconds, 1e-4);
  return std::min(bySlots,
                  std::max(upstream.LimitPerS.value_or(bySlots), MinLimitPerS));
}

double cost(const RangeUpstream &upstream, double rate) {
  return rate * expectedLatency(upstream, rate);
}

/// An upstream that may own keys, and the request rate of the keys it owns.
struct UpstreamRate {
  const RangeUpstream *Upstream = nullptr;
  double Rate = 0; ///< requests/s
  bool OwnsKeys = false;

  /// @return cost of one more request/s
  double marginalCost() const {
    return cost(*Upstream, Rate + 1) - cost(*Upstream, Rate);
  }
};

using UpstreamRates = std::map<UpstreamId, UpstreamRate>;

/// @return request rate of @p range, counting idle keys with AssumedIdleKeyRate
double requestRate(const KeyRange &range, const KeyLoad &load) {
  return load.rate(range) + AssumedIdleKeyRate * range.size();
}

/// @return request rates of the eligible @p upstreams by the keys in @p rows
UpstreamRates sumRequestRates(const std::vector<RangeRow> &rows,
                              const std::vector<RangeUpstream> &upstreams,
                              const KeyLoad &load) {
  UpstreamRates rates;
  for (const RangeUpstream &upstream : upstreams)
    if (upstream.IsEligible)
      rates[upstream.Id].Upstream = &upstream;
  for (const RangeRow &row : rows)
    if (const auto it = rates.find(row.Owner); it != rates.end()) {
      it->second.Rate += requestRate(row.Range, load);
      it->second.OwnsKeys = true;
    }
  return rates;
}

/// A possible move and the cost reduction that it is expected to bring.
struct MoveCandidate {
  RangeMove Move;
  double CostReduction = 0; ///< seconds of latency saved per second
};

/// @return upper bound on the requests/s to move to @p target. It may be filled
///   up to LowUtilization, or slightly above the mean utilization when that
///   is higher.
double maxRateToMove(const UpstreamRate &target, double meanUtilization) {
  const double utilization = std::max(LowUtilization, 1.2 * meanUtilization);
  return utilization * capacity(*target.Upstream) - target.Rate;
}

/// @return the move of keys of @p row from @p source to @p target with the
///   largest gain, or nullopt when none gains more than MinCostReduction
/// @param spare upper bound on the requests/s to move
std::optional<MoveCandidate> bestMoveFrom(const RangeRow &row,
                                          const UpstreamRate &source,
                                          const UpstreamRate &target,
                                          double spare, const KeyLoad &load) {
  std::optional<MoveCandidate> best;
  for (const double share : MovedRateFractions) {
    const double wanted = std::min(share * source.Rate, spare);
    const KeyRange part = load.findHotRange(row.Range, wanted);
    const double moved = requestRate(part, load);
    const double before = cost(*source.Upstream, source.Rate) +
                          cost(*target.Upstream, target.Rate);
    const double after =
        cost(*source.Upstream, std::max(source.Rate - moved, 0.0)) +
        cost(*target.Upstream, target.Rate + moved);
    const double gain = before - after;
    if (gain > MinCostReduction && (!best || gain > best->CostReduction))
      best = MoveCandidate{{part, target.Upstream->Id}, gain};
  }
  return best;
}

/// Plans a move to an upstream that owns no keys yet, from the row with the
/// highest request rate.
/// @return nullopt when every eligible upstream owns keys
std::optional<RangeMove> moveToEmptyUpstream(const std::vector<RangeRow> &rows,
                                             const UpstreamRates &rates,
                                             const KeyLoad &load) {
  const auto emptyUpstream = std::ranges::find_if(
      rates, [](const auto &entry) { return !entry.second.OwnsKeys; });
  if (emptyUpstream == rates.end() || rates.size() < 2)
    return std::nullopt;
  const RangeRow *busiest = nullptr;
  double rate = -1;
  for (const RangeRow &row : rows)
    if (const double n = requestRate(row.Range, load);
        n > rate && row.Range.size() > 1 && rates.contains(row.Owner)) {
      busiest = &row;
      rate = n;
    }
  if (busiest == nullptr)
    return std::nullopt;
  double total = 0;
  for (const auto &[id, entry] : rates)
    total += entry.Rate;
  const KeyRange part = load.findHotRange(
      busiest->Range,
      std::min(0.5 * rate, total / static_cast<double>(rates.size())));
  return RangeMove{
      part == busiest->Range
          ? KeyRange{static_cast<std::uint16_t>(part.From + part.size() / 2),
                     part.To}
          : part,
      emptyUpstream->first};
}

/// @return the next move to make, or nullopt when no move gains enough
std::optional<RangeMove> planMove(const std::vector<RangeRow> &rows,
                                  const std::vector<RangeUpstream> &upstreams,
                                  const KeyLoad &load) {
  const UpstreamRates rates = sumRequestRates(rows, upstreams, load);
  if (rates.size() < 2)
    return std::nullopt;
  if (auto move = moveToEmptyUpstream(rows, rates, load))
    return move;
  double total = 0;
  double totalCapacity = 0;
  std::vector<const UpstreamRate *> sources;
  for (const auto &[id, entry] : rates) {
    total += entry.Rate;
    totalCapacity += capacity(*entry.Upstream);
    if (entry.Rate >= 1)
      sources.push_back(&entry);
  }
  std::ranges::sort(sources, std::ranges::greater{},
                    &UpstreamRate::marginalCost);
  if (sources.size() > MaxMoveSources)
    sources.resize(MaxMoveSources);
  const auto least = std::ranges::min_element(
      rates, {}, [](const auto &entry) { return entry.second.marginalCost(); });
  const UpstreamRate &target = least->second;
  const double spare = maxRateToMove(target, total / totalCapacity);
  for (const UpstreamRate *source : sources) {
    std::optional<MoveCandidate> best;
    for (const RangeRow &row : rows) {
      if (row.Owner != source->Upstream->Id || row.IsMoving ||
          source == &target)
        continue;
      const auto candidate = bestMoveFrom(row, *source, target, spare, load);
      if (candidate &&
          (!best || candidate->CostReduction > best->CostReduction))
        best = candidate;
    }
    if (best)
      return best->Move;
  }
  return std::nullopt;
}

/// Applies a planned move to @p rows; splits the row that holds its keys.
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
  const double utilization = rate / capacity(upstream);
  if (utilization <= MaxQueueModelUtilization)
    return work * (1 + relativeWaitingTime(utilization, slots));
  // Near and above capacity, latency grows with the work that accumulates
  // within a second in excess of what the upstream can process.
  return work * (1 + relativeWaitingTime(MaxQueueModelUtilization, slots)) +
         2 * (utilization - MaxQueueModelUtilization);
}

std::vector<RangeRow> divideKeys(const std::vector<RangeUpstream> &upstreams) {
  std::vector<const RangeUpstream *> eligible;
  // The share falls with the square of the processing time: slow upstreams
  // have less capacity, and each of their requests takes longer.
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

const RangeUpstream *
findLeastLoaded(const std::vector<RangeRow> &rows,
                const std::vector<RangeUpstream> &upstreams,
                const KeyLoad &load) {
  const UpstreamRates rates = sumRequestRates(rows, upstreams, load);
  const auto it = std::ranges::min_element(
      rates, {}, [](const auto &entry) { return entry.second.marginalCost(); });
  return it == rates.end() ? nullptr : it->second.Upstream;
}

std::vector<RangeMove> planMoves(std::vector<RangeRow> rows,
                                 const std::vector<RangeUpstream> &upstreams,
                                 const KeyLoad &load, int maxMoves) {
  std::vector<RangeMove> moves;
  while (static_cast<int>(moves.size()) < maxMoves) {
    const auto move = planMove(rows, upstreams, load);
    if (!move)
      break;
    applyMove(rows, *move);
    moves.push_back(*move);
  }
  return moves;
}

} // namespace waxwing
