/**
 * @file reasons.h
 * Names of verdicts (whether a request was executed) and a table of reasons
 * (why a request or an attempt failed).
 */
#ifndef WAXWING_TABLE_REASONS_H
#define WAXWING_TABLE_REASONS_H

#include "core/verdict_type.h"

#include <array>
#include <string_view>

namespace waxwing {

/// Name and properties of a reason.
struct ReasonInfo {
  Reason Id;                ///< equals the index of the row
  std::string_view Name;    ///< metric label and X-Waxwing-Reason value
  Verdict ExecutionVerdict; ///< whether execution is proven or ruled out
  int HttpStatus;           ///< status of the response to the caller
};

/// Properties of all reasons, indexed by the value of the reason.
constexpr std::array<ReasonInfo, ReasonCount> ReasonTable{{
    {Reason::None, "none", Verdict::Ran, 200},
    {Reason::NoConfiguration, "no_configuration", Verdict::NotRun, 503},
    {Reason::UnknownService, "unknown_service", Verdict::NotRun, 404},
    {Reason::UnknownCaller, "unknown_caller", Verdict::NotRun, 401},
    {Reason::BadRequest, "bad_request", Verdict::NotRun, 400},
    {Reason::TierShareExhausted, "tier_share_exhausted", Verdict::NotRun, 429},
    {Reason::QueueFull, "queue_full", Verdict::NotRun, 503},
    {Reason::RingFull, "ring_full", Verdict::NotRun, 503},
    {Reason::DeadlineTooShort, "deadline_too_short", Verdict::NotRun, 503},
    {Reason::DeadlinePassed, "deadline_passed", Verdict::NotRun, 504},
    {Reason::NoUpstream, "no_upstream", Verdict::NotRun, 503},
    {Reason::NoOwner, "no_owner", Verdict::NotRun, 503},
    {Reason::HomeUnknown, "home_unknown", Verdict::NotRun, 503},
    {Reason::ForwardRefused, "forward_refused", Verdict::NotRun, 503},
    {Reason::ConnectFailed, "connect_failed", Verdict::NotRun, 503},
    {Reason::SendFailed, "send_failed", Verdict::NotRun, 503},
    {Reason::UpstreamShed, "upstream_shed", Verdict::NotRun, 503},
    {Reason::UpstreamDraining, "upstream_draining", Verdict::NotRun, 503},
    {Reason::UpstreamCold, "upstream_cold", Verdict::NotRun, 503},
    {Reason::WrongToken, "wrong_token", Verdict::NotRun, 503},
    {Reason::GrantLapsed, "grant_lapsed", Verdict::NotRun, 503},
    {Reason::UpstreamTimeout, "upstream_timeout", Verdict::MayHaveRun, 504},
    {Reason::ConnectionLost, "connection_lost", Verdict::MayHaveRun, 502},
    {Reason::CutOffAnswer, "cut_off_answer", Verdict::MayHaveRun, 502},
    {Reason::CrossedAnswer, "crossed_answer", Verdict::MayHaveRun, 502},
    {Reason::SilentConnection, "silent_connection", Verdict::MayHaveRun, 504},
    {Reason::Cancelled, "cancelled", Verdict::MayHaveRun, 499},
    {Reason::DuplicateInFlight, "duplicate_in_flight", Verdict::MayHaveRun,
     409},
    {Reason::DuplicateUnknown, "duplicate_unknown", Verdict::MayHaveRun, 409},
    {Reason::IdempotencyExpired, "idempotency_expired", Verdict::MayHaveRun,
     409},
    {Reason::SuspectedCrasher, "suspected_crasher", Verdict::MayHaveRun, 422},
    {Reason::RetryBudgetExhausted, "retry_budget_exhausted", Verdict::NotRun,
     503},
    {Reason::Draining, "draining", Verdict::NotRun, 503},
    {Reason::UnknownRoute, "unknown_route", Verdict::NotRun, 404},
    {Reason::RouteTimeout, "route_timeout", Verdict::MayHaveRun, 504},
    {Reason::UpstreamFailed, "upstream_failed", Verdict::MayHaveRun, 502},
    {Reason::UnsignedAnswer, "unsigned_answer", Verdict::MayHaveRun, 502},
    {Reason::Overloaded, "overloaded", Verdict::NotRun, 503},
    {Reason::NoLinks, "no_links", Verdict::NotRun, 503},
    {Reason::UpstreamLimited, "upstream_limited", Verdict::NotRun, 503},
}};

static_assert(
    [] {
      for (std::size_t n = 0; n < ReasonCount; ++n)
        if (static_cast<std::size_t>(ReasonTable[n].Id) != n)
          return false;
      return true;
    }(),
    "ReasonTable rows must be in the order of enum Reason");

/// Values of the header X-Waxwing-Verdict, indexed by the verdict.
constexpr std::array<std::string_view, 3> VerdictNames{"not-run", "ran",
                                                       "may-have-run"};

/// @return the table row of @p reason
constexpr const ReasonInfo &reasonInfo(Reason reason) {
  return ReasonTable[static_cast<std::size_t>(reason)];
}

/// @return the value of the header X-Waxwing-Verdict for @p verdict
constexpr std::string_view verdictName(Verdict verdict) {
  return VerdictNames[static_cast<std::size_t>(verdict)];
}

} // namespace waxwing

#endif
