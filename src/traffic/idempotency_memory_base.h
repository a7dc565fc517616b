/**
 * @file idempotency_memory_base.h
 * What a home remembers of the idempotency keys it has run.
 */
#ifndef WAXWING_TRAFFIC_IDEMPOTENCY_MEMORY_BASE_H
#define WAXWING_TRAFFIC_IDEMPOTENCY_MEMORY_BASE_H

#include "traffic/idempotency_type.h"

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <set>
#include <vector>

namespace waxwing {

/// Decides on keys; a state machine without I/O.
/// Invariant: a key that may have run is kept until its lifetime has ended;
/// when there is no room, new keys are refused instead.
class IdempotencyMemory {
public:
  explicit IdempotencyMemory(IdempotencyLimits limits = {},
                             IdempotencyTerms terms = {});

  /// Lets civil time pass; it never goes back in here.
  /// @return the latest civil time seen
  WallTime advance(WallTime now);

  /// A request with a key wants to run.
  KeyDecision begin(const KeyQuestion &question);

  /// The request that was told RunKey ended.
  /// @param proven NotRun forgets the key, so it may run again
  /// @param answer stored when Ran
  /// @return the requests that wait for the same key
  std::vector<RequestId> finish(const IdempotencyKey &key, Verdict proven,
                                const HttpResponse &answer);

  /// A request that was told WaitForKey waits no longer.
  void stopWaiting(const IdempotencyKey &key, RequestId request);

  WallTime now() const { return Now; }
  std::size_t keys() const { return Entries.size(); }
  std::size_t answerBytes() const { return AnswerBytes; }

private:
  enum class State : std::uint8_t { Running, Ran, Unknown };

  struct Entry {
    State Progress = State::Running;
    WallTime ForgetAt;
    std::uint64_t ContentHash = 0;
    std::optional<HttpResponse> Response; ///< when Ran and small enough
    std::vector<RequestId> Waiters;       ///< while Running
  };

  KeyDecision decideKnown(Entry &entry, const KeyQuestion &question);
  void store(Entry &entry, const HttpResponse &answer);
  void forgetExpired();

  IdempotencyLimits Limits;
  IdempotencyTerms Terms;
  WallTime Now;
  absl::flat_hash_map<IdempotencyKey, Entry> Entries;
  std::set<std::pair<WallTime, IdempotencyKey>> ByEnd; ///< of finished keys
  std::size_t AnswerBytes = 0;
};

} // namespace waxwing

#endif
