/**
 * @file hedge_budget_base.h
 * Limits hedges: second attempts started while a slow first one still runs.
 */
#ifndef WAXWING_TRAFFIC_HEDGE_BUDGET_BASE_H
#define WAXWING_TRAFFIC_HEDGE_BUDGET_BASE_H

#include "traffic/latency_window_base.h"

#include <algorithm>

namespace waxwing {

/// Decides when a request of one service may be hedged (sent a second time
/// because its attempt is slow), and limits the number of hedges.
/// Invariant: hedges never exceed a twentieth of the first attempts plus a
/// burst of HedgeBurst.
class HedgeBudget {
public:
  void onFirstAttempt() {
    Tokens = std::min(Tokens + 1.0 / HedgeDivisor, HedgeBurst);
  }
  void onAnswer(Duration latency) { Latency.add(latency); }

  /// @return age at which an attempt is slow, zero with too few samples
  Duration delay() const { return Latency.p95(); }
  /// Takes the token for one hedge.
  /// @return false when none is left
  bool spend() {
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  static constexpr double HedgeDivisor = 20;
  static constexpr double HedgeBurst = 10;

  double Tokens = 0;
  LatencyWindow Latency;
};

} // namespace waxwing

#endif
