/**
 * @file connection_health_base.h
 * Detects connections that no longer receive responses while their upstream
 * responds on other connections. A connection carries one request at a time,
 * so an attempt identifies its connection.
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

/// An attempt younger than this is never found silent.
constexpr Duration MinSilentAge = milliseconds(150);
/// Minimum age of a silent attempt, as a multiple of the high latency of its
/// upstream (smoothed latency plus deviations).
constexpr int SilentLatencyFactor = 8;
/// Minimum number of later attempts at the same upstream that were answered
/// before a silent attempt.
constexpr int MinOvertakers = 6;
/// Minimum age of an attempt before its upstream is probed, and minimum time
/// between two probes of an upstream.
constexpr Duration MinProbeAge = milliseconds(300);
/// Minimum age of a silent attempt when a later probe was answered.
constexpr Duration MinProbedSilentAge = milliseconds(700);
/// Minimum age of a silent attempt when a later probe was answered, as a
/// multiple of the high latency of its upstream.
constexpr int ProbedSilentLatencyFactor = 20;

/// Result of a check of all attempts.
struct HealthFindings {
  std::vector<UpstreamId> ToProbe; ///< upstreams to probe on new connections
  std::vector<AttemptId> Silent;   ///< silent attempts, each reported once
};

/// Tracks attempts in flight and finds silent connections. It never concludes
/// that an upstream has failed. A state machine without I/O.
class ConnectionHealth {
public:
  void start(AttemptId attempt, const UpstreamId &upstream, Time now);
  /// @param isAnswered whether a complete response arrived
  void end(AttemptId attempt, bool isAnswered, Time now);
  /// Records that an upstream answered a probe over a new connection.
  /// @param sentAt when the probe was sent
  void probeAnswered(const UpstreamId &upstream, Time sentAt);
  /// Checks all attempts.
  HealthFindings tick(Time now);

private:
  struct Attempt {
    Time StartedAt;
    int Overtakers = 0; ///< later attempts that were answered already
    bool IsReported = false;
  };
  struct Upstream {
    std::map<AttemptId, Attempt> Attempts; ///< oldest first
    Duration SmoothedLatency{}; ///< moving mean over complete responses
    Duration Deviation{}; ///< moving mean of distances from SmoothedLatency
    std::optional<Time> ProbedAt;
    std::optional<Time>
        AnsweredProbeSentAt; ///< when the last answered probe was sent
  };

  static void addLatency(Upstream &upstream, Duration latency);
  static bool isSilent(const Upstream &upstream, const Attempt &attempt,
                       Time now);
  static bool isProbeDue(const Upstream &upstream, const Attempt &attempt,
                         Time now);

  std::map<UpstreamId, Upstream> Upstreams;
  absl::flat_hash_map<AttemptId, UpstreamId>
      UpstreamOf; ///< of attempts in flight
};

} // namespace waxwing

#endif
