/**
 * @file upstream_protocol.h
 * Protocol between the system and upstreams: HTTP headers of requests and
 * refusals, and the CBOR encoding of grant orders.
 */
#ifndef WAXWING_UPSTREAM_UPSTREAM_PROTOCOL_H
#define WAXWING_UPSTREAM_UPSTREAM_PROTOCOL_H

#include "core/time_type.h"
#include "core/verdict_type.h"
#include "net/http_type.h"
#include "ownership/ownership_type.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing {

/// Request id, echoed by the upstream. A response with another id belongs to
/// another request.
constexpr std::string_view RequestIdHeader = "X-Waxwing-Request";
/// Shard or separately granted key of a request, as "shard:N" or "key:N", in
/// services divided by key.
constexpr std::string_view UnitHeader = "X-Waxwing-Unit";
/// Fencing token under which the request's shard or key is granted.
constexpr std::string_view TokenHeader = "X-Waxwing-Token";
/// Hash of the request's key.
constexpr std::string_view KeyHashHeader = "X-Waxwing-Key-Hash";
/// Time remaining until the request's deadline, ms.
constexpr std::string_view DeadlineHeader = "X-Deadline-Ms";
/// Set by an upstream that refuses a request before execution; the value is the
/// name of a reason.
constexpr std::string_view RefusalHeader = "X-Waxwing-Refusal";
/// Whether the request was executed, was not or may have been, as far as it is
/// proven; in responses to callers.
constexpr std::string_view VerdictHeader = "X-Waxwing-Verdict";
/// Name of the reason for a failure, in responses to callers.
constexpr std::string_view ReasonHeader = "X-Waxwing-Reason";
/// Tier (class of requests with a queue and a weight of its own) of a request
/// that was forwarded by another router.
constexpr std::string_view TierHeader = "X-Waxwing-Tier";
/// Name of a forwarded request's caller, as authenticated by the first router.
constexpr std::string_view CallerHeader = "X-Waxwing-Caller";
/// Why a request was forwarded to another router.
constexpr std::string_view PurposeHeader = "X-Waxwing-Purpose";
constexpr std::string_view UpstreamPurpose = "upstream";
constexpr std::string_view IdempotencyPurpose = "idempotency";
constexpr std::string_view IdempotencyHeader = "Idempotency-Key";
/// Prefix of header names that callers and upstreams must not set.
constexpr std::string_view InternalHeaderPrefix = "X-Waxwing-";
/// Paths that an upstream serves for the routers and not for callers.
constexpr std::string_view GrantPath = "/waxwing/grant";
constexpr std::string_view CancelPath = "/waxwing/cancel";
constexpr std::string_view StatusPath = "/waxwing/status";

/// @return @p unit as "shard:N" or "key:N"
std::string formatUnit(const OwnedUnit &unit);
/// @return the unit, or nullopt when @p text is malformed
std::optional<OwnedUnit> parseUnit(std::string_view text);

/// @return CBOR body of an order, or of a query when @p order is nullopt
std::string encodeOrder(const std::optional<GrantOrder> &order);
absl::StatusOr<std::optional<GrantOrder>> decodeOrder(const std::string &bytes);

std::string encodeGrantAnswer(const GrantAnswer &answer);
absl::StatusOr<GrantAnswer> decodeGrantAnswer(const std::string &bytes);

/// Why an attempt failed, and what is proven about its execution.
struct AttemptClassification {
  Reason FailureReason = Reason::None; ///< None for a complete response
  Verdict Proven = Verdict::MayHaveRun;
  Duration RetryAfter{}; ///< from a refusing router's response
};

/// Classifies the outcome of an exchange with an upstream.
/// @param expectedId request id that the response must echo
AttemptClassification classifyUpstreamOutcome(const HttpOutcome &outcome,
                                              std::string_view expectedId);

/// Classifies the outcome of an exchange with another router. The verdict and
/// the reason in its response are passed on.
AttemptClassification classifyRouterOutcome(const HttpOutcome &outcome,
                                            std::string_view expectedId);

} // namespace waxwing

#endif
