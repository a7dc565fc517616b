/**
 * @file service_retry_budget.h
 * This VM's part of the repeated arrivals that a service's callers grant to
 * all VMs together.
 */
#ifndef WAXWING_ROUTING_SERVICE_RETRY_BUDGET_H
#define WAXWING_ROUTING_SERVICE_RETRY_BUDGET_H

#include "routing/sliding_window_counter.h"

#include <algorithm>

namespace waxwing {

/// Bound on arrivals beyond the first of each request.
struct RetryBudgetLimits {
  Duration Window = seconds(10); ///< in which the bound holds
  double Ratio = 0.2;            ///< repeats for each request
  double Slack = 50;             ///< repeats besides, over all VMs
};

/// One service's allowance.
/// Invariant: repeats of any window stay below SafeShare of Ratio times the
/// window's requests and of this VM's part of the slack.
class ServiceRetryBudget {
public:
  explicit ServiceRetryBudget(const RetryBudgetLimits &terms)
      : Terms(terms), Requests(terms.Window), Repeats(terms.Window) {}

  void addRequest(Time now) { Requests.add(now); }
  /// @return true when a repeat may be sent; it counts as sent then
  bool tryConsume(Time now, int vmCount) {
    const double allowed = SafeShare * (Terms.Ratio * Requests.count(now) +
                                        Terms.Slack / std::max(vmCount, 1));
    if (Repeats.count(now) + 1 > allowed)
      return false;
    Repeats.add(now);
    return true;
  }

private:
  /// Windows of different VMs are cut at different moments.
  static constexpr double SafeShare = 0.8;

  RetryBudgetLimits Terms;
  SlidingWindowCounter Requests;
  SlidingWindowCounter Repeats;
};

} // namespace waxwing

#endif
