/**
 * @file router_core_attempts.cpp
 * Handles the end of attempts: sends the response, retries or pauses the
 * request.
 */
#include "table/reasons.h"
#include "table/retry_rules.h"
#include "traffic/retry_func.h"
#include "traffic/router_core_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// A request is refused after losing this many connections.
constexpr std::size_t MaxLostConnections = 2;
/// Pause after a lost connection, during which a probe or crash reports of
/// other routers can show whether the upstream crashed.
constexpr Duration ConnectionLossPause = milliseconds(60);

bool isConnectionLoss(Reason reason) {
  return reason == Reason::ConnectionLost || reason == Reason::CutOffAnswer;
}

} // namespace

void RouterCore::on(AttemptEnded &event, Time now) {
  const auto it = Attempts.find(event.Attempt);
  if (it != Attempts.end())
    recordEnd(it->second, event, now);
  AttemptEnds.add(event.Cause);
  if (!isForwardToKeyHome(event.Attempt))
    Dispatch.endAttempt(event.Attempt, event.Cause, now);
  if (it == Attempts.end())
    return;
  const AttemptState attempt = std::move(it->second);
  Attempts.erase(it);
  const auto found = Requests.find(attempt.Request);
  if (found == Requests.end())
    return;
  RequestState &request = *found->second;
  std::erase(request.InFlight, event.Attempt);
  if (event.Cause == Reason::None)
    return finish(request,
                  {attempt.Request, Reason::None, Verdict::Ran, Duration(),
                   std::move(event.Response)},
                  now);
  if (event.ExecutionVerdict != Verdict::NotRun &&
      request.MayHaveRunCause == Reason::None)
    request.MayHaveRunCause = event.Cause;
  request.LostConnections += isConnectionLoss(event.Cause) ? 1 : 0;
  if (attempt.Upstream)
    request.Avoid.push_back(*attempt.Upstream);
  // A concurrent attempt may still bring the response.
  if (request.InFlight.empty())
    fail(request, event.Cause, event.RetryAfter, now);
}

void RouterCore::recordEnd(const AttemptState &attempt, AttemptEnded &event,
                           Time now) {
  if (attempt.IsSilent && event.Cause == Reason::Cancelled) {
    event.Cause = Reason::SilentConnection;
    event.ExecutionVerdict = Verdict::MayHaveRun;
  }
  if (event.Cause == Reason::None)
    Crashers.recordCompleteResponse(attempt.Fingerprint, now);
  if (!attempt.Upstream)
    return;
  Health.end(event.Attempt, event.Cause == Reason::None, now);
  if (isConnectionLoss(event.Cause)) {
    Crashers.recordConnectionLost(attempt.Fingerprint, *attempt.Upstream,
                                  domainOf(*attempt.Upstream), now);
    probe(*attempt.Upstream, now);
  }
}

void RouterCore::fail(RequestState &request, Reason reason, Duration retryAfter,
                      Time now) {
  if (!request.InFlight.empty())
    return;
  const Verdict verdict = request.MayHaveRunCause == Reason::None
                              ? Verdict::NotRun
                              : Verdict::MayHaveRun;
  // The home of an idempotency key runs the request at most once, so
  // forwarding it again is safe.
  const bool isForwarder = request.Role == KeyRole::Forwarder;
  const RetryDecision decision =
      decideRetry({reason, verdict, request.Request.IsIdempotent || isForwarder,
                   request.IsOwned || isForwarder, request.AttemptsMade,
                   request.PausesMade, request.Deadline},
                  now);
  // The router that forwarded the request decides whether to retry it.
  if (std::holds_alternative<NoRetry>(decision) ||
      isForwardedForUpstream(request) ||
      request.LostConnections >= MaxLostConnections ||
      (isConnectionLoss(reason) &&
       Crashers.countCrashes(request.Fingerprint) >= MaxLostConnections))
    return refuse(request, reason, retryAfter, now);
  // Waiting for owners or homes adds no load, so it is not budgeted.
  const bool isBudgeted = retryRule(reason) != RetryRule::AfterOwnersUpdate;
  if (isBudgeted && !Budget.take()) {
    RetryRefusals.add(Reason::RetryBudgetExhausted);
    return refuse(request, reason, retryAfter, now);
  }
  // After a lost connection, wait until a probe shows whether the upstream
  // crashed, since this request may be the cause.
  std::optional<Time> until;
  if (const auto *later = std::get_if<RetryLater>(&decision))
    until = later->At;
  else if (isConnectionLoss(reason))
    until = now + ConnectionLossPause;
  if (until && Paused.size() >= PausedRequestLimit) {
    RetryRefusals.add(Reason::QueueFull);
    return refuse(request, reason, retryAfter, now);
  }
  if (until) {
    Retries.add(reason);
    return pause(request, *until);
  }
  Retries.add(reason);
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

void RouterCore::resumeAfterOwnersUpdate(const ServiceId &service, Time now) {
  std::vector<RequestId> waiting;
  for (const auto &[at, id] : Paused)
    if (Requests.at(id)->Request.Service == service &&
        Requests.at(id)->Role != KeyRole::Waiter)
      waiting.push_back(id);
  for (const RequestId &id : waiting)
    resume(*Requests.at(id), now);
}

} // namespace waxwing
