/**
 * @file retry.cpp
 * Retry decision and retry budget.
 */
#include "table/retry_rules.h"
#include "traffic/retry_budget_base.h"
#include "traffic/retry_func.h"

namespace waxwing {

RetryDecision decideRetry(const RetryInput &input, Time now) {
  const RetryRule rule = retryRule(input.Cause);
  const bool isSafeToRepeat =
      input.IsIdempotent || input.ExecutionVerdict == Verdict::NotRun;
  if (!isSafeToRepeat || rule == RetryRule::Never || now >= input.Deadline)
    return NoRetry();
  const bool needsPause = input.IsOwned || rule == RetryRule::AfterOwnersUpdate;
  if (!needsPause && input.AttemptsMade >= MaxAttempts)
    return NoRetry();
  if (!needsPause)
    return RetryAtOnce();
  const int doublings = std::min(input.PausesMade, MaxPauses);
  const Duration pause =
      std::min(LongestPause, ShortestPause * (1 << doublings));
  if (input.PausesMade >= MaxPauses || now + pause >= input.Deadline)
    return NoRetry();
  return RetryLater{now + pause};
}

void RetryBudget::addRequest() {
  BalanceThousandths = std::min(MaxBalanceThousandths,
                                BalanceThousandths + ThousandthsPerRequest);
}

bool RetryBudget::take() {
  if (BalanceThousandths < ThousandthsPerRetry)
    return false;
  BalanceThousandths -= ThousandthsPerRetry;
  return true;
}

} // namespace waxwing
