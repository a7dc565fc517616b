/**
 * @file upstream_limits.cpp
 * Words of one process are ordered by time, processes of one upstream by their
 * start.
 */
#include "routing/upstream_limits.h"

#include <algorithm>
#include <functional>

namespace waxwing {
namespace {

/// Maximum number of upstreams remembered; the oldest word is dropped.
constexpr std::size_t MaxLimitedUpstreams = 4096;
/// The end of a limit is passed on for this time.
constexpr Duration EndRetention = seconds(60);

} // namespace

bool UpstreamLimits::note(const UpstreamProcess &process,
                          std::optional<double> perS, Time at) {
  const auto known = Words.find(process.Id);
  if (known == Words.end()) {
    if (!perS)
      return false;
    if (Words.size() >= MaxLimitedUpstreams)
      Words.erase(std::ranges::min_element(
          Words, {}, [](const auto &entry) { return entry.second.At; }));
    Words[process.Id] = {process.StartedAtMs, perS, at};
    return true;
  }
  Word &word = known->second;
  const bool isNewProcess = process.StartedAtMs > word.StartedAtMs;
  if (process.StartedAtMs < word.StartedAtMs ||
      (!isNewProcess && at <= word.At))
    return false;
  const bool isChanged = isNewProcess || word.PerS != perS;
  word = {process.StartedAtMs, perS, at};
  return isChanged;
}

std::optional<double> UpstreamLimits::find(const UpstreamId &id,
                                           std::int64_t startedAtMs) const {
  const auto it = Words.find(id);
  return it != Words.end() && it->second.StartedAtMs == startedAtMs
             ? it->second.PerS
             : std::nullopt;
}

std::vector<LimitNotice> UpstreamLimits::newest(std::size_t maxCount,
                                                Time now) const {
  std::vector<LimitNotice> result;
  for (const auto &[id, word] : Words)
    if (word.PerS || now < word.At + EndRetention)
      result.push_back({{id, word.StartedAtMs}, word.PerS, now - word.At});
  std::ranges::stable_sort(result, {}, &LimitNotice::Age);
  result.resize(std::min(result.size(), maxCount));
  return result;
}

std::size_t UpstreamLimits::limitedCount() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Words, [](const auto &entry) { return entry.second.PerS.has_value(); }));
}

} // namespace waxwing
