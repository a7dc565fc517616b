/**
 * @file upstream_limits.cpp
 * Statements of one process are ordered by time, processes of one upstream by
 * their start.
 */
#include "routing/upstream_limits.h"

#include <algorithm>
#include <functional>

namespace waxwing {
namespace {

/// Maximum number of upstreams remembered; the oldest statement is dropped.
constexpr std::size_t MaxLimitedUpstreams = 4096;
/// The end of a limit is passed on for this time.
constexpr Duration EndRetention = seconds(60);

} // namespace

bool UpstreamLimits::note(const UpstreamProcess &process,
                          std::optional<double> perS, Time at) {
  const auto known = Statements.find(process.Id);
  if (known == Statements.end()) {
    if (!perS)
      return false;
    if (Statements.size() >= MaxLimitedUpstreams)
      Statements.erase(std::ranges::min_element(
          Statements, {}, [](const auto &entry) { return entry.second.At; }));
    Statements[process.Id] = {process.StartedAtMs, perS, at};
    return true;
  }
  Statement &statement = known->second;
  const bool isNewProcess = process.StartedAtMs > statement.StartedAtMs;
  if (process.StartedAtMs < statement.StartedAtMs ||
      (!isNewProcess && at <= statement.At))
    return false;
  const bool isChanged = isNewProcess || statement.PerS != perS;
  statement = {process.StartedAtMs, perS, at};
  return isChanged;
}

std::optional<double> UpstreamLimits::find(const UpstreamId &id,
                                           std::int64_t startedAtMs) const {
  const auto it = Statements.find(id);
  return it != Statements.end() && it->second.StartedAtMs == startedAtMs
             ? it->second.PerS
             : std::nullopt;
}

std::vector<LimitNotice> UpstreamLimits::newest(std::size_t maxCount,
                                                Time now) const {
  std::vector<LimitNotice> result;
  for (const auto &[id, statement] : Statements)
    if (statement.PerS || now < statement.At + EndRetention)
      result.push_back(
          {{id, statement.StartedAtMs}, statement.PerS, now - statement.At});
  std::ranges::stable_sort(result, {}, &LimitNotice::Age);
  result.resize(std::min(result.size(), maxCount));
  return result;
}

std::size_t UpstreamLimits::limitedCount() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Statements, [](const auto &entry) {
        return entry.second.PerS.has_value();
      }));
}

} // namespace waxwing
