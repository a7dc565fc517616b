/**
 * @file node_clock.cpp
 * Reads CLOCK_BOOTTIME and waits with Asio's steady timer.
 */
#include "node/node_clock.h"

#include <algorithm>
#include <ctime>

namespace waxwing {

Time bootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(seconds(now.tv_sec) + std::chrono::duration_cast<Duration>(
                                        std::chrono::nanoseconds(now.tv_nsec)));
}

DeadlineTimer::DeadlineTimer(boost::asio::io_context &loop,
                             std::function<void()> onDue)
    : Timer(loop), OnDue(std::move(onDue)),
      IsAlive(std::make_shared<bool>(true)) {}

void DeadlineTimer::scheduleBy(Time time) {
  if (time >= DueAt)
    return;
  DueAt = time;
  arm();
}

void DeadlineTimer::cancel() {
  DueAt = Time::max();
  Timer.cancel();
}

void DeadlineTimer::arm() {
  Timer.expires_after(std::max(DueAt - bootNow(), Duration()));
  Timer.async_wait(
      [this, isAlive = IsAlive](const boost::system::error_code &ec) {
        if (ec || !*isAlive)
          return; // cancelled, rescheduled or destroyed
        if (bootNow() < DueAt) {
          if (DueAt != Time::max())
            arm(); // the clocks differ, or it was rescheduled
          return;
        }
        DueAt = Time::max();
        OnDue();
      });
}

} // namespace waxwing
