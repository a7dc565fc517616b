/**
 * @file retry_rules.h
 * Table of retry rules by the reason why an attempt ended.
 */
#ifndef WAXWING_TABLE_RETRY_RULES_H
#define WAXWING_TABLE_RETRY_RULES_H

#include "core/verdict_type.h"

#include <algorithm>
#include <array>

namespace waxwing {

/// Whether and where a request may be retried.
enum class RetryRule : std::uint8_t {
  Never, ///< no retry: every upstream would refuse it as well
  /// Retry at another upstream at once; in a service divided by key, at the
  /// key's owner after a pause.
  AnotherUpstream,
  /// After an update of key owners or upstreams' homes (the routers that send
  /// attempts to them), or after a pause.
  AfterOwnersUpdate,
};

/// Retry rule of attempts that ended for the reason Cause.
struct ReasonRetryRule {
  Reason Cause;
  RetryRule Rule;
};

/// Retry rules of reasons; a reason that is missing has RetryRule::Never.
constexpr std::array RetryRuleTable{
    ReasonRetryRule{Reason::ConnectFailed, RetryRule::AnotherUpstream},
    ReasonRetryRule{Reason::SendFailed, RetryRule::AnotherUpstream},
    ReasonRetryRule{Reason::UpstreamShed, RetryRule::AnotherUpstream},
    ReasonRetryRule{Reason::UpstreamDraining, RetryRule::AnotherUpstream},
    ReasonRetryRule{Reason::UpstreamCold, RetryRule::AnotherUpstream},
    ReasonRetryRule{Reason::UpstreamTimeout, RetryRule::AnotherUpstream},
    ReasonRetryRule{Reason::ConnectionLost, RetryRule::AnotherUpstream},
    ReasonRetryRule{Reason::CutOffAnswer, RetryRule::AnotherUpstream},
    ReasonRetryRule{Reason::CrossedAnswer, RetryRule::AnotherUpstream},
    ReasonRetryRule{Reason::SilentConnection, RetryRule::AnotherUpstream},
    ReasonRetryRule{Reason::ForwardRefused, RetryRule::AnotherUpstream},
    ReasonRetryRule{Reason::Draining, RetryRule::AnotherUpstream},
    ReasonRetryRule{Reason::WrongToken, RetryRule::AfterOwnersUpdate},
    ReasonRetryRule{Reason::GrantLapsed, RetryRule::AfterOwnersUpdate},
    ReasonRetryRule{Reason::NoOwner, RetryRule::AfterOwnersUpdate},
    ReasonRetryRule{Reason::HomeUnknown, RetryRule::AfterOwnersUpdate},
};

/// @return the retry rule of an attempt that ended for @p reason
constexpr RetryRule retryRule(Reason reason) {
  const auto *const it =
      std::ranges::find(RetryRuleTable, reason, &ReasonRetryRule::Cause);
  return it == RetryRuleTable.end() ? RetryRule::Never : it->Rule;
}

} // namespace waxwing

#endif
