/**
 * @file service_retry_budget.h
 * Limits the repeated attempts that this VM sends to a service's upstreams.
 */
#ifndef WAXWING_ROUTING_SERVICE_RETRY_BUDGET_H
#define WAXWING_ROUTING_SERVICE_RETRY_BUDGET_H

#include "routing/sliding_window_counter.h"

#include <algorithm>

namespace waxwing {

/// Limits on the attempts beyond the first one of each request, summed over all
/// VMs.
struct RetryBudgetLimits {
  Duration Window = seconds(10); ///< time window in which the limits hold
  double Ratio = 0.2;            ///< allowed repeated attempts per request
  double Burst = 50;             ///< additional repeated attempts of all VMs
};

/// This VM's share of the retry budget of one service. Invariant: in any
/// window, the repeated attempts stay below SafetyFactor times the sum of Ratio
/// times the window's requests and this VM's share of Burst.
class ServiceRetryBudget {
public:
  explicit ServiceRetryBudget(const RetryBudgetLimits &limits)
      : Limits(limits), Requests(limits.Window),
        RepeatedAttempts(limits.Window) {}

  void addRequest(Time now) { Requests.add(now); }
  /// @return true when a repeated attempt may be sent; it is then counted
  bool tryConsume(Time now, int vmCount) {
    const double allowed = SafetyFactor * (Limits.Ratio * Requests.count(now) +
                                           Limits.Burst / std::max(vmCount, 1));
    if (RepeatedAttempts.count(now) + 1 > allowed)
      return false;
    RepeatedAttempts.add(now);
    return true;
  }

  /// Counts a repeated attempt that was sent to this service without a permit.
  void addRepeatedAttempt(Time now) { RepeatedAttempts.add(now); }

private:
  /// Windows of different VMs start at different times, so their sum could
  /// exceed the limit slightly.
  static constexpr double SafetyFactor = 0.8;

  RetryBudgetLimits Limits;
  SlidingWindowCounter Requests;
  SlidingWindowCounter RepeatedAttempts;
};

} // namespace waxwing

#endif
