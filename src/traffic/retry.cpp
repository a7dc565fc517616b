/**
 * @file retry.cpp
 * The retry decision and its budget.
 */
#include "table/retry_rules.h"
#include "traffic/retry_budget_base.h"
#include "traffic/retry_func.h"

namespace waxwing {

RetryDecision decideRetry(const RetryQuestion &question, Time now) {
  const RetryRule rule = retryRule(question.Cause);
  const bool isSafe =
      question.IsIdempotent || question.ExecutionVerdict == Verdict::NotRun;
  if (!isSafe || rule == RetryRule::Never || now >= question.Deadline)
    return GiveUp();
  const bool needsPause = question.IsOwned || rule == RetryRule::AfterOwners;
  if (!needsPause && question.AttemptsMade >= MaxAttempts)
    return GiveUp();
  if (!needsPause)
    return RetryNow();
  const int doublings = std::min(question.PausesMade, MaxPauses);
  const Duration pause = std::min(LongestPause, FirstPause * (1 << doublings));
  if (question.PausesMade >= MaxPauses || now + pause >= question.Deadline)
    return GiveUp();
  return RetryLater{now + pause};
}

void RetryBudget::addRequest() {
  Thousandths = std::min(MaxThousandths, Thousandths + ThousandthsPerRequest);
}

bool RetryBudget::take() {
  if (Thousandths < ThousandthsPerRetry)
    return false;
  Thousandths -= ThousandthsPerRetry;
  return true;
}

} // namespace waxwing
