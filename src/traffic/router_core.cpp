/**
 * @file router_core.cpp
 * Admission, dispatch and settlement of requests.
 */
#include "traffic/router_core_base.h"

#include "table/reasons.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Callers that are refused "not run" are told to come back after this.
constexpr Duration RefusalRetryAfter = seconds(1);

RequestFingerprint printOf(const CallerId &caller, std::uint64_t fingerprint) {
  return RequestFingerprint(hashKey(caller.Value).Value ^ fingerprint);
}

/// @return whether @p why tells of an earlier sending of the same request
bool isDuplicate(Reason why) {
  return why == Reason::DuplicateInFlight || why == Reason::DuplicateUnknown ||
         why == Reason::IdempotencyExpired || why == Reason::SuspectedCrasher;
}

constexpr Duration HotKeysReportPeriod = seconds(1);

/// Keys with fewer requests per second are not reported.
constexpr double HotKeyRate = 100;

} // namespace

RouterCore::RouterCore(const VmId &self, std::uint64_t seed)
    : Dispatch(self, seed), Leased(self, Dispatch) {}

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
  if (const Reason *why = std::get_if<Reason>(&admission))
    return refuse(request, *why, Duration(), now);
  const CallerRequest &caller = request.Request;
  const ServiceConfig &service =
      findTeam(caller.Team)->Services.at(caller.Service);
  request.Caller = std::get<Admission>(admission).Caller;
  request.Tier = std::get<Admission>(admission).Tier;
  request.Deadline = caller.Deadline.value_or(now + service.Timeout);
  request.IsOwned = service.IsDividedByKey;
  request.Fingerprint = printOf(request.Caller, caller.ContentHash);
  if (Suspects.isSuspect(request.Fingerprint, now))
    return refuse(request, Reason::SuspectedCrasher, Duration(), now);
  Budget.addRequest();
  Memory.advance(caller.ArrivedAt);
  if (readKey(request, now))
    proceed(request, now);
}

std::variant<RouterCore::Admission, Reason>
RouterCore::admit(const CallerRequest &request, Time now) const {
  if (RefuseFrom && now >= *RefuseFrom)
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
  if (request.Role != KeyRole::Runner)
    return refuse(request, Reason::Cancelled, Duration(), now);
  // The caller may ask again under the same key, so its run goes on.
  request.IsAnswered = true;
  Answers.add(Reason::Cancelled);
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
  resumeAfterOwners(service, now);
}

void RouterCore::on(HomesChanged &event, Time now) {
  Dispatch.setHomes(std::move(event.Homes), now);
}

void RouterCore::on(HomeLeasesReceived &event, Time now) {
  Dispatch.applyLeaseResponse(event.Response, now);
}

void RouterCore::on(RouterTick &event, Time now) {
  Memory.advance(event.Wall);
  Dispatch.tick(now);
  notePartitions(now);
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
    std::erase_if(rates, [](const auto &it) { return it.second < HotKeyRate; });
    if (!rates.empty())
      Actions.emplace_back(HotKeysReport{service, std::move(rates)});
  }
}

void RouterCore::on(DrainStarted &, Time now) {
  RefuseFrom = now + DrainGrace;
  Dispatch.releaseHomes();
}

void RouterCore::submit(RequestState &request, Time now) {
  const CallerRequest &caller = request.Request;
  Dispatch.submit({caller.Id, caller.Team, caller.Service, request.Tier,
                   hashKey(caller.Key), caller.IsIdempotent,
                   isForwardedHere(request), request.Deadline, request.Avoid},
                  now);
}

bool RouterCore::isForwardedHere(const RequestState &request) {
  return request.Request.ForwardedTier &&
         request.Request.ForwardedFor == ForwardPurpose::UpstreamHome;
}

void RouterCore::carryOutDecisions(Time now) {
  // A decision's consequence may lead to further decisions.
  for (auto decisions = Dispatch.takeDecisions(); !decisions.empty();
       decisions = Dispatch.takeDecisions())
    for (DispatchDecision &decision : decisions)
      std::visit([&](auto &it) { carryOut(it, now); }, decision);
}

void RouterCore::carryOut(DispatchStart &decision, Time now) {
  const auto it = Requests.find(decision.Request);
  // A second attempt beside a first one is for idempotent requests only.
  const bool isAllowed =
      it != Requests.end() &&
      (it->second->Live.empty() || it->second->Request.IsIdempotent);
  if (!isAllowed)
    return Dispatch.endAttempt(decision.Attempt, Reason::Cancelled, now);
  RequestState &request = *it->second;
  const auto *target = std::get_if<UpstreamTarget>(&decision.Target);
  if (target != nullptr && !isSafeAt(request, target->Upstream, now))
    return Dispatch.endAttempt(decision.Attempt, Reason::Cancelled, now);
  if (target != nullptr && target->Owned)
    HotKeys[request.Request.Service].add(target->Key);
  request.Live.push_back(decision.Attempt);
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

void RouterCore::refuse(RequestState &request, Reason why, Duration retryAfter,
                        Time now) {
  // An attempt in flight may run until its end says otherwise.
  const bool isUnknown = request.MayHaveRunBy != Reason::None ||
                         !request.Live.empty() ||
                         request.Role == KeyRole::Waiter || isDuplicate(why);
  SendResponse answer{request.Request.Id, why, Verdict::NotRun,
                      retryAfter,         {},  request.Detail};
  if (request.MayHaveRunBy != Reason::None && why != Reason::Cancelled)
    answer.Cause = request.MayHaveRunBy;
  if (isUnknown)
    answer.ExecutionVerdict = Verdict::MayHaveRun;
  if (!isUnknown && answer.RetryAfter == Duration())
    answer.RetryAfter = RefusalRetryAfter;
  settle(request, std::move(answer), now);
}

void RouterCore::settle(RequestState &request, SendResponse answer, Time now) {
  const RequestId id = request.Request.Id;
  Dispatch.withdraw(id, now);
  for (const AttemptId &attempt : request.Live)
    Actions.emplace_back(CancelAttempt{attempt});
  if (request.ResumeAt)
    Paused.erase({*request.ResumeAt, id});
  const auto ended = std::move(Requests.at(id));
  Requests.erase(id);
  finishKey(*ended, answer, now);
  if (ended->IsAnswered)
    return;
  Answers.add(answer.Cause);
  Actions.emplace_back(std::move(answer));
}

const TeamConfig *RouterCore::findTeam(const TeamId &team) const {
  const auto it = Config->teams().find(team);
  return it == Config->teams().end() ? nullptr : &it->second;
}

} // namespace waxwing
