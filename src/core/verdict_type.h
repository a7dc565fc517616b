/**
 * @file verdict_type.h
 * Whether a request was executed, and the reasons for refusals, retries and
 * failures. table/reasons.h holds the names and properties of the reasons.
 */
#ifndef WAXWING_CORE_VERDICT_TYPE_H
#define WAXWING_CORE_VERDICT_TYPE_H

#include <cstddef>
#include <cstdint>

namespace waxwing {

/// What is known about the execution of a request.
enum class Verdict : std::uint8_t {
  NotRun,     ///< it is proven that no upstream began to execute it
  Ran,        ///< an upstream executed it and its complete response arrived
  MayHaveRun, ///< neither NotRun nor Ran is proven
};

/// Why a request was refused, retried or failed. Each reason has a counter.
enum class Reason : std::uint8_t {
  None,               ///< not refused: the upstream's own response
  NoConfiguration,    ///< this VM has not loaded a configuration yet
  UnknownService,     ///< the service is not in the configuration
  UnknownCaller,      ///< the credentials match no configured caller
  BadRequest,         ///< malformed request, missing key or invalid header
  TierShareExhausted, ///< the tier has used up its share of capacity
  QueueFull,          ///< the tier's queue is full
  RingFull,           ///< the queue between two threads of the router is full
  DeadlineTooShort,   ///< the request cannot finish before its deadline
  DeadlinePassed,     ///< the deadline passed in the queue; not sent
  NoUpstream,         ///< no upstream is eligible now
  NoOwner,            ///< the key's shard has no owner now
  /// The upstream's home router (the one that holds the lease on its slots) is
  /// not known.
  HomeUnknown,
  ForwardRefused,   ///< the upstream's home router refused the request
  ConnectFailed,    ///< connecting to the upstream failed
  SendFailed,       ///< connection lost before the request was written
  UpstreamShed,     ///< upstream refused: overloaded
  UpstreamDraining, ///< upstream refused: draining
  UpstreamCold,     ///< upstream refused: cold
  WrongToken,       ///< upstream refused: it does not hold the fencing token
  GrantLapsed,      ///< upstream refused: its grant has ended
  UpstreamTimeout,  ///< no response before the attempt's deadline
  ConnectionLost,   ///< connection lost after the request was written
  CutOffAnswer,     ///< the response ended before its announced length
  CrossedAnswer,    ///< the response carries another request's id
  SilentConnection, ///< this connection stopped responding while others work
  /// The caller disconnected, or a parallel attempt of the request won.
  Cancelled,
  DuplicateInFlight,    ///< a request with the same idempotency key is running
  DuplicateUnknown,     ///< the result for the same idempotency key is unknown
  IdempotencyExpired,   ///< the idempotency key has exceeded its lifetime
  SuspectedCrasher,     ///< blocked, since upstreams crashed while executing it
  RetryBudgetExhausted, ///< the retry would exceed the retry budget
  Draining,             ///< this router is shutting down
  UnknownRoute,         ///< no route matches the host and path
  RouteTimeout,         ///< the route's timeout expired after sending
  UpstreamFailed,       ///< the upstream responded with a failure status
  UnsignedAnswer,       ///< a success response without the upstream's signature
  Overloaded,           ///< the expected queueing time exceeds the time left
  NoLinks,              ///< this VM cannot open connections to upstreams
  UpstreamLimited,      ///< the upstream's limit for all VMs is used up
  LastReason = UpstreamLimited
};

/// Number of values of Reason; the size of arrays indexed by it.
constexpr std::size_t ReasonCount =
    static_cast<std::size_t>(Reason::LastReason) + 1;

} // namespace waxwing

#endif
