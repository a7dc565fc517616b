/**
 * @file peer_loads_base.h
 * Open requests, latency and failures of homes (routers that alone use an
 * upstream's slots), as a router that forwards requests to them observes them,
 * and the choice between homes by load.
 */
#ifndef WAXWING_TRAFFIC_PEER_LOADS_BASE_H
#define WAXWING_TRAFFIC_PEER_LOADS_BASE_H

#include "core/verdict_type.h"
#include "traffic/home_directory_base.h"
#include "traffic/latency_window_base.h"

#include <random>
#include <set>

namespace waxwing {

/// Load of the routers that are homes of one service's upstreams (that alone
/// may use their slots), including this router.
class PeerLoads {
public:
  /// Records the start of an attempt sent by @p router to an upstream.
  void begin(const VmId &router, Time now);
  /// Records the end of an attempt.
  /// @param startedAt the time passed to begin()
  void end(const VmId &router, Time startedAt, Reason why, Time now);

  /// @return estimate of the wait at a peer; lower is better. Its unit has no
  ///   meaning, so it is only compared with the scores of other peers
  double score(const HomePeer &peer, Time now) const;
  /// @return whether the router failed an attempt recently and must not be used
  bool isSuspect(const VmId &router, Time now) const;
  /// Picks two usable peers at random and takes the one with the lower
  /// score().
  /// @param isUsable filters the peers
  /// @return the chosen peer, or nullptr when none is usable
  template <class IsUsable>
  const HomePeer *choose(const std::vector<HomePeer> &peers,
                         std::mt19937_64 &random, Time now,
                         IsUsable &&isUsable) const {
    std::vector<const HomePeer *> usable;
    for (const HomePeer &peer : peers)
      if (!isSuspect(peer.Router, now) && isUsable(peer))
        usable.push_back(&peer);
    if (usable.empty())
      return nullptr;
    const auto first = random() % usable.size();
    if (usable.size() == 1)
      return usable[0];
    const auto second =
        (first + 1 + random() % (usable.size() - 1)) % usable.size();
    return score(*usable[second], now) < score(*usable[first], now)
               ? usable[second]
               : usable[first];
  }

private:
  struct Load {
    /// Start times of the attempts that have not ended.
    std::multiset<Time> OpenAttemptStarts;
    LatencyWindow Latency;
    Time SuspectUntil;
    Time MarkedSlowUntil; ///< score() is multiplied by a penalty until then
  };

  absl::flat_hash_map<VmId, Load> Loads;
};

} // namespace waxwing

#endif
