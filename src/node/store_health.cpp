/**
 * @file store_health.cpp
 * Logs each loss and recovery of the store.
 */
#include "node/store_health.h"

#include "node/node_log.h"

namespace waxwing {

void StoreHealth::note(bool isAnswered, std::string_view why, Time now) {
  const auto age =
      std::chrono::duration_cast<milliseconds>(now - AnsweredAt).count();
  if (isAnswered) {
    AnsweredAt = now;
    if (!IsTroubled)
      return;
    IsTroubled = false;
    TroubleEndedAt = now;
    logLine(LineWeight::State, now, "store_regained", "after_ms={}", age);
  } else {
    if (IsTroubled)
      return;
    IsTroubled = true;
    logLine(LineWeight::State, now, "store_lost",
            "last_answer_age_ms={} why={}", age, logSafe(why));
  }
  if (OnChange)
    OnChange(isAnswered);
}

} // namespace waxwing
