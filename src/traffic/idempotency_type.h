/**
 * @file idempotency_type.h
 * Types of the deduplication of requests by idempotency key. All requests with
 * a key are handled by its home (the router that holds the lease of the key's
 * partition).
 */
#ifndef WAXWING_TRAFFIC_IDEMPOTENCY_TYPE_H
#define WAXWING_TRAFFIC_IDEMPOTENCY_TYPE_H

#include "core/id_type.h"
#include "core/time_type.h"
#include "core/verdict_type.h"
#include "net/http_type.h"
#include "traffic/home_type.h"

#include <compare>
#include <variant>

namespace waxwing {

/// Maximum length of an idempotency key in bytes.
constexpr std::size_t MaxIdempotencyKeyBytes = 128;

/// Identifies an idempotency key. Equal key texts of different callers or
/// services are different keys.
struct IdempotencyKey {
  ServiceId Service;
  CallerId Caller;
  std::string Text;
  auto operator<=>(const IdempotencyKey &) const = default;
  template <class H> friend H AbslHashValue(H h, const IdempotencyKey &it) {
    return H::combine(std::move(h), it.Service, it.Caller, it.Text);
  }
};

/// Bounds on differences between wall clocks.
struct IdempotencyClockBounds {
  /// Maximum error of a router's wall clock.
  Duration MaxClockError = milliseconds(100);
  /// A key's time of issue may be this far in the future.
  Duration MaxFutureIssue = milliseconds(250);

  /// @return margin after the start of a home's lease; the home has a record
  ///   of each executed key that was issued after the margin
  Duration leaseStartMargin() const {
    return MaxFutureIssue + 2 * MaxClockError;
  }
};

/// Bounds on the idempotency records of one router.
struct IdempotencyLimits {
  std::size_t MaxKeys = 100'000;
  /// Maximum total size of the stored responses.
  std::size_t MaxTotalResponseBytes = 32u << 20;
  /// Maximum size of one stored response.
  std::size_t MaxResponseBytes = 64u << 10;
  std::size_t MaxWaitersPerKey = 8;
};

/// A request with an idempotency key that arrived at the key's home.
struct KeyedRequest {
  IdempotencyKey Key;
  WallTime IssuedAt;
  Duration Lifetime{};           ///< lifetime of the service's idempotency keys
  std::uint64_t ContentHash = 0; ///< hash of method, target and body
  RequestId Request;
  /// Time when this router recorded its lease of the key's partition.
  WallTime LeasedSince;
};

/// Execute the request; IdempotencyRecords::finish() must be called after it.
struct ExecuteRequest {};

/// Wait: a request with the same key is running, and its response is used for
/// both.
struct WaitForResponse {};

/// Send the stored response of the earlier execution.
struct ReplayResponse {
  HttpResponse Response;
};

/// Refuse the request without executing it.
struct RefuseRequest {
  Reason Cause = Reason::None;
  std::string_view Detail; ///< explanation for the caller
};

using KeyDecision = std::variant<ExecuteRequest, WaitForResponse,
                                 ReplayResponse, RefuseRequest>;

} // namespace waxwing

#endif
