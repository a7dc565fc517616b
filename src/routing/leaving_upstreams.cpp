/**
 * @file leaving_upstreams.cpp
 * A process is identified by its upstream's id and its start time.
 */
#include "routing/leaving_upstreams.h"

#include <algorithm>
#include <iterator>

namespace waxwing {
namespace {

/// Maximum number of upstreams remembered; the oldest notice is dropped.
constexpr std::size_t MaxLeavingUpstreams = 4096;

} // namespace

bool LeavingUpstreams::note(const UpstreamProcess &process, Time now) {
  const auto known = Notices.find(process.Id);
  if (known != Notices.end() &&
      known->second.StartedAtMs >= process.StartedAtMs)
    return false;
  if (known == Notices.end() && Notices.size() >= MaxLeavingUpstreams)
    Notices.erase(std::ranges::min_element(
        Notices, {}, [](const auto &entry) { return entry.second.NotedAt; }));
  Notices[process.Id] = {process.StartedAtMs, now, now + KeyServingTime, false};
  return true;
}

bool LeavingUpstreams::contains(const UpstreamId &id,
                                std::int64_t startedAtMs) const {
  const auto it = Notices.find(id);
  return it != Notices.end() && startedAtMs <= it->second.StartedAtMs;
}

bool LeavingUpstreams::mayServeLastRequests(const UpstreamId &id,
                                            Time now) const {
  const auto it = Notices.find(id);
  return it != Notices.end() && now < it->second.ServesKeysUntil;
}

void LeavingUpstreams::retire(const UpstreamId &id) {
  if (const auto it = Notices.find(id); it != Notices.end())
    it->second.IsRetired = true;
}

std::vector<UpstreamProcess>
LeavingUpstreams::newest(std::size_t maxCount) const {
  std::vector<std::pair<Time, UpstreamProcess>> notices;
  for (const auto &[id, notice] : Notices)
    if (!notice.IsRetired)
      notices.emplace_back(notice.NotedAt,
                           UpstreamProcess{id, notice.StartedAtMs});
  std::ranges::stable_sort(notices, std::ranges::greater(),
                           &std::pair<Time, UpstreamProcess>::first);
  notices.resize(std::min(notices.size(), maxCount));
  std::vector<UpstreamProcess> result;
  std::ranges::transform(notices, std::back_inserter(result),
                         &std::pair<Time, UpstreamProcess>::second);
  return result;
}

} // namespace waxwing
