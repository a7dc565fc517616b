/**
 * @file connection_health_base.h
 * Finds connections that have gone silent while their upstream answers on
 * others. A connection carries one request at a time, so an attempt stands
 * for its connection.
 */
#ifndef WAXWING_TRAFFIC_CONNECTION_HEALTH_BASE_H
#define WAXWING_TRAFFIC_CONNECTION_HEALTH_BASE_H

#include "core/id_type.h"
#include "core/time_type.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <optional>
#include <vector>

namespace waxwing {

/// An attempt is silent at the earliest after this.
constexpr Duration SilenceFloor = milliseconds(150);
/// An attempt is silent at the earliest after so many usual answer times.
constexpr int SilenceFactor = 8;
/// Answers to later attempts at the same upstream that overtake a silent one.
constexpr int SilenceOvertakers = 6;
/// Without enough other attempts a probe is sent after this.
constexpr Duration ProbeFloor = milliseconds(300);
/// With an answered probe an attempt is silent after this.
constexpr Duration ProbedSilenceFloor = milliseconds(700);
/// The same, in usual answer times.
constexpr int ProbedSilenceFactor = 20;

/// What a look at all attempts found.
struct HealthFindings {
  std::vector<UpstreamId> ToProbe; ///< over a new connection
  std::vector<AttemptId> Silent;   ///< each is found once
};

/// A state machine without I/O. The upstream is never blamed here.
class ConnectionHealth {
public:
  void start(AttemptId attempt, const UpstreamId &upstream, Time now);
  /// @param isAnswered whether a whole answer came
  void end(AttemptId attempt, bool isAnswered, Time now);
  /// A probe over a new connection was answered.
  /// @param sentAt when it was asked for
  void probeAnswered(const UpstreamId &upstream, Time sentAt);
  HealthFindings tick(Time now);

private:
  struct Attempt {
    Time StartedAt;
    int Overtakers = 0;
    bool IsFound = false;
  };
  struct Upstream {
    std::map<AttemptId, Attempt> Attempts; ///< oldest first
    Duration Usual{};                      ///< smoothed answer time
    Duration Deviation{};                  ///< smoothed
    std::optional<Time> ProbedAt;
    std::optional<Time> ProbeAnsweredFor; ///< when that probe was sent
  };

  static void learn(Upstream &upstream, Duration latency);
  static bool isSilent(const Upstream &upstream, const Attempt &attempt,
                       Time now);
  static bool isProbeDue(const Upstream &upstream, const Attempt &attempt,
                         Time now);

  std::map<UpstreamId, Upstream> Upstreams;
  absl::flat_hash_map<AttemptId, UpstreamId> Where;
};

} // namespace waxwing

#endif
