/**
 * @file router_core_keys.cpp
 * Requests with an idempotency key: to the key's home, and there at most
 * once.
 */
#include "traffic/idempotency_func.h"
#include "traffic/router_core_base.h"

namespace waxwing {
namespace {

constexpr Duration NotePeriod = milliseconds(50);

} // namespace

void RouterCore::proceed(RequestState &request, Time now) {
  if (request.Key && request.Role != KeyRole::Runner)
    return proceedWithKey(request, now);
  submit(request, now);
}

bool RouterCore::readKey(RequestState &request, Time now) {
  const CallerRequest &caller = request.Request;
  const bool isRemembered = Homes != nullptr && caller.IdempotencyKey &&
                            !caller.IsIdempotent && !isForwardedHere(request);
  if (!isRemembered)
    return true;
  const auto issuedAt = parseIssueTime(*caller.IdempotencyKey);
  if (!issuedAt.ok()) {
    refuseKey(request, Reason::BadRequest,
              std::string(issuedAt.status().message()), now);
    return false;
  }
  request.IssuedAt = *issuedAt;
  request.Key =
      IdempotencyKey{caller.Service, request.Caller, *caller.IdempotencyKey};
  return true;
}

void RouterCore::proceedWithKey(RequestState &request, Time now) {
  const ServiceId &service = request.Request.Service;
  const PartitionId partition = partitionOf(*request.Key);
  if (const auto since = Homes->heldSince(service, partition, now))
    return beginKey(request, noteHeldSince(service, partition, *since), now);
  const auto home = Homes->homeOf(service, partition);
  if (request.Request.ForwardedTier || !home) {
    // Another router takes it for the home: that one has to look again.
    const bool isSentHere = request.Request.ForwardedTier.has_value();
    return isSentHere ? refuse(request, Reason::HomeUnknown, Duration(), now)
                      : fail(request, Reason::HomeUnknown, Duration(), now);
  }
  sendToHome(request, *home, now);
}

void RouterCore::notePartitions(Time now) {
  if (Homes == nullptr || !Config || now < PartitionsNotedAt + NotePeriod)
    return;
  PartitionsNotedAt = now;
  for (const auto &[team, config] : Config->teams())
    for (const auto &[service, settings] : config.Services)
      for (std::uint32_t n = 0; n < PartitionCount; ++n)
        if (const auto since = Homes->heldSince(service, PartitionId(n), now))
          noteHeldSince(service, PartitionId(n), *since);
}

WallTime RouterCore::noteHeldSince(const ServiceId &service,
                                   PartitionId partition, Time since) {
  auto &noted = HeldPartitions[{service, partition}];
  if (noted.second == WallTime() || noted.first != since)
    noted = {since, Memory.now()};
  return noted.second;
}

void RouterCore::beginKey(RequestState &request, WallTime heldSince, Time now) {
  const CallerRequest &caller = request.Request;
  const ServiceConfig &service =
      findTeam(caller.Team)->Services.at(caller.Service);
  const KeyDecision decision =
      Memory.begin({*request.Key, request.IssuedAt, service.IdempotencyLifetime,
                    caller.ContentHash, caller.Id, heldSince});
  if (const auto *refusal = std::get_if<RefuseKey>(&decision))
    return refuseKey(request, refusal->Cause, refusal->Detail, now);
  if (const auto *replay = std::get_if<ReplayResponse>(&decision))
    return settle(
        request,
        {caller.Id, Reason::None, Verdict::Ran, Duration(), replay->Response},
        now);
  if (std::holds_alternative<WaitForKey>(decision)) {
    request.Role = KeyRole::Waiter;
    return pause(request, request.Deadline);
  }
  request.Role = KeyRole::Runner;
  submit(request, now);
}

void RouterCore::sendToHome(RequestState &request, RouterTarget home,
                            Time now) {
  request.Role = KeyRole::Sender;
  home.Tier = request.Tier;
  home.Purpose = ForwardPurpose::IdempotencyHome;
  const AttemptId id(FirstSend + NextSend++);
  request.Live.push_back(id);
  ++request.AttemptsMade;
  Attempts[id] = {request.Request.Id, std::nullopt, now};
  Actions.emplace_back(StartAttempt{id, request.Request.Id, std::move(home),
                                    request.Deadline, request.Caller,
                                    request.Request.Message});
}

void RouterCore::refuseKey(RequestState &request, Reason why,
                           std::string_view detail, Time now) {
  request.Detail = detail;
  refuse(request, why, Duration(), now);
}

void RouterCore::finishKey(const RequestState &request,
                           const SendResponse &answer, Time now) {
  if (!request.Key)
    return;
  if (request.Role == KeyRole::Waiter)
    Memory.stopWaiting(*request.Key, request.Request.Id);
  if (request.Role != KeyRole::Runner)
    return;
  for (const RequestId &id :
       Memory.finish(*request.Key, answer.ExecutionVerdict, answer.Response)) {
    SendResponse same = answer;
    same.Request = id;
    settle(*Requests.at(id), std::move(same), now);
  }
}

} // namespace waxwing
