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

/// Minimum age of a silent attempt (an attempt whose connection probably no
/// longer receives responses).
constexpr Duration MinSilentAge = milliseconds(150);
/// Minimum age of a silent attempt, as a multiple of the high latency of its
/// upstream (smoothed latency plus deviations).
constexpr int SilentLatencyFactor = 8;
/// Minimum number of later attempts at the same upstream that were answered
/// before a silent attempt.
constexpr int MinOvertakingAttempts = 6;
/// Minimum age of an attempt before its upstream is probed, and minimum time
/// between two probes of an upstream.
constexpr Duration MinProbeAge = milliseconds(300);
/// Minimum age of a silent attempt when a later probe was answered.
constexpr Duration MinSilentAgeAfterProbe = milliseconds(700);
/// Minimum age of a silent attempt when a later probe was answered, as a
/// multiple of the high latency of its upstream.
constexpr int SilentLatencyFactorAfterProbe = 20;

/// Result of a check of all attempts.
struct HealthFindings {
  std::vector<UpstreamId> ToProbe; ///< upstreams to probe on new connections
  /// Attempts whose connections probably no longer receive responses, each
  /// reported once.
  std::vector<AttemptId> Silent;
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
  /// Checks all attempts in flight for silent connections and due probes.
  HealthFindings tick(Time now);

private:
  struct Attempt {
    Time StartedAt;
    int OvertakingAttempts = 0; ///< later attempts that were answered already
    bool IsReported = false;
  };
  struct Upstream {
    std::map<AttemptId, Attempt> Attempts; ///< oldest first
    Duration SmoothedLatency{}; ///< moving mean over complete responses
    /// Moving mean of the absolute differences from SmoothedLatency.
    Duration Deviation{};
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
  /// Upstream of each attempt in flight.
  absl::flat_hash_map<AttemptId, UpstreamId> UpstreamOf;
};

} // namespace waxwing

#endif
