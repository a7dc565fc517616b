/**
 * @file idempotency_records.cpp
 * Deduplication of requests by idempotency key.
 */
#include "traffic/idempotency_records_base.h"

#include <algorithm>
#include <numeric>

namespace waxwing {
namespace {

std::size_t responseSize(const HttpResponse &response) {
  const auto &rows = response.Headers.rows();
  return std::accumulate(rows.begin(), rows.end(), response.Body.size(),
                         [](std::size_t sum, const HttpHeader &it) {
                           return sum + it.Name.size() + it.Value.size();
                         });
}

} // namespace

IdempotencyRecords::IdempotencyRecords(IdempotencyLimits limits,
                                       IdempotencyClockBounds clockBounds)
    : Limits(limits), ClockBounds(clockBounds) {}

WallTime IdempotencyRecords::advance(WallTime now) {
  Now = std::max(Now, now);
  deleteExpired();
  return Now;
}

KeyDecision IdempotencyRecords::begin(const KeyedRequest &request) {
  // A later home of the partition relies on this bound when it refuses keys
  // that an earlier home may have run.
  if (request.IssuedAt > Now + ClockBounds.MaxFutureIssue)
    return RefuseRequest{Reason::BadRequest,
                         "Idempotency-Key was issued in the future"};
  const auto known = Entries.find(request.Key);
  if (known != Entries.end())
    return decideDuplicate(known->second, request);
  const WallTime expiresAt = request.IssuedAt + request.Lifetime;
  if (expiresAt <= Now)
    return RefuseRequest{Reason::IdempotencyExpired,
                         "Idempotency-Key is too old"};
  if (request.IssuedAt <= request.LeasedSince + ClockBounds.leaseStartMargin())
    return RefuseRequest{
        Reason::DuplicateUnknown,
        "an earlier execution under this key can't be excluded"};
  if (Entries.size() >= Limits.MaxKeys)
    return RefuseRequest{Reason::QueueFull, "no room for new idempotency keys"};
  Entry &entry = Entries[request.Key];
  entry.ExpiresAt = expiresAt;
  entry.ContentHash = request.ContentHash;
  return ExecuteRequest();
}

KeyDecision IdempotencyRecords::decideDuplicate(Entry &entry,
                                                const KeyedRequest &request) {
  if (entry.ContentHash != request.ContentHash)
    return RefuseRequest{Reason::BadRequest,
                         "Idempotency-Key was used for another request"};
  if (entry.Progress == State::Unknown)
    return RefuseRequest{Reason::DuplicateUnknown,
                         "the outcome of the earlier execution is not known"};
  if (entry.Progress == State::Ran) {
    if (entry.Response)
      return ReplayResponse{*entry.Response};
    return RefuseRequest{Reason::DuplicateUnknown,
                         "the request ran; its answer was too large to keep"};
  }
  if (entry.Waiters.size() >= Limits.MaxWaitersPerKey)
    return RefuseRequest{Reason::DuplicateInFlight,
                         "the same Idempotency-Key is being executed"};
  entry.Waiters.push_back(request.Request);
  return WaitForResponse();
}

std::vector<RequestId>
IdempotencyRecords::finish(const IdempotencyKey &key, Verdict verdict,
                           const HttpResponse &response) {
  const auto it = Entries.find(key);
  if (it == Entries.end())
    return {};
  Entry &entry = it->second;
  std::vector<RequestId> waiters = std::exchange(entry.Waiters, {});
  if (verdict == Verdict::NotRun) {
    Entries.erase(it);
    return waiters;
  }
  entry.Progress = verdict == Verdict::Ran ? State::Ran : State::Unknown;
  if (verdict == Verdict::Ran)
    storeResponse(entry, response);
  FinishedKeysByExpiry.emplace(entry.ExpiresAt, key);
  return waiters;
}

void IdempotencyRecords::stopWaiting(const IdempotencyKey &key,
                                     RequestId request) {
  const auto it = Entries.find(key);
  if (it != Entries.end())
    std::erase(it->second.Waiters, request);
}

void IdempotencyRecords::storeResponse(Entry &entry,
                                       const HttpResponse &response) {
  const std::size_t size = responseSize(response);
  if (size > Limits.MaxResponseBytes ||
      ResponseBytes + size > Limits.MaxTotalResponseBytes)
    return;
  ResponseBytes += size;
  entry.Response = response;
}

void IdempotencyRecords::deleteExpired() {
  while (!FinishedKeysByExpiry.empty() &&
         FinishedKeysByExpiry.begin()->first <= Now) {
    const auto it = Entries.find(FinishedKeysByExpiry.begin()->second);
    if (it->second.Response)
      ResponseBytes -= responseSize(*it->second.Response);
    Entries.erase(it);
    FinishedKeysByExpiry.erase(FinishedKeysByExpiry.begin());
  }
}

} // namespace waxwing
