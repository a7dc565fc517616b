/**
 * @file store_health.h
 * Whether the platform's store answers this VM.
 */
#ifndef WAXWING_NODE_STORE_HEALTH_H
#define WAXWING_NODE_STORE_HEALTH_H

#include "core/time_type.h"

#include <functional>
#include <string_view>

namespace waxwing {

class StoreHealth {
public:
  /// A call was answered, or got no answer or a refusal.
  void note(bool isAnswered, std::string_view why, Time now);

  bool isTroubled() const { return IsTroubled; }
  /// When the store last answered a call.
  Time answeredAt() const { return AnsweredAt; }
  /// End of the last time without answers; Time() when there was none.
  Time troubleEndedAt() const { return TroubleEndedAt; }

  /// Called when the store is lost (false) or regained (true).
  std::function<void(bool)> OnChange;

private:
  bool IsTroubled = false;
  Time AnsweredAt;
  Time TroubleEndedAt;
};

} // namespace waxwing

#endif
