/**
 * @file idempotency_records_base.h
 * Records of requests by idempotency key at the home of the keys (the only
 * router that executes requests with them).
 */
#ifndef WAXWING_TRAFFIC_IDEMPOTENCY_RECORDS_BASE_H
#define WAXWING_TRAFFIC_IDEMPOTENCY_RECORDS_BASE_H

#include "traffic/idempotency_type.h"

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <set>
#include <vector>

namespace waxwing {

/// Records each idempotency key and the outcome of its request, and decides
/// whether a request is executed. A state machine without I/O.
/// Invariant: the record of a key that may have run is kept until the key's
/// lifetime ends; new keys are refused when the limits are reached.
class IdempotencyRecords {
public:
  explicit IdempotencyRecords(IdempotencyLimits limits = {},
                              IdempotencyClockBounds clockBounds = {});

  /// Advances the wall-clock time and deletes expired records. An earlier time
  /// than the latest one seen is ignored.
  /// @return the latest wall-clock time seen
  WallTime advance(WallTime now);

  /// Decides what to do with a request, and records its key if it is new.
  KeyDecision begin(const KeyedRequest &request);

  /// Records the outcome of a request after the decision ExecuteRequest.
  /// @param verdict NotRun deletes the record, so that the key may run again
  /// @param response stored when @p verdict is Ran
  /// @return requests that wait for the response
  std::vector<RequestId> finish(const IdempotencyKey &key, Verdict verdict,
                                const HttpResponse &response);

  /// Removes a request that waits after the decision WaitForResponse.
  void stopWaiting(const IdempotencyKey &key, RequestId request);

  WallTime now() const { return Now; }
  std::size_t keys() const { return Entries.size(); }
  std::size_t responseBytes() const { return ResponseBytes; }

private:
  /// Execution state of a key's request. Unknown: it ended, and may have run.
  enum class State : std::uint8_t { Running, Ran, Unknown };

  struct Entry {
    State Progress = State::Running;
    WallTime ExpiresAt;
    std::uint64_t ContentHash = 0;
    /// Stored response; set when Progress is Ran, unless it exceeded the
    /// limits.
    std::optional<HttpResponse> Response;
    std::vector<RequestId> Waiters; ///< requests waiting for the response
  };

  /// Decides about a request whose key has a record already.
  KeyDecision decideDuplicate(Entry &entry, const KeyedRequest &request);
  /// Stores the response unless it exceeds the limits.
  void storeResponse(Entry &entry, const HttpResponse &response);
  void deleteExpired();

  IdempotencyLimits Limits;
  IdempotencyClockBounds ClockBounds;
  WallTime Now;
  absl::flat_hash_map<IdempotencyKey, Entry> Entries;
  /// Keys of finished requests, ordered by the time when they expire.
  std::set<std::pair<WallTime, IdempotencyKey>> FinishedKeysByExpiry;
  std::size_t ResponseBytes = 0;
};

} // namespace waxwing

#endif
