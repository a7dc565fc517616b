/**
 * @file idempotency_memory.cpp
 * Begin, wait, replay, forget.
 */
#include "traffic/idempotency_memory_base.h"

#include <algorithm>
#include <numeric>

namespace waxwing {
namespace {

std::size_t sizeOf(const HttpResponse &answer) {
  const auto &rows = answer.Headers.rows();
  return std::accumulate(rows.begin(), rows.end(), answer.Body.size(),
                         [](std::size_t sum, const HttpHeader &it) {
                           return sum + it.Name.size() + it.Value.size();
                         });
}

} // namespace

IdempotencyMemory::IdempotencyMemory(IdempotencyLimits limits,
                                     IdempotencyTerms terms)
    : Limits(limits), Terms(terms) {}

WallTime IdempotencyMemory::advance(WallTime now) {
  Now = std::max(Now, now);
  forgetExpired();
  return Now;
}

KeyDecision IdempotencyMemory::begin(const KeyQuestion &question) {
  // Whoever holds the partition later must be sure to see this key as old.
  if (question.IssuedAt > Now + Terms.AheadLimit)
    return RefuseKey{Reason::BadRequest,
                     "Idempotency-Key was issued in the future"};
  const auto known = Entries.find(question.Key);
  if (known != Entries.end())
    return decideKnown(known->second, question);
  const WallTime forgetAt = question.IssuedAt + question.Lifetime;
  if (forgetAt <= Now)
    return RefuseKey{Reason::IdempotencyExpired, "Idempotency-Key is too old"};
  if (question.IssuedAt <= question.HeldSince + Terms.margin())
    return RefuseKey{Reason::DuplicateUnknown,
                     "an earlier execution under this key can't be excluded"};
  if (Entries.size() >= Limits.Keys)
    return RefuseKey{Reason::QueueFull, "no room for new idempotency keys"};
  Entry &entry = Entries[question.Key];
  entry.ForgetAt = forgetAt;
  entry.ContentHash = question.ContentHash;
  return RunKey();
}

KeyDecision IdempotencyMemory::decideKnown(Entry &entry,
                                           const KeyQuestion &question) {
  if (entry.ContentHash != question.ContentHash)
    return RefuseKey{Reason::BadRequest,
                     "Idempotency-Key was used for another request"};
  if (entry.Progress == State::Unknown)
    return RefuseKey{Reason::DuplicateUnknown,
                     "the outcome of the earlier execution is not known"};
  if (entry.Progress == State::Ran) {
    if (entry.Response)
      return ReplayResponse{*entry.Response};
    return RefuseKey{Reason::DuplicateUnknown,
                     "the request ran; its answer was too large to keep"};
  }
  if (entry.Waiters.size() >= Limits.WaitersPerKey)
    return RefuseKey{Reason::DuplicateInFlight,
                     "the same Idempotency-Key is being executed"};
  entry.Waiters.push_back(question.Request);
  return WaitForKey();
}

std::vector<RequestId> IdempotencyMemory::finish(const IdempotencyKey &key,
                                                 Verdict proven,
                                                 const HttpResponse &answer) {
  const auto it = Entries.find(key);
  if (it == Entries.end())
    return {};
  Entry &entry = it->second;
  std::vector<RequestId> waiters = std::exchange(entry.Waiters, {});
  if (proven == Verdict::NotRun) {
    Entries.erase(it);
    return waiters;
  }
  entry.Progress = proven == Verdict::Ran ? State::Ran : State::Unknown;
  if (proven == Verdict::Ran)
    store(entry, answer);
  ByEnd.emplace(entry.ForgetAt, key);
  return waiters;
}

void IdempotencyMemory::stopWaiting(const IdempotencyKey &key,
                                    RequestId request) {
  const auto it = Entries.find(key);
  if (it != Entries.end())
    std::erase(it->second.Waiters, request);
}

void IdempotencyMemory::store(Entry &entry, const HttpResponse &answer) {
  const std::size_t size = sizeOf(answer);
  if (size > Limits.OneAnswerBytes || AnswerBytes + size > Limits.AnswerBytes)
    return;
  AnswerBytes += size;
  entry.Response = answer;
}

void IdempotencyMemory::forgetExpired() {
  while (!ByEnd.empty() && ByEnd.begin()->first <= Now) {
    const auto it = Entries.find(ByEnd.begin()->second);
    if (it->second.Response)
      AnswerBytes -= sizeOf(*it->second.Response);
    Entries.erase(it);
    ByEnd.erase(ByEnd.begin());
  }
}

} // namespace waxwing
