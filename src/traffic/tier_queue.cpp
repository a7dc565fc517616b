/**
 * @file tier_queue.cpp
 * Weighted fair sharing between tiers.
 */
#include "traffic/tier_queue_base.h"

#include <algorithm>
#include <cmath>

namespace waxwing {
namespace {

/// The last slot is kept for this long after a heavier tier's request.
constexpr Duration ReserveSpan = milliseconds(50);

} // namespace

bool TierQueue::push(const TierId &tier, const TierConfig &config,
                     RequestId request, Time now) {
  Lane &lane = Lanes[tier];
  lane.PushedAt = now;
  if (lane.Requests.size() >= config.QueueLimit)
    return false;
  if (lane.Requests.empty())
    lane.Pass = std::max(lane.Pass, ServedPass);
  lane.Weight = config.Weight;
  lane.Requests.push_back(request);
  ++Size;
  return true;
}

std::optional<RequestId> TierQueue::peek(bool isLastSlot, Time now) const {
  int leastWeight = 0;
  for (const auto &[tier, lane] : Lanes)
    if (isLastSlot && now < lane.PushedAt + ReserveSpan)
      leastWeight = std::max(leastWeight, lane.Weight);
  const Lane *next = nullptr;
  for (const auto &[tier, lane] : Lanes)
    if (!lane.Requests.empty() && lane.Weight >= leastWeight &&
        (next == nullptr || lane.Pass < next->Pass))
      next = &lane;
  if (next == nullptr)
    return std::nullopt;
  return next->Requests.front();
}

void TierQueue::charge(const TierId &tier) {
  Lane &lane = Lanes[tier];
  ServedPass = lane.Pass;
  lane.Pass += 1.0 / lane.Weight;
}

void TierQueue::erase(const TierId &tier, RequestId request) {
  const auto lane = Lanes.find(tier);
  if (lane != Lanes.end())
    Size -= std::erase(lane->second.Requests, request);
}

std::size_t TierQueue::ahead(const TierId &tier,
                             const TierConfig &config) const {
  const auto lane = Lanes.find(tier);
  const std::size_t own =
      lane == Lanes.end() ? 0 : lane->second.Requests.size();
  std::size_t total = own;
  for (const auto &[other, it] : Lanes) {
    if (other == tier)
      continue;
    // Others are served their share while the own requests wait.
    const double share = static_cast<double>(own + 1) * it.Weight /
                         static_cast<double>(config.Weight);
    total += std::min(it.Requests.size(),
                      static_cast<std::size_t>(std::ceil(share)));
  }
  return total;
}

} // namespace waxwing
