/**
 * @file router_core_attempts.cpp
 * Ends of attempts, and what follows them: the answer, a retry, a pause.
 */
#include "table/reasons.h"
#include "table/retry_rules.h"
#include "traffic/retry_func.h"
#include "traffic/router_core_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// A request whose attempts break so many connections is given up.
constexpr std::size_t MaxLosses = 2;
/// Time in which probes and other routers tell of deaths.
constexpr Duration LossPause = milliseconds(60);

bool isLoss(Reason why) {
  return why == Reason::ConnectionLost || why == Reason::CutOffAnswer;
}

} // namespace

void RouterCore::on(AttemptEnded &event, Time now) {
  const auto it = Attempts.find(event.Attempt);
  if (it != Attempts.end())
    learnFromEnd(it->second, event, now);
  AttemptEnds.add(event.Cause);
  if (!isSend(event.Attempt))
    Dispatch.endAttempt(event.Attempt, event.Cause, now);
  if (it == Attempts.end())
    return;
  const AttemptState attempt = std::move(it->second);
  Attempts.erase(it);
  const auto found = Requests.find(attempt.Request);
  if (found == Requests.end())
    return;
  RequestState &request = *found->second;
  std::erase(request.Live, event.Attempt);
  if (event.Cause == Reason::None)
    return settle(request,
                  {attempt.Request, Reason::None, Verdict::Ran, Duration(),
                   std::move(event.Response)},
                  now);
  if (event.ExecutionVerdict != Verdict::NotRun &&
      request.MayHaveRunBy == Reason::None)
    request.MayHaveRunBy = event.Cause;
  request.LossesMade += isLoss(event.Cause) ? 1 : 0;
  if (attempt.Upstream)
    request.Avoid.push_back(*attempt.Upstream);
  // A hedge or the attempt beside it may still bring the answer.
  if (request.Live.empty())
    fail(request, event.Cause, event.RetryAfter, now);
}

void RouterCore::learnFromEnd(const AttemptState &attempt, AttemptEnded &event,
                              Time now) {
  if (attempt.IsSilent && event.Cause == Reason::Cancelled) {
    event.Cause = Reason::SilentConnection;
    event.ExecutionVerdict = Verdict::MayHaveRun;
  }
  if (event.Cause == Reason::None)
    Suspects.noteAnswered(attempt.Fingerprint);
  if (!attempt.Upstream)
    return;
  Health.end(event.Attempt, event.Cause == Reason::None, now);
  if (isLoss(event.Cause)) {
    Suspects.noteLost(attempt.Fingerprint, *attempt.Upstream,
                      domainOf(*attempt.Upstream), now);
    probe(*attempt.Upstream, now);
  }
}

void RouterCore::fail(RequestState &request, Reason why, Duration retryAfter,
                      Time now) {
  if (!request.Live.empty())
    return;
  const Verdict proven = request.MayHaveRunBy == Reason::None
                             ? Verdict::NotRun
                             : Verdict::MayHaveRun;
  // The home of its key runs a request at most once, however often it comes.
  const bool isSender = request.Role == KeyRole::Sender;
  const RetryDecision decision =
      decideRetry({why, proven, request.Request.IsIdempotent || isSender,
                   request.IsOwned || isSender, request.AttemptsMade,
                   request.PausesMade, request.Deadline},
                  now);
  // The router that forwarded a request decides on its retries.
  if (std::holds_alternative<GiveUp>(decision) || isForwardedHere(request) ||
      request.LossesMade >= MaxLosses ||
      (isLoss(why) && Suspects.countDeaths(request.Fingerprint) >= MaxLosses))
    return refuse(request, why, retryAfter, now);
  // A request that only waits for owners or homes adds no load.
  const bool isBudgeted = retryRule(why) != RetryRule::AfterOwners;
  if (isBudgeted && !Budget.take()) {
    RetryRefusals.add(Reason::RetryBudgetExhausted);
    return refuse(request, why, retryAfter, now);
  }
  // A loss is followed by a probe: is the upstream dead, and of what?
  std::optional<Time> until;
  if (const auto *later = std::get_if<RetryLater>(&decision))
    until = later->At;
  else if (isLoss(why))
    until = now + LossPause;
  if (until && Paused.size() >= PausedRequestLimit) {
    RetryRefusals.add(Reason::QueueFull);
    return refuse(request, why, retryAfter, now);
  }
  if (until) {
    Retries.add(why);
    return pause(request, *until);
  }
  Retries.add(why);
  proceed(request, now);
}

void RouterCore::pause(RequestState &request, Time until) {
  ++request.PausesMade;
  request.ResumeAt = until;
  Paused.emplace(until, request.Request.Id);
}

void RouterCore::resume(RequestState &request, Time now) {
  Paused.erase({*request.ResumeAt, request.Request.Id});
  request.ResumeAt.reset();
  if (request.Role == KeyRole::Waiter)
    return refuse(request, Reason::DuplicateInFlight, Duration(), now);
  proceed(request, now);
}

void RouterCore::resumeAfterOwners(const ServiceId &service, Time now) {
  std::vector<RequestId> waiting;
  for (const auto &[at, id] : Paused)
    if (Requests.at(id)->Request.Service == service &&
        Requests.at(id)->Role != KeyRole::Waiter)
      waiting.push_back(id);
  for (const RequestId &id : waiting)
    resume(*Requests.at(id), now);
}

} // namespace waxwing
