/**
 * @file router_core.cpp
 * Admission of requests, execution of the dispatcher's decisions, and
 * responses to callers.
 */
#include "traffic/router_core_base.h"

#include "table/reasons.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Retry-After of refusals with the verdict NotRun and no delay of their own.
constexpr Duration RefusalRetryAfter = seconds(1);

RequestFingerprint fingerprintOf(const CallerId &caller,
                                 std::uint64_t contentHash) {
  return RequestFingerprint(hashKey(caller.Value).Value ^ contentHash);
}

/// @return whether a request refused for @p reason may have run when it was
///   sent earlier
bool mayHaveRunBefore(Reason reason) {
  return reason == Reason::DuplicateInFlight ||
         reason == Reason::DuplicateUnknown ||
         reason == Reason::IdempotencyExpired ||
         reason == Reason::SuspectedCrasher;
}

constexpr Duration HotKeysReportPeriod = seconds(1);

/// Keys below this rate in requests per second are not reported.
constexpr double MinHotKeyRate = 100;

} // namespace

RouterCore::RouterCore(const VmId &self, std::uint64_t seed)
    : Dispatch(self, seed), LeasedHomes(self, Dispatch) {}

std::vector<RouterAction> RouterCore::handle(RouterEvent event, Time now) {
  std::visit([&](auto &it) { on(it, now); }, event);
  carryOutDecisions(now);
  return std::exchange(Actions, {});
}

void RouterCore::on(CallerRequest &event, Time now) {
  const auto admission = admit(event, now);
  auto &slot = Requests[event.Id];
  slot = std::make_unique<RequestState>();
  RequestState &request = *slot;
  request.Request = std::move(event);
  if (const Reason *reason = std::get_if<Reason>(&admission))
    return refuse(request, *reason, Duration(), now);
  const CallerRequest &caller = request.Request;
  const ServiceConfig &service =
      findTeam(caller.Team)->Services.at(caller.Service);
  request.Caller = std::get<Admission>(admission).Caller;
  request.Tier = std::get<Admission>(admission).Tier;
  request.Deadline = caller.Deadline.value_or(now + service.Timeout);
  request.IsOwned = service.IsDividedByKey;
  request.Fingerprint = fingerprintOf(request.Caller, caller.ContentHash);
  if (Crashers.isSuspect(request.Fingerprint, now))
    return refuse(request, Reason::SuspectedCrasher, Duration(), now);
  Budget.addRequest();
  KeyRecords.advance(caller.ArrivedAt);
  if (parseIdempotencyKey(request, now))
    proceed(request, now);
}

std::variant<RouterCore::Admission, Reason>
RouterCore::admit(const CallerRequest &request, Time now) const {
  if (RefuseNewRequestsFrom && now >= *RefuseNewRequestsFrom)
    return Reason::Draining;
  if (!Config || Config->isEmpty())
    return Reason::NoConfiguration;
  const TeamConfig *team = findTeam(request.Team);
  if (team == nullptr || !team->Services.contains(request.Service))
    return Reason::UnknownService;
  if (request.ForwardedTier)
    return Admission{request.ForwardedCaller, *request.ForwardedTier};
  const auto caller =
      std::ranges::find_if(team->Callers, [&](const auto &entry) {
        return entry.second.KeySha256 == request.CallerKeySha256;
      });
  if (caller == team->Callers.end())
    return Reason::UnknownCaller;
  return Admission{caller->first, caller->second.Tier};
}

void RouterCore::on(CallerDisconnected &event, Time now) {
  const auto it = Requests.find(event.Request);
  if (it == Requests.end() || it->second->IsAnswered)
    return;
  RequestState &request = *it->second;
  if (request.Role != KeyRole::Executor)
    return refuse(request, Reason::Cancelled, Duration(), now);
  // The caller may send the request again with the same idempotency key, so
  // the execution continues.
  request.IsAnswered = true;
  Responses.add(Reason::Cancelled);
  Actions.emplace_back(SendResponse{
      event.Request, Reason::Cancelled, Verdict::MayHaveRun, Duration(), {}});
}

void RouterCore::on(ConfigurationChanged &event, Time now) {
  Config = event.Config;
  Dispatch.configure(std::move(event.Config), now);
}

void RouterCore::on(OwnersChanged &event, Time now) {
  const ServiceId service = event.Record->Service;
  Dispatch.setOwners(std::move(event.Record), now);
  resumeAfterOwnersUpdate(service, now);
}

void RouterCore::on(HomesChanged &event, Time now) {
  Dispatch.setHomes(std::move(event.Homes), now);
}

void RouterCore::on(HomeLeasesReceived &event, Time now) {
  Dispatch.applyLeaseResponse(event.Response, now);
}

void RouterCore::on(RouterTick &event, Time now) {
  KeyRecords.advance(event.Wall);
  Dispatch.tick(now);
  recordPartitionLeases(now);
  checkHealth(now);
  reportHotKeys(now);
  while (!Paused.empty() && Paused.begin()->first <= now)
    resume(*Requests.at(Paused.begin()->second), now);
}

