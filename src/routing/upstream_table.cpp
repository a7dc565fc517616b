/**
 * @file upstream_table.cpp
 * Chooses the upstream with the least expected cost. Upstreams in this VM's
 * failure domain are preferred, more strongly for large responses.
 */
#include "routing/upstream_table.h"

#include <algorithm>
#include <limits>

namespace waxwing {
namespace {

/// Largest number of requests in processing or queued at an upstream, relative
/// to its slots. The upstream processes its own queue in order of arrival; more
/// requests would only wait there, where they cannot be withdrawn.
constexpr double MaxRequestsPerSlot = 2.5;
/// Additional costs of a large or small response from another failure domain,
/// relative to the normal processing time.
constexpr double LargeResponseCost = 0.8;
constexpr double SmallResponseCost = 0.05;
/// Cost of opening a connection, relative to the normal processing time. VMs
/// prefer upstreams to which they are connected, if these are about as good.
constexpr double ConnectionCost = 0.2;
/// Fraction of ServiceRules::MaxConnections of an upstream that all VMs
/// together use; the rest is left for connections that are being closed.
constexpr double UsableConnectionFraction = 0.8;
constexpr int MinConnections = 2;
/// Upstreams whose cost exceeds the least cost by at most this fraction count
/// as equally good, so that VMs with the same estimates do not all choose the
/// same one.
constexpr double CostTolerance = 0.12;
/// Time within which the keys of an upstream that was removed from the list
/// usually have another owner.
constexpr Duration UsualMoveTime = milliseconds(1000);

} // namespace

Upstream &UpstreamTable::apply(const UpstreamEntry &entry,
                               std::uint64_t revision, Time now) {
  const auto [it, isNew] = Upstreams.try_emplace(entry.Id);
  Upstream &upstream = it->second;
  const bool isNewProcess =
      isNew || upstream.Entry.StartedAtMs != entry.StartedAtMs;
  if (isNewProcess) {
    const int outstanding = upstream.Load.outstanding();
    upstream.Load = {};
    for (int n = 0; n < outstanding; ++n)
      upstream.Load.onRequestSent();
    upstream.ColdUntil = now + entry.WarmUpLeft;
    upstream.PausedUntil = Time();
  } else if (entry.WarmUpLeft != upstream.Entry.WarmUpLeft ||
             entry.WarmUpLeft > Duration()) {
    upstream.ColdUntil = std::max(upstream.ColdUntil, now + entry.WarmUpLeft);
  }
  if (!isNew && upstream.Entry.Service != entry.Service)
    ByService[upstream.Entry.Service].erase(entry.Id);
  upstream.Entry = entry;
  upstream.EntryRevision = revision;
  upstream.IsListed = true;
  upstream.IsMisaddressed = false;
  ByService[entry.Service].insert(entry.Id);
  return upstream;
}

void UpstreamTable::markUnlisted(const UpstreamId &id, Time now) {
  if (Upstream *upstream = find(id);
      upstream != nullptr && upstream->IsListed) {
    upstream->IsListed = false;
    upstream->UnlistedAt = now;
  }
}

bool UpstreamTable::markMisaddressed(const UpstreamId &id,
                                     std::int64_t startedAtMs) {
  Upstream *upstream = find(id);
  if (upstream == nullptr || upstream->Entry.StartedAtMs != startedAtMs)
    return false;
  return !std::exchange(upstream->IsMisaddressed, true);
}

const Upstream *UpstreamTable::findOtherAt(const Endpoint &address,
                                           const UpstreamId &id) const {
  const auto it = std::ranges::find_if(Upstreams, [&](const auto &entry) {
    return entry.first != id && entry.second.IsListed &&
           entry.second.Entry.Address == address;
  });
  return it == Upstreams.end() ? nullptr : &it->second;
}

std::vector<UpstreamId> UpstreamTable::removeUnlisted(Time before) {
  std::vector<UpstreamId> removed;
  for (const auto &[id, upstream] : Upstreams)
    if (!upstream.IsListed && upstream.UnlistedAt < before &&
        upstream.PausedUntil < before && upstream.Load.outstanding() == 0)
      removed.push_back(id);
  for (const UpstreamId &id : removed) {
    ByService[Upstreams[id].Entry.Service].erase(id);
    Upstreams.erase(id);
    Leaving.retire(id);
    Limits.retire(id);
  }
  return removed;
}

Upstream *UpstreamTable::find(const UpstreamId &id) {
  const auto it = Upstreams.find(id);
  return it == Upstreams.end() ? nullptr : &it->second;
}

const Upstream *UpstreamTable::find(const UpstreamId &id) const {
  const auto it = Upstreams.find(id);
  return it == Upstreams.end() ? nullptr : &it->second;
}

void UpstreamTable::markDomainCold(
    const DomainId &domain, const std::map<ServiceId, ServiceRules> &rules,
    Time now) {
  for (auto &[id, upstream] : Upstreams) {
    const auto rule = rules.find(upstream.Entry.Service);
    if (upstream.Entry.Domain == domain && rule != rules.end())
      upstream.ColdUntil =
          std::max(upstream.ColdUntil, now + rule->second.WarmUp);
  }
}

std::optional<Time> UpstreamTable::pause(const UpstreamId &id,
                                         std::int64_t startedAtMs,
                                         std::chrono::duration<double> pause,
                                         Time now) {
  Upstream *upstream = find(id);
  if (upstream == nullptr || upstream->Entry.StartedAtMs != startedAtMs)
    return std::nullopt;
  const Time until = now + std::chrono::duration_cast<Duration>(
                               std::clamp<std::chrono::duration<double>>(
                                   pause, Duration(), MaxUpstreamPause));
  if (until <= std::max(upstream->PausedUntil, now))
    return std::nullopt;
  upstream->PausedUntil = until;
  return until;
}

bool UpstreamTable::isLeaving(const UpstreamId &id) const {
  const Upstream *upstream = find(id);
  return upstream != nullptr && isLeaving(*upstream);
}

std::vector<UpstreamProcess>
UpstreamTable::newestLeaving(std::size_t maxCount) const {
  std::vector<UpstreamProcess> result = Leaving.newest(maxCount);
  std::erase_if(result, [this](const UpstreamProcess &process) {
    const Upstream *upstream = find(process.Id);
    return upstream != nullptr &&
           (!upstream->IsListed ||
            upstream->Entry.StartedAtMs > process.StartedAtMs);
  });
  return result;
}

bool UpstreamTable::mayServeLastRequests(const Upstream &upstream,
                                         Time now) const {
  return isLeaving(upstream) && isInService(upstream) &&
         Leaving.mayServeLastRequests(upstream.Entry.Id, now);
}

bool UpstreamTable::hasLeft(const UpstreamProcess &process) const {
  const Upstream *upstream = find(process.Id);
  return upstream == nullptr ||
         (upstream->Entry.StartedAtMs == process.StartedAtMs &&
          (!upstream->IsListed || upstream->Entry.IsDraining));
}

bool UpstreamTable::isInService(const Upstream &upstream) const {
  return upstream.IsListed && !upstream.Entry.IsDraining &&
         !upstream.IsMisaddressed && !Evacuated.contains(upstream.Entry.Domain);
}

bool UpstreamTable::canReceiveRequest(Upstream &upstream,
                                      const UpstreamChoiceContext &context,
                                      const ServiceRules &rules,
                                      Time now) const {
  if (!upstream.Load.isOutOfBackoff(now))
    return false;
  const int connections = std::max(
      MinConnections,
      static_cast<int>(
          UsableConnectionFraction * rules.MaxConnections /
          static_cast<double>(std::max<std::size_t>(context.Vms.size(), 1))));
  if (rules.MaxConnections > 0 && upstream.Load.outstanding() >= connections)
    return false;
  if (now < upstream.ColdUntil && rules.WarmUpRequestsPerS > 0) {
    if (upstream.ColdShareVersion != context.VmsVersion) {
      upstream.ColdShareVersion = context.VmsVersion;
      upstream.ColdShare =
          coldRequestsPerSecond(upstream.Entry.Id, rules.WarmUpRequestsPerS,
                                context.Cold, context.Self, context.Vms);
    }
    if (upstream.RecentSends.count(now) >= upstream.ColdShare)
      return false;
  }
  return upstream.Load.busy(now) + 1 <=
         MaxRequestsPerSlot * upstream.Entry.Slots;
}

bool UpstreamTable::mayMoveSoon(const UpstreamId &id, Time now) {
  const Upstream *upstream = find(id);
  return upstream != nullptr &&
         (upstream->IsListed || now < upstream->UnlistedAt + UsualMoveTime);
}

UpstreamChoice
UpstreamTable::choose(const UpstreamChoiceRequest &request,
                      const UpstreamChoiceContext &context,
                      const std::map<ServiceId, ServiceRules> &rules, Time now,
                      std::uint64_t draw) {
  UpstreamChoice result;
  const auto rule = rules.find(request.Service);
  const auto members = ByService.find(request.Service);
  if (rule == rules.end() || members == ByService.end())
    return result;
  struct Candidate {
    Upstream *Member;
    double Cost;
  };
  std::vector<Candidate> candidates;
  std::optional<Candidate> bestWithoutPermit;
  Time firstPauseEnd = Time::max();
  const auto consider = [&](Upstream &upstream) {
    result.IsAnyUsable = true;
    firstPauseEnd = std::min(firstPauseEnd, upstream.PausedUntil);
    if (now < upstream.PausedUntil)
      return;
    if (!canReceiveRequest(upstream, context, rule->second, now))
      return;
    double cost = upstream.Load.cost(upstream.Entry.Slots, now);
    if (upstream.Entry.Domain != context.OwnDomain)
      cost += request.PrefersOwnDomain ? LargeResponseCost : SmallResponseCost;
    if (request.HasConnection && !request.HasConnection(upstream.Entry.Address))
      cost += ConnectionCost;
    const bool needsPermit =
        request.HasPermit && !Limits.isEmpty() && limitOf(upstream);
    if (!needsPermit || request.HasPermit(upstream))
      candidates.push_back({&upstream, cost});
    else if (!bestWithoutPermit || cost < bestWithoutPermit->Cost)
      bestWithoutPermit = {&upstream, cost};
  };
  if (request.RequiredUpstream) {
    if (Upstream *only = find(*request.RequiredUpstream);
        only != nullptr && only->Entry.Service == request.Service &&
        (isUsable(*only) || mayServeLastRequests(*only, now)))
      consider(*only);
  } else {
    std::vector<Upstream *> untried;
    for (const UpstreamId &id : members->second)
      if (!request.TriedUpstreams.contains(id))
        untried.push_back(find(id));
    const bool isAnyUsable =
        std::ranges::any_of(untried, [this](const Upstream *upstream) {
          return isUsable(*upstream);
        });
    for (Upstream *upstream : untried)
      if (isAnyUsable ? isUsable(*upstream)
                      : mayServeLastRequests(*upstream, now))
        consider(*upstream);
  }
  if (result.IsAnyUsable && now < firstPauseEnd)
    result.PausedUntil = firstPauseEnd;
  const double least =
      candidates.empty()
          ? std::numeric_limits<double>::infinity()
          : std::ranges::min(candidates, {}, &Candidate::Cost).Cost;
  if (bestWithoutPermit &&
      bestWithoutPermit->Cost <= least * (1 + CostTolerance))
    result.WithoutPermit = bestWithoutPermit->Member;
  if (candidates.empty())
    return result;
  std::erase_if(candidates, [&](const Candidate &candidate) {
    return candidate.Cost > least * (1 + CostTolerance);
  });
  result.Chosen = candidates[draw % candidates.size()].Member;
  return result;
}

ServiceSummary UpstreamTable::summarizeService(const ServiceId &service) {
  ServiceSummary summary;
  double processingUs = 0;
  int knownCount = 0;
  const auto members = ByService.find(service);
  if (members == ByService.end())
    return summary;
  for (const UpstreamId &id : members->second) {
    const Upstream &upstream = *find(id);
    if (!isUsable(upstream))
      continue;
    summary.Slots += upstream.Entry.Slots;
    if (upstream.Load.processingUs() > 0) {
      processingUs += upstream.Load.processingUs();
      ++knownCount;
    }
  }
  if (knownCount > 0)
    summary.TypicalProcessingTime =
        Duration(static_cast<Duration::rep>(processingUs / knownCount));
  return summary;
}

void UpstreamTable::countSentRequest(Upstream &upstream, Time now) {
  upstream.Load.onRequestSent();
  upstream.RecentSends.add(now);
}

void UpstreamTable::onAttemptEnd(const UpstreamId &id, AttemptOutcome end,
                                 Duration latency, Time now) {
  Upstream *upstream = find(id);
  if (upstream == nullptr)
    return;
  const bool isOwnFailure = isConnectionFailure(end) &&
                            (!AreLinksWorking || now - latency < LinksBackAt);
  upstream->Load.onAttemptEnd(isOwnFailure ? AttemptOutcome::Cancelled : end,
                              latency, now);
}

void UpstreamTable::setLinksWorking(bool isWorking, Time now) {
  AreLinksWorking = isWorking;
  if (isWorking) {
    LinksBackAt = now;
    return;
  }
  for (auto &[id, upstream] : Upstreams)
    upstream.Load.forgetConnectionFailures(now - LinkLossLookback);
}

} // namespace waxwing
