/**
 * @file router_core_health.cpp
 * Handles silent connections and requests that crash upstreams.
 */
#include "table/reasons.h"
#include "traffic/retry_func.h"
#include "traffic/router_core_base.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace waxwing {
namespace {

/// Minimum time between two probes of one upstream.
constexpr Duration ProbePeriod = milliseconds(100);
/// Number of other upstreams that are probed when one refuses connections.
constexpr std::size_t ControlProbes = 2;
/// Pause of a request that may crash upstreams, while another such request
/// runs at the same upstream or an identical one runs at any upstream.
constexpr Duration PossibleCrasherPause = milliseconds(20);

} // namespace

void RouterCore::on(UpstreamProbed &event, Time now) {
  if (event.IsAnswered) {
    Health.probeAnswered(event.Upstream, event.SentAt);
    Crashers.recordAnswer(event.Upstream, event.SentAt, now);
    for (const UpstreamId &upstream : Crashers.refusingUpstreams()) {
      ProbedAt.erase(upstream);
      probe(upstream, now);
    }
  }
  if (event.IsRefused &&
      !Crashers.recordRefusal(event.Upstream, event.SentAt, now))
    probeOthers(event.Upstream, now);
}

void RouterCore::on(LastConnectionClosed &event, Time) {
  if (Config)
    Dispatch.onPeerClosed(event.Address);
}

void RouterCore::on(CrashReportsReceived &event, Time now) {
  Crashers.merge(event.Reports, now);
}

void RouterCore::checkHealth(Time now) {
  Crashers.tick(now);
  for (const UpstreamId &upstream : Crashers.unresolvedUpstreams())
    probe(upstream, now);
  if (auto reports = Crashers.takeNewReports(); !reports.empty())
    Actions.emplace_back(BroadcastCrashReports{std::move(reports)});
  const HealthFindings findings = Health.tick(now);
  for (const UpstreamId &upstream : findings.ToProbe)
    probe(upstream, now);
  for (const AttemptId &id : findings.Silent) {
    ++SilentConnections;
    AttemptState &attempt = Attempts.at(id);
    Actions.emplace_back(CloseIdleConnections{id, attempt.StartedAt});
    // Only an idempotent request can be retried elsewhere.
    const auto request = Requests.find(attempt.Request);
    if (request == Requests.end() || !request->second->Request.IsIdempotent)
      continue;
    attempt.IsSilent = true;
    Actions.emplace_back(CancelAttempt{id});
  }
}

void RouterCore::probe(const UpstreamId &upstream, Time now) {
  const auto it = ProbedAt.find(upstream);
  if (it != ProbedAt.end() && now < it->second + ProbePeriod)
    return;
  const auto address = addressOf(upstream);
  if (!address)
    return;
  ProbedAt[upstream] = now;
  Actions.emplace_back(ProbeUpstream{upstream, *address});
}

/// Probes upstreams of other failure domains than @p upstream, or of any if
/// there are none, to find out whether this router's links work.
void RouterCore::probeOthers(const UpstreamId &upstream, Time now) {
  std::vector<UpstreamId> others;
  for (const auto &[id, team] : Config->teams())
    std::ranges::copy_if(team.Upstreams | std::views::keys,
                         std::back_inserter(others),
                         [&](const auto &it) { return it != upstream; });
  const DomainId domain = domainOf(upstream);
  std::ranges::stable_partition(
      others, [&](const auto &it) { return domainOf(it) != domain; });
  const auto apart = static_cast<std::size_t>(std::ranges::count_if(
      others, [&](const auto &it) { return domainOf(it) != domain; }));
  const std::size_t n = apart > 0 ? apart : others.size();
  for (std::size_t it = 0; it < std::min(n, ControlProbes); ++it)
    probe(others[NextControlProbe++ % n], now);
}

bool RouterCore::mayStartAttemptAt(RequestState &request,
                                   const UpstreamId &upstream, Time now) {
  if (Crashers.isSuspect(request.Fingerprint, now)) {
    if (request.InFlight.empty())
      refuse(request, Reason::SuspectedCrasher, Duration(), now);
    return false;
  }
  if (!Crashers.mayHaveCausedCrash(request.Fingerprint))
    return true;
  // At most one request with crash reports runs at an upstream, so that a
  // crash can be attributed to it.
  const bool isPossibleCrasherRunning =
      std::ranges::any_of(Attempts, [&](const auto &entry) {
        const AttemptState &other = entry.second;
        return other.Fingerprint == request.Fingerprint ||
               (other.Upstream == upstream &&
                Crashers.mayHaveCausedCrash(other.Fingerprint));
      });
  if (!isPossibleCrasherRunning)
    return true;
  if (!request.InFlight.empty())
    return false;
  const bool hasRoom = Paused.size() < PausedRequestLimit &&
                       request.PausesMade < MaxPauses &&
                       now + PossibleCrasherPause < request.Deadline;
  if (hasRoom)
    pause(request, now + PossibleCrasherPause);
  else
    refuse(request, Reason::QueueFull, Duration(), now);
  return false;
}

std::optional<Endpoint>
RouterCore::addressOf(const UpstreamId &upstream) const {
  for (const auto &[id, team] : Config->teams())
    if (const auto it = team.Upstreams.find(upstream);
        it != team.Upstreams.end())
      return it->second.Address;
  return std::nullopt;
}

DomainId RouterCore::domainOf(const UpstreamId &upstream) const {
  for (const auto &[id, team] : Config->teams())
    if (const auto it = team.Upstreams.find(upstream);
        it != team.Upstreams.end())
      return it->second.Domain;
  return {};
}

} // namespace waxwing
