/**
 * @file store_health.cpp
 * Tells the loss of a connection from an outage of the store, and logs both.
 */
#include "node/store_health.h"

#include "node/node_log.h"

#include <algorithm>
#include <array>

namespace waxwing {
namespace {

/// Names of the states, by value.
constexpr std::array<std::string_view, 3> StoreStateNames{"serving", "refusing",
                                                          "away"};
/// New connections in a row that end without a response while the store is
/// away. A single one may be ended by what is between the store and this VM.
constexpr int EndedFirstCallsOfOutage = 2;
/// How far two statements of the same time by another VM differ, since
/// datagrams take different times.
constexpr Duration RelayedTimeTolerance = milliseconds(200);
/// An outage that begins within this time after another one continues it: what
/// waits for the end of the former still waits.
constexpr Duration OutageSeparation = seconds(10);
/// The store is not away for less than this time; others were answered last
/// within it before the outage of this VM ended.
constexpr Duration PeerServiceTolerance = milliseconds(500);
/// Longest time between two answered calls in which the store is taken to have
/// answered all the while. VMs probe the store more often; one that was stopped
/// does not know.
constexpr Duration MaxServiceGap = seconds(2);

bool areOverlapping(const StoreService &one, const StoreService &other) {
  return one.Since <= other.Until && other.Since <= one.Until;
}

StoreService unite(const StoreService &one, const StoreService &other) {
  return {std::min(one.Since, other.Since), std::max(one.Until, other.Until)};
}

} // namespace

std::string_view storeStateName(StoreState state) {
  return StoreStateNames[static_cast<std::size_t>(state)];
}

/// @return what the failure says of the store
StoreState StoreHealth::interpretFailure(const HttpCallResult &result,
                                         StoreCallKind kind) {
  switch (result.Loss) {
  case CallLoss::None:
    return result.Status >= platform::StatusServerError ? StoreState::Away
                                                        : StoreState::Refusing;
  case CallLoss::NotConnected:
    // A response on another connection shows that only packets were lost.
    return LastResponseAt > result.BegunAt ? StoreState::Serving
                                           : StoreState::Away;
  case CallLoss::Ended:
    if (kind == StoreCallKind::Waiting || !result.IsFirstCall)
      return StoreState::Serving;
    ++EndedFirstCalls;
    return EndedFirstCalls >= EndedFirstCallsOfOutage ? StoreState::Away
                                                      : StoreState::Serving;
  case CallLoss::Silent:
    // An answer to a later call shows that only this connection is silent.
    return kind == StoreCallKind::Waiting || LastAnsweredCallAt > result.BegunAt
               ? StoreState::Serving
               : StoreState::Away;
  }
  return StoreState::Away;
}

void StoreHealth::recordCall(const HttpCallResult &result, bool isUsable,
                             Time now) {
  if (isUsable)
    recordAnswer(result.BegunAt, now);
  else
    recordFailure(result, StoreCallKind::Prompt, result.Error, now);
}

void StoreHealth::recordFailure(const HttpCallResult &result,
                                StoreCallKind kind, std::string_view why,
                                Time now) {
  const StoreState state = interpretFailure(result, kind);
  if (state == StoreState::Serving) {
    ++LostCalls;
    logLine(LogPriority::Failure, now, "store_connection_lost",
            "loss={} waited_ms={} last_answer_age_ms={} why={}",
            callLossName(result.Loss), toMilliseconds(now - result.BegunAt),
            toMilliseconds(now - LastResponseAt), sanitizeForLog(why));
    if (result.Loss == CallLoss::Silent && OnConnectionSilent)
      OnConnectionSilent();
    return;
  }
  if (state == StoreState::Away) {
    OwnAnswersSince = Time();
    OwnService.reset();
    if (State != StoreState::Away) {
      ++Outages;
      beginOutage(LastResponseAt);
    }
  }
  if (state <= State)
    return;
  const bool wasServing = State == StoreState::Serving;
  State = state;
  logLine(LogPriority::StateChange, now, "store_lost",
          "state={} loss={} last_answer_age_ms={} why={}",
          storeStateName(state), callLossName(result.Loss),
          toMilliseconds(now - LastResponseAt), sanitizeForLog(why));
  if (wasServing && OnChange)
    OnChange(false);
}

void StoreHealth::recordAnswer(Time begunAt, Time now, StoreCallKind kind) {
  if (kind == StoreCallKind::Prompt)
    LastRoundTrip = now - begunAt;
  EndedFirstCalls = 0;
  if (!OwnService || begunAt > OwnService->Until + MaxServiceGap)
    OwnService = {begunAt, begunAt};
  OwnService->Until = std::max(OwnService->Until, begunAt);
  LastAnsweredCallAt = std::max(LastAnsweredCallAt, begunAt);
  if (OwnAnswersSince == Time())
    OwnAnswersSince = now;
  setServing(now);
}

void StoreHealth::setServing(Time now) {
  const Time previous = std::exchange(LastResponseAt, now);
  const StoreState state = std::exchange(State, StoreState::Serving);
  if (state == StoreState::Serving)
    return;
  if (state == StoreState::Away)
    RecoveredAt = now;
  logLine(LogPriority::StateChange, now, "store_regained",
          "state={} after_ms={}", storeStateName(state),
          toMilliseconds(now - previous));
  withdrawOwnOutage(now);
  if (OnChange)
    OnChange(true);
}

void StoreHealth::beginOutage(Time lastAnswerAt) {
  const bool isContinued =
      OutageBegunAt != Time() && lastAnswerAt < RecoveredAt + OutageSeparation;
  if (!isContinued) {
    OutageBegunAt = lastAnswerAt;
    RecoveredBefore = RecoveredAt;
  }
}

void StoreHealth::recordPeerService(const StoreService &service, Time now) {
  if (PeerService && areOverlapping(*PeerService, service))
    PeerService = unite(*PeerService, service);
  else if (!PeerService || PeerService->Until < service.Until)
    PeerService = service;
  withdrawOwnOutage(now);
}

std::optional<StoreService> StoreHealth::knownService() const {
  if (!OwnService || !PeerService)
    return OwnService ? OwnService : PeerService;
  if (areOverlapping(*OwnService, *PeerService))
    return unite(*OwnService, *PeerService);
  return OwnService->Until < PeerService->Until ? PeerService : OwnService;
}

/// Entries cannot have expired in an outage in which the store answered others.
void StoreHealth::withdrawOwnOutage(Time now) {
  const bool isOwn = State != StoreState::Away && OutageBegunAt != Time() &&
                     PeerService && PeerService->Since <= OutageBegunAt &&
                     PeerService->Until >= RecoveredAt - PeerServiceTolerance;
  if (!isOwn)
    return;
  ++OwnOutages;
  logLine(LogPriority::StateChange, now, "store_outage_own",
          "ended_ms={} others_answered_ms={}",
          toMilliseconds(now - RecoveredAt),
          toMilliseconds(now - PeerService->Until));
  RecoveredAt = RecoveredBefore;
  OutageBegunAt = Time();
  if (OnOutageWithdrawn)
    OnOutageWithdrawn();
}

void StoreHealth::noteRestored(Time now) {
  RestoredAt = now;
  OwnService.reset();
  PeerService.reset();
  OutageBegunAt = Time();
  OwnAnswersSince = Time();
}

void StoreHealth::recordRelayedAnswer(Time answeredAt, Time recoveredAt,
                                      Time now) {
  if (answeredAt > LastResponseAt)
    setServing(now);
  // While the other VM had no answer, this one called the store itself. Its
  // first answer shows that the store served again by then.
  if (recoveredAt > RelayedRecoveredAt + RelayedTimeTolerance) {
    RelayedRecoveredAt = recoveredAt;
    const Time servedAgainAt = OwnAnswersSince == Time()
                                   ? recoveredAt
                                   : std::min(recoveredAt, OwnAnswersSince);
    if (servedAgainAt > RecoveredAt) {
      beginOutage(RelayedAnswerAt);
      RecoveredAt = servedAgainAt;
      withdrawOwnOutage(now);
    }
  }
  RelayedAnswerAt = std::max(RelayedAnswerAt, answeredAt);
  OwnAnswersSince = Time();
}

} // namespace waxwing
