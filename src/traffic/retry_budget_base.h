/**
 * @file retry_budget_base.h
 * Bounds the load that retries add.
 */
#ifndef WAXWING_TRAFFIC_RETRY_BUDGET_BASE_H
#define WAXWING_TRAFFIC_RETRY_BUDGET_BASE_H

namespace waxwing {

/// Token bucket that is filled by requests, not by time, so retries stay a
/// fraction of the requests at any rate.
/// Invariant: retries <= requests / 10 + 10 over the bucket's life.
class RetryBudget {
public:
  /// A caller's request arrived.
  void addRequest();
  /// @return false when a retry would exceed the budget
  bool take();

private:
  static constexpr int ThousandthsPerRequest = 100;
  static constexpr int ThousandthsPerRetry = 1000;
  static constexpr int MaxThousandths = 10 * ThousandthsPerRetry;

  int Thousandths = MaxThousandths;
};

} // namespace waxwing

#endif
