/**
 * @file node_clock.h
 * The clock of waxwing-node: time since boot, which also runs while the VM
 * is suspended, so a right that ended meanwhile is seen as ended.
 */
#ifndef WAXWING_NODE_NODE_CLOCK_H
#define WAXWING_NODE_NODE_CLOCK_H

#include "core/time_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace waxwing {

/// @return time since boot
Time bootNow();

/// A timer that is set to the next moment at which something is due.
class DeadlineTimer {
public:
  DeadlineTimer(boost::asio::io_context &loop, std::function<void()> onDue);
  ~DeadlineTimer() { *IsAlive = false; }
  DeadlineTimer(const DeadlineTimer &) = delete;
  DeadlineTimer &operator=(const DeadlineTimer &) = delete;

  /// Fires at @p time unless it is set to an earlier moment already.
  void scheduleBy(Time time);
  void cancel();

private:
  void arm();

  boost::asio::steady_timer Timer;
  std::function<void()> OnDue;
  Time DueAt = Time::max();
  /// False once this is destroyed: a handler may be queued by then.
  std::shared_ptr<bool> IsAlive;
};

} // namespace waxwing

#endif
