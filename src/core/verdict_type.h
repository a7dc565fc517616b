/**
 * @file verdict_type.h
 * What is known of an attempt's execution, and the reasons for refusals,
 * retries and failures. Names and properties stand in table/reasons.h.
 */
#ifndef WAXWING_CORE_VERDICT_TYPE_H
#define WAXWING_CORE_VERDICT_TYPE_H

#include <cstddef>
#include <cstdint>

namespace waxwing {

/// Whether a request may have been executed.
enum class Verdict : std::uint8_t {
  NotRun,     ///< proven: no upstream began to execute it
  Ran,        ///< an upstream executed it and its whole answer is known
  MayHaveRun, ///< neither is proven
};

/// Why a request was refused, retried or failed. One counter for each.
enum class Reason : std::uint8_t {
  None,                 ///< no refusal: the answer is the upstream's
  NoConfiguration,      ///< this VM has no configuration in force yet
  UnknownService,       ///< no such service in the configuration in force
  UnknownCaller,        ///< credentials match no caller
  BadRequest,           ///< malformed request, missing key, bad header
  TierShareExhausted,   ///< the tier's share is used up
  QueueFull,            ///< the bounded queue of the tier is full
  RingFull,             ///< a bounded ring between two threads is full
  DeadlineTooShort,     ///< cannot be served before its deadline
  DeadlinePassed,       ///< deadline passed while waiting, never sent
  NoUpstream,           ///< no upstream may be chosen now
  NoOwner,              ///< the key's shard has no owner now
  HomeUnknown,          ///< no router holds the upstream's home lease
  ForwardRefused,       ///< the home router refused
  ConnectFailed,        ///< no connection to the upstream
  SendFailed,           ///< connection lost before the request was written
  UpstreamShed,         ///< upstream refused: overloaded
  UpstreamDraining,     ///< upstream refused: draining
  UpstreamCold,         ///< upstream refused: cold
  WrongToken,           ///< upstream refused: fencing token is not its own
  GrantLapsed,          ///< upstream refused: its grant has ended
  UpstreamTimeout,      ///< sent, no answer before the attempt's deadline
  ConnectionLost,       ///< connection lost after the request was written
  CutOffAnswer,         ///< the answer ended before its stated length
  CrossedAnswer,        ///< the answer carries another request's id
  SilentConnection,     ///< connection stopped answering while others work
  Cancelled,            ///< caller gone or hedge lost
  DuplicateInFlight,    ///< same idempotency key is being executed
  DuplicateUnknown,     ///< outcome of the earlier execution is not known
  IdempotencyExpired,   ///< idempotency key is older than its lifetime
  SuspectedCrasher,     ///< request is stopped: upstreams crashed on it
  RetryBudgetExhausted, ///< the retry would exceed the budget
  Draining,             ///< this router is shutting down
  UnknownRoute,         ///< no route has the request's host and path
  RouteTimeout,         ///< the route's time-out passed after sending
  UpstreamFailed,       ///< the upstream's own failure status
  UnsignedAnswer,       ///< a success that is not the upstream's own
  Overloaded,           ///< the queue ahead is longer than the time left
  LastReason = Overloaded
};

/// Number of reasons, for arrays of counters.
constexpr std::size_t ReasonCount =
    static_cast<std::size_t>(Reason::LastReason) + 1;

} // namespace waxwing

#endif
