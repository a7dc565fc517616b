/**
 * @file retry_budget_base.h
 * Limits the load that retries add.
 */
#ifndef WAXWING_TRAFFIC_RETRY_BUDGET_BASE_H
#define WAXWING_TRAFFIC_RETRY_BUDGET_BASE_H

namespace waxwing {

/// Token bucket that is refilled by requests instead of time, so that retries
/// stay a fixed fraction of the requests at any request rate.
/// Invariant: retries <= requests / 10 + 10 over the bucket's life.
class RetryBudget {
public:
  /// Adds a tenth of a retry to the budget, for one request of a caller.
  void addRequest();
  /// Takes one retry from the budget.
  /// @return false when the retry would exceed the budget
  bool take();

private:
  static constexpr int ThousandthsPerRequest = 100;
  static constexpr int ThousandthsPerRetry = 1000;
  static constexpr int MaxBalanceThousandths = 10 * ThousandthsPerRetry;

  int BalanceThousandths = MaxBalanceThousandths;
};

} // namespace waxwing

#endif
