/**
 * @file upstream_protocol.h
 * What upstreams and the system say to each other: HTTP headers of requests
 * and refusals, and the CBOR form of grant orders.
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

/// Echoed by the upstream; an answer with another id is crossed.
constexpr std::string_view RequestIdHeader = "X-Waxwing-Request";
/// "shard:N" or "key:N", for services divided by key.
constexpr std::string_view UnitHeader = "X-Waxwing-Unit";
/// Fencing token of the unit.
constexpr std::string_view TokenHeader = "X-Waxwing-Token";
/// Hash of the key.
constexpr std::string_view KeyHashHeader = "X-Waxwing-Key-Hash";
/// Time left until the deadline, ms.
constexpr std::string_view DeadlineHeader = "X-Deadline-Ms";
/// An upstream's refusal before execution; its value is a reason's name.
constexpr std::string_view RefusalHeader = "X-Waxwing-Refusal";
/// What is proven of a request's execution, in answers to callers.
constexpr std::string_view VerdictHeader = "X-Waxwing-Verdict";
/// Reason's name, in answers to callers.
constexpr std::string_view ReasonHeader = "X-Waxwing-Reason";
/// Tier of a forwarded request.
constexpr std::string_view TierHeader = "X-Waxwing-Tier";
/// Name of a forwarded request's caller, which the first router checked.
constexpr std::string_view CallerHeader = "X-Waxwing-Caller";
/// FailureReason a request was forwarded.
constexpr std::string_view PurposeHeader = "X-Waxwing-Purpose";
constexpr std::string_view UpstreamPurpose = "upstream";
constexpr std::string_view IdempotencyPurpose = "idempotency";
constexpr std::string_view IdempotencyHeader = "Idempotency-Key";
/// Start of the names that callers and upstreams may not set.
constexpr std::string_view InternalHeaderPrefix = "X-Waxwing-";
/// Paths of an upstream that are the system's own.
constexpr std::string_view GrantPath = "/waxwing/grant";
constexpr std::string_view CancelPath = "/waxwing/cancel";
constexpr std::string_view StatusPath = "/waxwing/status";

/// @return "shard:N" or "key:N"
std::string formatUnit(const OwnedUnit &unit);
/// @return the unit, or nothing when @p text names none
std::optional<OwnedUnit> parseUnit(std::string_view text);

/// @return CBOR body of an order; an absent order is a query
std::string encodeOrder(const std::optional<GrantOrder> &order);
absl::StatusOr<std::optional<GrantOrder>> decodeOrder(const std::string &bytes);

std::string encodeGrantAnswer(const GrantAnswer &answer);
absl::StatusOr<GrantAnswer> decodeGrantAnswer(const std::string &bytes);

/// How an attempt ended.
struct AttemptClassification {
  Reason FailureReason = Reason::None; ///< None for a whole answer
  Verdict Proven = Verdict::MayHaveRun;
  Duration RetryAfter{}; ///< stated by a refusing router
};

/// Reads how an exchange with an upstream ended.
/// @param expectedId id that the answer must echo
AttemptClassification classifyUpstreamOutcome(const HttpOutcome &outcome,
                                              std::string_view expectedId);

/// Reads how an exchange with another router ended; what that router proved
/// is passed on.
AttemptClassification classifyRouterOutcome(const HttpOutcome &outcome,
                                            std::string_view expectedId);

} // namespace waxwing

#endif
