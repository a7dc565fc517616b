/**
 * @file peer_loads.cpp
 * Own observations of other routers.
 */
#include "traffic/peer_loads_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// A router that failed a forwarded request is not used for this long.
constexpr Duration SuspectTime = milliseconds(300);
/// Stands for the latency of a router without an answer yet.
constexpr Duration UnknownLatency = milliseconds(1);

/// An attempt this many times as long as the mean shows a slow home.
constexpr int SlowFactorTenths = 20;
/// A home counts as slow for this many times the slow attempt's age.
constexpr int SlowTimeFactor = 8;
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
  if (isMeasured && mean > Duration() && age > mean * SlowFactorTenths / 10)
    load.SlowUntil = std::max(load.SlowUntil, now + age * SlowTimeFactor);
  if (why == Reason::None)
    load.Latency.add(age);
  if (isRouterFailure(why))
    load.SuspectUntil = now + SuspectTime;
}

double PeerLoads::score(const HomePeer &peer, Time now) const {
  const auto it = Loads.find(peer.Router);
  const auto upstreams = static_cast<double>(peer.Upstreams.size());
  if (it == Loads.end())
    return static_cast<double>(UnknownLatency.count()) / upstreams;
  const Load &load = it->second;
  Duration latency = std::max(load.Latency.mean(), UnknownLatency);
  // The oldest request without an answer shows a slow home before its
  // answers do.
  if (!load.OpenAttemptStarts.empty())
    latency = std::max(latency, now - *load.OpenAttemptStarts.begin());
  const double penalty = now < load.SlowUntil ? SlowPenalty : 1;
  return penalty * static_cast<double>(load.OpenAttemptStarts.size() + 1) *
         static_cast<double>(latency.count()) / upstreams;
}

bool PeerLoads::isSuspect(const VmId &router, Time now) const {
  const auto it = Loads.find(router);
  return it != Loads.end() && now < it->second.SuspectUntil;
}

} // namespace waxwing
