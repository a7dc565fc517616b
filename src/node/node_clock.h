/**
 * @file node_clock.h
 * Clock of waxwing-node: time since boot. It also advances while the VM is
 * suspended, so leases and grants that expired meanwhile count as expired.
 */
#ifndef WAXWING_NODE_NODE_CLOCK_H
#define WAXWING_NODE_NODE_CLOCK_H

#include "core/time_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace waxwing {

/// @return time since boot, including time in suspension
Time bootNow();

/// One-shot timer for the earliest of several deadlines.
class DeadlineTimer {
public:
  DeadlineTimer(boost::asio::io_context &loop, std::function<void()> onDue);
  ~DeadlineTimer() { *IsAlive = false; }
  DeadlineTimer(const DeadlineTimer &) = delete;
  DeadlineTimer &operator=(const DeadlineTimer &) = delete;

  /// Fires at @p time, or earlier if it is already scheduled for an earlier
  /// time.
  void scheduleBy(Time time);
  void cancel();

private:
  void arm();

  boost::asio::steady_timer Timer;
  std::function<void()> OnDue;
  Time DueAt = Time::max();
  /// Set to false by the destructor, so that a timer handler that is still
  /// queued does not access the destroyed timer.
  std::shared_ptr<bool> IsAlive;
};

} // namespace waxwing

#endif
