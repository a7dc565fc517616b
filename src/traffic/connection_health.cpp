/**
 * @file connection_health.cpp
 * Overtaken attempts and probes.
 */
#include "traffic/connection_health_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Weights of the newest sample, as divisors.
constexpr int UsualDivisor = 8;
constexpr int DeviationDivisor = 4;
/// Deviations above the usual time that most answers stay below.
constexpr int Deviations = 4;

} // namespace

void ConnectionHealth::start(AttemptId attempt, const UpstreamId &upstream,
                             Time now) {
  Upstreams[upstream].Attempts[attempt] = {now};
  Where[attempt] = upstream;
}

void ConnectionHealth::end(AttemptId attempt, bool isAnswered, Time now) {
  const auto where = Where.find(attempt);
  if (where == Where.end())
    return;
  Upstream &upstream = Upstreams[where->second];
  Where.erase(where);
  const auto it = upstream.Attempts.find(attempt);
  const Time startedAt = it->second.StartedAt;
  upstream.Attempts.erase(it);
  if (!isAnswered)
    return;
  learn(upstream, now - startedAt);
  for (auto &[id, other] : upstream.Attempts)
    if (other.StartedAt < startedAt)
      ++other.Overtakers;
}

void ConnectionHealth::probeAnswered(const UpstreamId &upstream, Time sentAt) {
  Upstreams[upstream].ProbeAnsweredFor = sentAt;
}

HealthFindings ConnectionHealth::tick(Time now) {
  HealthFindings findings;
  for (auto &[id, upstream] : Upstreams)
    for (auto &[attemptId, attempt] : upstream.Attempts) {
      if (attempt.IsFound || now < attempt.StartedAt + SilenceFloor)
        continue;
      if (isSilent(upstream, attempt, now)) {
        attempt.IsFound = true;
        findings.Silent.push_back(attemptId);
      } else if (isProbeDue(upstream, attempt, now)) {
        upstream.ProbedAt = now;
        findings.ToProbe.push_back(id);
      }
    }
  return findings;
}

void ConnectionHealth::learn(Upstream &upstream, Duration latency) {
  if (upstream.Usual == Duration()) {
    upstream.Usual = latency;
    upstream.Deviation = latency / 2;
    return;
  }
  const Duration error = latency - upstream.Usual;
  upstream.Usual += error / UsualDivisor;
  upstream.Deviation +=
      (std::chrono::abs(error) - upstream.Deviation) / DeviationDivisor;
}

bool ConnectionHealth::isSilent(const Upstream &upstream,
                                const Attempt &attempt, Time now) {
  const Duration age = now - attempt.StartedAt;
  const Duration usual = upstream.Usual + Deviations * upstream.Deviation;
  const bool isOvertaken = attempt.Overtakers >= SilenceOvertakers &&
                           age >= std::max(SilenceFloor, SilenceFactor * usual);
  const bool isProbed =
      upstream.ProbeAnsweredFor &&
      *upstream.ProbeAnsweredFor > attempt.StartedAt &&
      age >= std::max(ProbedSilenceFloor, ProbedSilenceFactor * usual);
  return isOvertaken || isProbed;
}

bool ConnectionHealth::isProbeDue(const Upstream &upstream,
                                  const Attempt &attempt, Time now) {
  const Duration usual = upstream.Usual + Deviations * upstream.Deviation;
  const bool isLate =
      now >= attempt.StartedAt + std::max(ProbeFloor, SilenceFactor * usual);
  return isLate &&
         (!upstream.ProbedAt || now >= *upstream.ProbedAt + ProbeFloor);
}

} // namespace waxwing
