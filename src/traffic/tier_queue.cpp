/**
 * @file tier_queue.cpp
 * Stride scheduling between tiers.
 */
#include "traffic/tier_queue_base.h"

#include <algorithm>
#include <cmath>

namespace waxwing {
namespace {

/// How long the last slot stays reserved after a heavier tier's request.
constexpr Duration LastSlotReserveTime = milliseconds(50);

} // namespace

bool TierQueue::push(const TierId &tier, const TierConfig &config,
                     RequestId request, Time now) {
  TierState &state = Tiers[tier];
  state.LastPushAt = now;
  if (state.Requests.size() >= config.QueueLimit)
    return false;
  if (state.Requests.empty())
    state.Pass = std::max(state.Pass, LastServedPass);
  state.Weight = config.Weight;
  state.Requests.push_back(request);
  ++Size;
  return true;
}

std::optional<RequestId> TierQueue::peek(bool isLastSlot, Time now) const {
  int minWeight = 0;
  for (const auto &[tier, state] : Tiers)
    if (isLastSlot && now < state.LastPushAt + LastSlotReserveTime)
      minWeight = std::max(minWeight, state.Weight);
  const TierState *next = nullptr;
  for (const auto &[tier, state] : Tiers)
    if (!state.Requests.empty() && state.Weight >= minWeight &&
        (next == nullptr || state.Pass < next->Pass))
      next = &state;
  if (next == nullptr)
    return std::nullopt;
  return next->Requests.front();
}

void TierQueue::recordServed(const TierId &tier) {
  TierState &state = Tiers[tier];
  LastServedPass = state.Pass;
  state.Pass += 1.0 / state.Weight;
}

void TierQueue::erase(const TierId &tier, RequestId request) {
  const auto state = Tiers.find(tier);
  if (state != Tiers.end())
    Size -= std::erase(state->second.Requests, request);
}

std::size_t TierQueue::requestsAhead(const TierId &tier,
                                     const TierConfig &config) const {
  const auto state = Tiers.find(tier);
  const std::size_t own =
      state == Tiers.end() ? 0 : state->second.Requests.size();
  std::size_t total = own;
  for (const auto &[other, it] : Tiers) {
    if (other == tier)
      continue;
    // Other tiers get their weighted share until the new request is served.
    const double share = static_cast<double>(own + 1) * it.Weight /
                         static_cast<double>(config.Weight);
    total += std::min(it.Requests.size(),
                      static_cast<std::size_t>(std::ceil(share)));
  }
  return total;
}

} // namespace waxwing
