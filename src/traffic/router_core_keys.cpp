/**
 * @file router_core_keys.cpp
 * Forwards requests with an idempotency key to the key's home (the router that
 * holds the lease of the key's partition), where each key runs at most once.
 */
#include "traffic/idempotency_func.h"
#include "traffic/router_core_base.h"

namespace waxwing {
namespace {

/// Time between two calls that record new partition leases.
constexpr Duration LeaseRecordPeriod = milliseconds(50);

} // namespace

void RouterCore::proceed(RequestState &request, Time now) {
  if (request.Key && request.Role != KeyRole::Executor)
    return routeByIdempotencyKey(request, now);
  submitToDispatcher(request, now);
}

bool RouterCore::parseIdempotencyKey(RequestState &request, Time now) {
  const CallerRequest &caller = request.Request;
  const bool isDeduplicated = Homes != nullptr && caller.IdempotencyKey &&
                              !caller.IsIdempotent &&
                              !isForwardedForUpstream(request);
  if (!isDeduplicated)
    return true;
  const auto issuedAt = parseIssueTime(*caller.IdempotencyKey);
  if (!issuedAt.ok()) {
    refuseWithDetail(request, Reason::BadRequest,
                     std::string(issuedAt.status().message()), now);
    return false;
  }
  request.IssuedAt = *issuedAt;
  request.Key =
      IdempotencyKey{caller.Service, request.Caller, *caller.IdempotencyKey};
  return true;
}

void RouterCore::routeByIdempotencyKey(RequestState &request, Time now) {
  const ServiceId &service = request.Request.Service;
  const PartitionId partition = partitionOfKey(*request.Key);
  if (const auto since = Homes->leasedSince(service, partition, now))
    return processAtKeyHome(request,
                            recordLeaseStart(service, partition, *since), now);
  const auto home = Homes->homeOf(service, partition);
  if (request.Request.ForwardedTier || !home) {
    // A router that forwarded the request here used outdated homes. It gets
    // the refusal and looks up the home again.
    const bool isForwarded = request.Request.ForwardedTier.has_value();
    return isForwarded ? refuse(request, Reason::HomeUnknown, Duration(), now)
                       : fail(request, Reason::HomeUnknown, Duration(), now);
  }
  forwardToHome(request, *home, now);
}

void RouterCore::recordPartitionLeases(Time now) {
  if (Homes == nullptr || !Config ||
      now < PartitionLeasesRecordedAt + LeaseRecordPeriod)
    return;
  PartitionLeasesRecordedAt = now;
  for (const auto &[team, config] : Config->teams())
    for (const auto &[service, settings] : config.Services)
      for (std::uint32_t n = 0; n < PartitionCount; ++n)
        if (const auto since = Homes->leasedSince(service, PartitionId(n), now))
          recordLeaseStart(service, PartitionId(n), *since);
}

WallTime RouterCore::recordLeaseStart(const ServiceId &service,
                                      PartitionId partition, Time since) {
  auto &lease = PartitionLeases[{service, partition}];
  if (lease.second == WallTime() || lease.first != since)
    lease = {since, KeyRecords.now()};
  return lease.second;
}

void RouterCore::processAtKeyHome(RequestState &request, WallTime leasedSince,
                                  Time now) {
  const CallerRequest &caller = request.Request;
  const ServiceConfig &service =
      findTeam(caller.Team)->Services.at(caller.Service);
  const KeyDecision decision = KeyRecords.begin(
      {*request.Key, request.IssuedAt, service.IdempotencyLifetime,
       caller.ContentHash, caller.Id, leasedSince});
  if (const auto *refusal = std::get_if<RefuseRequest>(&decision))
    return refuseWithDetail(request, refusal->Cause, refusal->Detail, now);
  if (const auto *replay = std::get_if<ReplayResponse>(&decision))
    return finish(
        request,
        {caller.Id, Reason::None, Verdict::Ran, Duration(), replay->Response},
        now);
  if (std::holds_alternative<WaitForResponse>(decision)) {
    request.Role = KeyRole::Waiter;
    return pause(request, request.Deadline);
  }
  request.Role = KeyRole::Executor;
  submitToDispatcher(request, now);
}

void RouterCore::forwardToHome(RequestState &request, RouterTarget home,
                               Time now) {
  request.Role = KeyRole::Forwarder;
  home.Tier = request.Tier;
  home.Purpose = ForwardPurpose::IdempotencyHome;
  const AttemptId id(FirstKeyHomeAttemptId + NextKeyHomeAttempt++);
  request.InFlight.push_back(id);
  ++request.AttemptsMade;
  Attempts[id] = {request.Request.Id, std::nullopt, now};
  Actions.emplace_back(StartAttempt{id, request.Request.Id, std::move(home),
                                    request.Deadline, request.Caller,
                                    request.Request.Message});
}

void RouterCore::refuseWithDetail(RequestState &request, Reason reason,
                                  std::string_view detail, Time now) {
  request.Detail = detail;
  refuse(request, reason, Duration(), now);
}

void RouterCore::recordKeyOutcome(const RequestState &request,
                                  const SendResponse &response, Time now) {
  if (!request.Key)
    return;
  if (request.Role == KeyRole::Waiter)
    KeyRecords.stopWaiting(*request.Key, request.Request.Id);
  if (request.Role != KeyRole::Executor)
    return;
  for (const RequestId &id : KeyRecords.finish(
           *request.Key, response.ExecutionVerdict, response.Response)) {
    SendResponse copy = response;
    copy.Request = id;
    finish(*Requests.at(id), std::move(copy), now);
  }
}

} // namespace waxwing
