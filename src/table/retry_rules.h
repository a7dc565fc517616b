/**
 * @file retry_rules.h
 * Table of what may follow each end of an attempt.
 */
#ifndef WAXWING_TABLE_RETRY_RULES_H
#define WAXWING_TABLE_RETRY_RULES_H

#include "core/verdict_type.h"

#include <algorithm>
#include <array>

namespace waxwing {

/// Where a request may be tried again.
enum class RetryRule : std::uint8_t {
  Never,       ///< the refusal holds for every upstream
  Elsewhere,   ///< at another upstream, or at the key's owner after a pause
  AfterOwners, ///< once newer owners or homes are known, or after a pause
};

/// One row of the table of retry rules.
struct RetryRuleRow {
  Reason Cause;
  RetryRule Rule;
};

/// Reasons that the table does not name are RetryRule::Never.
constexpr std::array RetryRuleTable{
    RetryRuleRow{Reason::ConnectFailed, RetryRule::Elsewhere},
    RetryRuleRow{Reason::SendFailed, RetryRule::Elsewhere},
    RetryRuleRow{Reason::UpstreamShed, RetryRule::Elsewhere},
    RetryRuleRow{Reason::UpstreamDraining, RetryRule::Elsewhere},
    RetryRuleRow{Reason::UpstreamCold, RetryRule::Elsewhere},
    RetryRuleRow{Reason::UpstreamTimeout, RetryRule::Elsewhere},
    RetryRuleRow{Reason::ConnectionLost, RetryRule::Elsewhere},
    RetryRuleRow{Reason::CutOffAnswer, RetryRule::Elsewhere},
    RetryRuleRow{Reason::CrossedAnswer, RetryRule::Elsewhere},
    RetryRuleRow{Reason::SilentConnection, RetryRule::Elsewhere},
    RetryRuleRow{Reason::ForwardRefused, RetryRule::Elsewhere},
    RetryRuleRow{Reason::Draining, RetryRule::Elsewhere},
    RetryRuleRow{Reason::WrongToken, RetryRule::AfterOwners},
    RetryRuleRow{Reason::GrantLapsed, RetryRule::AfterOwners},
    RetryRuleRow{Reason::NoOwner, RetryRule::AfterOwners},
    RetryRuleRow{Reason::HomeUnknown, RetryRule::AfterOwners},
};

/// @return what may follow an attempt that ended for @p why
constexpr RetryRule retryRule(Reason why) {
  const auto *const it =
      std::ranges::find(RetryRuleTable, why, &RetryRuleRow::Cause);
  return it == RetryRuleTable.end() ? RetryRule::Never : it->Rule;
}

} // namespace waxwing

#endif
