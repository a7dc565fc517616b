/**
 * @file hedge_budget_base.h
 * Second attempts beside slow first ones: when, and how many.
 */
#ifndef WAXWING_TRAFFIC_HEDGE_BUDGET_BASE_H
#define WAXWING_TRAFFIC_HEDGE_BUDGET_BASE_H

#include "traffic/latency_window_base.h"

#include <algorithm>

namespace waxwing {

/// Hedges of one service.
/// Invariant: hedges are at most a twentieth of the first attempts, and a
/// burst of HedgeBurst.
class HedgeBudget {
public:
  void onFirstAttempt() {
    Tokens = std::min(Tokens + 1.0 / HedgeDivisor, HedgeBurst);
  }
  void onAnswer(Duration latency) { Latency.add(latency); }

  /// @return age at which an attempt counts as slow, zero while unknown
  Duration delay() const { return Latency.p95(); }
  /// @return whether a hedge may be sent, which is then counted
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
