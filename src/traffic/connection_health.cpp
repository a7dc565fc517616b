/**
 * @file connection_health.cpp
 * Detection of silent connections by overtaken attempts and by probes.
 */
#include "traffic/connection_health_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// The newest sample has a weight of one over these divisors.
constexpr int LatencyDivisor = 8;
constexpr int DeviationDivisor = 4;
/// Most latencies stay below the smoothed latency plus this many deviations.
constexpr int DeviationFactor = 4;

} // namespace

void ConnectionHealth::start(AttemptId attempt, const UpstreamId &upstream,
                             Time now) {
  Upstreams[upstream].Attempts[attempt] = {now};
  UpstreamOf[attempt] = upstream;
}

void ConnectionHealth::end(AttemptId attempt, bool isAnswered, Time now) {
  const auto found = UpstreamOf.find(attempt);
  if (found == UpstreamOf.end())
    return;
  Upstream &upstream = Upstreams[found->second];
  UpstreamOf.erase(found);
  const auto it = upstream.Attempts.find(attempt);
  const Time startedAt = it->second.StartedAt;
  upstream.Attempts.erase(it);
  if (!isAnswered)
    return;
  addLatency(upstream, now - startedAt);
  for (auto &[id, other] : upstream.Attempts)
    if (other.StartedAt < startedAt)
      ++other.OvertakingAttempts;
}

void ConnectionHealth::probeAnswered(const UpstreamId &upstream, Time sentAt) {
  Upstreams[upstream].AnsweredProbeSentAt = sentAt;
}

HealthFindings ConnectionHealth::tick(Time now) {
  HealthFindings findings;
  for (auto &[id, upstream] : Upstreams)
    for (auto &[attemptId, attempt] : upstream.Attempts) {
      if (attempt.IsReported || now < attempt.StartedAt + MinSilentAge)
        continue;
      if (isSilent(upstream, attempt, now)) {
        attempt.IsReported = true;
        findings.Silent.push_back(attemptId);
      } else if (isProbeDue(upstream, attempt, now)) {
        upstream.ProbedAt = now;
        findings.ToProbe.push_back(id);
      }
    }
  return findings;
}

void ConnectionHealth::addLatency(Upstream &upstream, Duration latency) {
  if (upstream.SmoothedLatency == Duration()) {
    upstream.SmoothedLatency = latency;
    upstream.Deviation = latency / 2;
    return;
  }
  const Duration error = latency - upstream.SmoothedLatency;
  upstream.SmoothedLatency += error / LatencyDivisor;
  upstream.Deviation +=
      (std::chrono::abs(error) - upstream.Deviation) / DeviationDivisor;
}

bool ConnectionHealth::isSilent(const Upstream &upstream,
                                const Attempt &attempt, Time now) {
  const Duration age = now - attempt.StartedAt;
  const Duration highLatency =
      upstream.SmoothedLatency + DeviationFactor * upstream.Deviation;
  const bool isOvertaken =
      attempt.OvertakingAttempts >= MinOvertakingAttempts &&
      age >= std::max(MinSilentAge, SilentLatencyFactor * highLatency);
  const bool isProbed =
      upstream.AnsweredProbeSentAt &&
      *upstream.AnsweredProbeSentAt > attempt.StartedAt &&
      age >= std::max(MinSilentAgeAfterProbe,
                      SilentLatencyFactorAfterProbe * highLatency);
  return isOvertaken || isProbed;
}

bool ConnectionHealth::isProbeDue(const Upstream &upstream,
                                  const Attempt &attempt, Time now) {
  const Duration highLatency =
      upstream.SmoothedLatency + DeviationFactor * upstream.Deviation;
  const bool isOverdue =
      now >= attempt.StartedAt +
                 std::max(MinProbeAge, SilentLatencyFactor * highLatency);
  return isOverdue &&
         (!upstream.ProbedAt || now >= *upstream.ProbedAt + MinProbeAge);
}

} // namespace waxwing
