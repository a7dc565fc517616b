/**
 * @file peer_loads_base.h
 * What an entry router sees of the homes it sends to: requests without an
 * answer, latency, failures. Chooses between two of them.
 */
#ifndef WAXWING_TRAFFIC_PEER_LOADS_BASE_H
#define WAXWING_TRAFFIC_PEER_LOADS_BASE_H

#include "core/verdict_type.h"
#include "traffic/home_directory_base.h"
#include "traffic/latency_window_base.h"

#include <random>
#include <set>

namespace waxwing {

/// Homes of one service, this router itself among them.
class PeerLoads {
public:
  void begin(const VmId &router, Time now);
  /// @param startedAt as given to begin()
  void end(const VmId &router, Time startedAt, Reason why, Time now);

  /// @return expected wait, in units comparable between peers
  double score(const HomePeer &peer, Time now) const;
  /// @return whether the router failed lately and is not to be used
  bool isSuspect(const VmId &router, Time now) const;
  /// Power of two choices by score().
  /// @param isUsable refuses peers
  /// @return nullptr when none is usable
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
    std::multiset<Time> OpenAttemptStarts; ///< of attempts without an end
    LatencyWindow Latency;
    Time SuspectUntil;
    Time SlowUntil; ///< lately slow: chosen only beside worse ones
  };

  absl::flat_hash_map<VmId, Load> Loads;
};

} // namespace waxwing

#endif