void RouterCore::reportHotKeys(Time now) {
  if (now < NextHotKeysReport)
    return;
  NextHotKeysReport = now + HotKeysReportPeriod;
  for (auto &[service, sketch] : HotKeys) {
    auto rates = sketch.takeRates(now);
    std::erase_if(rates,
                  [](const auto &it) { return it.second < MinHotKeyRate; });
    if (!rates.empty())
      Actions.emplace_back(HotKeysReport{service, std::move(rates)});
  }
}

void RouterCore::on(DrainStarted &, Time now) {
  RefuseNewRequestsFrom = now + DrainGrace;
  Dispatch.releaseHomes();
}

void RouterCore::submitToDispatcher(RequestState &request, Time now) {
  const CallerRequest &caller = request.Request;
  Dispatch.submit({caller.Id, caller.Team, caller.Service, request.Tier,
                   hashKey(caller.Key), caller.IsIdempotent,
                   isForwardedForUpstream(request), request.Deadline,
                   request.Avoid},
                  now);
}

bool RouterCore::isForwardedForUpstream(const RequestState &request) {
  return request.Request.ForwardedTier &&
         request.Request.ForwardedFor == ForwardPurpose::UpstreamHome;
}

void RouterCore::carryOutDecisions(Time now) {
  // Executing a decision may cause further decisions.
  for (auto decisions = Dispatch.takeDecisions(); !decisions.empty();
       decisions = Dispatch.takeDecisions())
    for (DispatchDecision &decision : decisions)
      std::visit([&](auto &it) { carryOut(it, now); }, decision);
}

void RouterCore::carryOut(DispatchStart &decision, Time now) {
  const auto it = Requests.find(decision.Request);
  // Only idempotent requests may have concurrent attempts.
  const bool isAllowed =
      it != Requests.end() &&
      (it->second->InFlight.empty() || it->second->Request.IsIdempotent);
  if (!isAllowed)
    return Dispatch.endAttempt(decision.Attempt, Reason::Cancelled, now);
  RequestState &request = *it->second;
  const auto *target = std::get_if<UpstreamTarget>(&decision.Target);
  if (target != nullptr && !mayStartAttemptAt(request, target->Upstream, now))
    return Dispatch.endAttempt(decision.Attempt, Reason::Cancelled, now);
  if (target != nullptr && target->Owned)
    HotKeys[request.Request.Service].add(target->Key);
  request.InFlight.push_back(decision.Attempt);
  request.AttemptsMade += decision.IsHedge ? 0 : 1;
  AttemptState &attempt = Attempts[decision.Attempt];
  attempt = {decision.Request, std::nullopt, now, request.Fingerprint};
  if (target != nullptr) {
    attempt.Upstream = target->Upstream;
    Health.start(decision.Attempt, target->Upstream, now);
  }
  Actions.emplace_back(StartAttempt{
      decision.Attempt, decision.Request, std::move(decision.Target),
      std::min(decision.Deadline, request.Deadline), request.Caller,
      request.Request.Message});
}

void RouterCore::carryOut(DispatchRefusal &decision, Time now) {
  const auto it = Requests.find(decision.Request);
  if (it != Requests.end())
    fail(*it->second, decision.Why, decision.RetryAfter, now);
}

void RouterCore::carryOut(DispatchLeaseRequest &decision, Time) {
  Actions.emplace_back(SendHomeLeaseRequest{std::move(decision.Request)});
}

void RouterCore::refuse(RequestState &request, Reason reason,
                        Duration retryAfter, Time now) {
  // An attempt in flight may run until its end proves that it has not.
  const bool isUnknown =
      request.MayHaveRunCause != Reason::None || !request.InFlight.empty() ||
      request.Role == KeyRole::Waiter || mayHaveRunBefore(reason);
  SendResponse response{request.Request.Id, reason, Verdict::NotRun,
                        retryAfter,         {},     request.Detail};
  if (request.MayHaveRunCause != Reason::None && reason != Reason::Cancelled)
    response.Cause = request.MayHaveRunCause;
  if (isUnknown)
    response.ExecutionVerdict = Verdict::MayHaveRun;
  if (!isUnknown && response.RetryAfter == Duration())
    response.RetryAfter = RefusalRetryAfter;
  finish(request, std::move(response), now);
}

void RouterCore::finish(RequestState &request, SendResponse response,
                        Time now) {
  const RequestId id = request.Request.Id;
  Dispatch.withdraw(id, now);
  for (const AttemptId &attempt : request.InFlight)
    Actions.emplace_back(CancelAttempt{attempt});
  if (request.ResumeAt)
    Paused.erase({*request.ResumeAt, id});
  const auto ended = std::move(Requests.at(id));
  Requests.erase(id);
  recordKeyOutcome(*ended, response, now);
  if (ended->IsAnswered)
    return;
  Responses.add(response.Cause);
  Actions.emplace_back(std::move(response));
}

const TeamConfig *RouterCore::findTeam(const TeamId &team) const {
  const auto it = Config->teams().find(team);
  return it == Config->teams().end() ? nullptr : &it->second;
}

} // namespace waxwing
