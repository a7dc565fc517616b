/**
 * @file router_core.cpp
 * Admission, choice of upstream and end of attempts.
 */
#include "traffic/router_core_base.h"

#include "table/reasons.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Callers that are refused "not run" are told to come back after this.
constexpr Duration RefusalRetryAfter = seconds(1);

} // namespace

RouterCore::RouterCore(VmId self, std::uint64_t seed)
    : Dispatch(std::move(self), seed) {}

std::vector<RouterAction> RouterCore::handle(RouterEvent event, Time now) {
  std::visit([&](auto &it) { on(it, now); }, event);
  carryOutDecisions();
  return std::exchange(Actions, {});
}

void RouterCore::on(CallerRequest &event, Time now) {
  const RequestId id = event.Id;
  const auto admission = admit(event);
  RequestState &request = Requests[id];
  request.Request = std::move(event);
  if (const Reason *why = std::get_if<Reason>(&admission))
    return refuse(id, *why);
  const CallerRequest &caller = request.Request;
  const ServiceConfig &service =
      findTeam(caller.Team)->Services.at(caller.Service);
  request.Deadline = caller.Deadline.value_or(now + service.Timeout);
  Dispatch.submit({id,
                   caller.Team,
                   caller.Service,
                   std::get<TierId>(admission),
                   hashKey(caller.Key),
                   caller.IsIdempotent,
                   caller.ForwardedTier.has_value(),
                   request.Deadline,
                   {}},
                  now);
}

std::variant<TierId, Reason>
RouterCore::admit(const CallerRequest &request) const {
  if (IsDraining)
    return Reason::Draining;
  if (!Config || Config->isEmpty())
    return Reason::NoConfiguration;
  const TeamConfig *team = findTeam(request.Team);
  if (team == nullptr || !team->Services.contains(request.Service))
    return Reason::UnknownService;
  if (request.ForwardedTier)
    return *request.ForwardedTier;
  const auto caller =
      std::ranges::find_if(team->Callers, [&](const auto &entry) {
        return entry.second.KeySha256 == request.CallerKeySha256;
      });
  if (caller == team->Callers.end())
    return Reason::UnknownCaller;
  return caller->second.Tier;
}

void RouterCore::on(CallerLost &event, Time now) {
  const auto it = Requests.find(event.Request);
  if (it == Requests.end())
    return;
  Dispatch.withdraw(event.Request, now);
  if (it->second.Attempt != AttemptId())
    Actions.emplace_back(CancelAttempt{it->second.Attempt});
  else
    refuse(event.Request, Reason::Cancelled);
}

void RouterCore::on(AttemptEnded &event, Time now) {
  AttemptEnds.add(event.Why);
  Dispatch.endAttempt(event.Attempt, event.Why, now);
  const auto it = Attempts.find(event.Attempt);
  if (it == Attempts.end())
    return;
  const RequestId request = it->second;
  Attempts.erase(it);
  if (event.Why != Reason::None)
    return refuse(request, event.Why);
  Answers.add(Reason::None);
  Requests.erase(request);
  Actions.emplace_back(AnswerCaller{request, Reason::None, Verdict::Ran,
                                    Duration(), std::move(event.Answer)});
}

void RouterCore::on(ConfigurationChanged &event, Time now) {
  Config = event.Config;
  Dispatch.configure(std::move(event.Config), now);
}

void RouterCore::on(OwnersChanged &event, Time now) {
  Dispatch.setOwners(std::move(event.Record), now);
}

void RouterCore::on(HomesChanged &event, Time now) {
  Dispatch.setHomes(std::move(event.Homes), now);
}

void RouterCore::on(HomesLeased &event, Time now) {
  Dispatch.takeLeases(event.Answer, now);
}

void RouterCore::on(RouterTick &, Time now) { Dispatch.tick(now); }

void RouterCore::on(DrainStarted &, Time) {
  IsDraining = true;
  Dispatch.leaveHomes();
}

void RouterCore::carryOutDecisions() {
  for (DispatchDecision &decision : Dispatch.takeDecisions())
    std::visit([this](auto &it) { carryOut(it); }, decision);
}

void RouterCore::carryOut(DispatchStart &decision) {
  RequestState &request = Requests.at(decision.Request);
  request.Attempt = decision.Attempt;
  Attempts[decision.Attempt] = decision.Request;
  Actions.emplace_back(StartAttempt{
      decision.Attempt, decision.Request, std::move(decision.Target),
      decision.Deadline, request.Request.Message});
}

void RouterCore::carryOut(DispatchRefuse &decision) {
  refuse(decision.Request, decision.Why);
}

void RouterCore::carryOut(DispatchAsk &decision) {
  Actions.emplace_back(SendHomeAsk{std::move(decision.Ask)});
}

void RouterCore::refuse(const RequestId &request, Reason why) {
  Answers.add(why);
  Requests.erase(request);
  const ReasonInfo &info = reasonInfo(why);
  AnswerCaller answer{request, why, info.Proven, Duration(), {}};
  if (info.Proven == Verdict::NotRun)
    answer.RetryAfter = RefusalRetryAfter;
  Actions.emplace_back(std::move(answer));
}

const TeamConfig *RouterCore::findTeam(const TeamId &team) const {
  const auto it = Config->teams().find(team);
  return it == Config->teams().end() ? nullptr : &it->second;
}

} // namespace waxwing
