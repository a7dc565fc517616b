/**
 * @file peer_loads.cpp
 * Scores of home routers from observed load, latency and failures.
 */
#include "traffic/peer_loads_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// A router that failed an attempt is not used for this long.
constexpr Duration FailedRouterAvoidTime = milliseconds(300);
/// Assumed latency of a router that has not answered yet.
constexpr Duration AssumedInitialLatency = milliseconds(1);

/// An attempt that takes more than this many tenths of the mean latency
/// marks its router as slow.
constexpr int SlowLatencyTenthsOfMean = 20;
/// A router stays marked as slow for this multiple of the slow attempt's
/// duration.
constexpr int SlowMarkDurationFactor = 8;
/// Factor on the score of a slow router.
constexpr double SlowPenalty = 4;

bool isRouterFailure(Reason why) {
  return why == Reason::ConnectFailed || why == Reason::SendFailed ||
         why == Reason::ConnectionLost || why == Reason::SilentConnection ||
         why == Reason::UpstreamTimeout || why == Reason::ForwardRefused ||
         why == Reason::HomeUnknown || why == Reason::Draining;
}

} // namespace

void PeerLoads::begin(const VmId &router, Time now) {
  Loads[router].OpenAttemptStarts.insert(now);
}

void PeerLoads::end(const VmId &router, Time startedAt, Reason why, Time now) {
  Load &load = Loads[router];
  if (const auto it = load.OpenAttemptStarts.find(startedAt);
      it != load.OpenAttemptStarts.end())
    load.OpenAttemptStarts.erase(it);
  const Duration age = now - startedAt;
  const bool isMeasured = why == Reason::None || why == Reason::Cancelled;
  const Duration mean = load.Latency.mean();
  if (isMeasured && mean > Duration() &&
      age > mean * SlowLatencyTenthsOfMean / 10)
    load.MarkedSlowUntil =
        std::max(load.MarkedSlowUntil, now + age * SlowMarkDurationFactor);
  if (why == Reason::None)
    load.Latency.add(age);
  if (isRouterFailure(why))
    load.SuspectUntil = now + FailedRouterAvoidTime;
}

double PeerLoads::score(const HomePeer &peer, Time now) const {
  const auto it = Loads.find(peer.Router);
  const auto upstreams = static_cast<double>(peer.Upstreams.size());
  if (it == Loads.end())
    return static_cast<double>(AssumedInitialLatency.count()) / upstreams;
  const Load &load = it->second;
  Duration latency = std::max(load.Latency.mean(), AssumedInitialLatency);
  // The age of the oldest open attempt reveals a slow router before its
  // answers do.
  if (!load.OpenAttemptStarts.empty())
    latency = std::max(latency, now - *load.OpenAttemptStarts.begin());
  const double penalty = now < load.MarkedSlowUntil ? SlowPenalty : 1;
  return penalty * static_cast<double>(load.OpenAttemptStarts.size() + 1) *
         static_cast<double>(latency.count()) / upstreams;
}

bool PeerLoads::isSuspect(const VmId &router, Time now) const {
  const auto it = Loads.find(router);
  return it != Loads.end() && now < it->second.SuspectUntil;
}

} // namespace waxwing
