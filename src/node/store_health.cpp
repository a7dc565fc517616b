/**
 * @file store_health.cpp
 * Logs each loss and recovery of the store.
 */
#include "node/store_health.h"

#include "node/node_log.h"

#include <algorithm>

namespace waxwing {

void StoreHealth::recordCall(bool hasResponse, std::string_view why, Time now) {
  const auto age =
      std::chrono::duration_cast<milliseconds>(now - LastResponseAt).count();
  if (hasResponse) {
    LastResponseAt = now;
    if (!IsUnavailable)
      return;
    IsUnavailable = false;
    RecoveredAt = now;
    logLine(LogPriority::StateChange, now, "store_regained", "after_ms={}",
            age);
  } else {
    if (IsUnavailable)
      return;
    IsUnavailable = true;
    logLine(LogPriority::StateChange, now, "store_lost",
            "last_answer_age_ms={} why={}", age, sanitizeForLog(why));
  }
  if (OnChange)
    OnChange(hasResponse);
}

void StoreHealth::recordRelayedAnswer(Time answeredAt, Time recoveredAt,
                                      Time now) {
  if (answeredAt > LastResponseAt)
    recordCall(true, "", now);
  RecoveredAt = std::max(RecoveredAt, recoveredAt);
}

} // namespace waxwing
