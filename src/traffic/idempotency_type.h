/**
 * @file idempotency_type.h
 * Idempotency keys, and what their home decides about them.
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

/// Longest idempotency key, bytes.
constexpr std::size_t IdempotencyKeyBytes = 128;

/// A caller's key as it is remembered; keys of callers never meet.
struct IdempotencyKey {
  ServiceId Service;
  CallerId Caller;
  std::string Text;
  auto operator<=>(const IdempotencyKey &) const = default;
  template <class H> friend H AbslHashValue(H h, const IdempotencyKey &it) {
    return H::combine(std::move(h), it.Service, it.Caller, it.Text);
  }
};

/// Bounds on civil clocks.
struct IdempotencyTerms {
  Duration VmClockError = milliseconds(100); ///< of a router against true time
  Duration AheadLimit =
      milliseconds(250); ///< a key's time of issue may be so late

  /// A home has seen every execution of keys that were issued later than its
  /// start and this.
  Duration margin() const { return AheadLimit + 2 * VmClockError; }
};

/// Bounds on what one router remembers.
struct IdempotencyLimits {
  std::size_t Keys = 100'000;
  std::size_t AnswerBytes = 32u << 20; ///< of all stored answers
  std::size_t OneAnswerBytes = 64u << 10;
  std::size_t WaitersPerKey = 8;
};

/// A request with a key arrives at the key's home.
struct KeyQuestion {
  IdempotencyKey Key;
  WallTime IssuedAt;
  Duration Lifetime{};           ///< how long the service's keys live
  std::uint64_t ContentHash = 0; ///< of the request
  RequestId Request;
  WallTime HeldSince; ///< start of this router's home lease
};

/// Run the request; IdempotencyMemory::finish() must follow.
struct RunKey {};

/// Another request with the key is running; its answer serves both.
struct WaitForKey {};

/// The request ran; this was the answer.
struct ReplayResponse {
  HttpResponse Response;
};

/// Do not run the request.
struct RefuseKey {
  Reason Cause = Reason::None;
  std::string_view Detail; ///< for the caller
};

using KeyDecision = std::variant<RunKey, WaitForKey, ReplayResponse, RefuseKey>;

} // namespace waxwing

#endif
