/**
 * @file io_thread.h
 * A thread that runs an Asio context, for tasks that do I/O.
 */
#ifndef WAXWING_NET_IO_THREAD_H
#define WAXWING_NET_IO_THREAD_H

#include "core/time_type.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace waxwing {

/// @return current time of the monotonic clock
Time readClock();

/// @return current time of this VM's system clock
WallTime readWallClock();

/// Runs the handlers of an io_context on its own thread until stopped or
/// destroyed.
class IoThread {
public:
  /// @param name thread name; cut to 15 characters, the limit of the kernel
  explicit IoThread(const std::string &name);
  ~IoThread();
  IoThread(const IoThread &) = delete;
  IoThread &operator=(const IoThread &) = delete;

  /// Runs @p task on the thread; may be called from any thread.
  void post(std::function<void()> task);

  /// Runs @p task on the thread at @p deadline.
  void runAt(Time deadline, std::function<void()> task);

  /// Runs @p task on the thread until stopped, first after @p period and then
  /// @p period after the end of each run.
  void runEvery(Duration period, std::function<void()> task);

  /// Stops the thread and waits for it; no handler runs afterwards.
  void stop();

  boost::asio::io_context &context() { return Context; }

private:
  boost::asio::io_context Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  std::thread Thread;
};

} // namespace waxwing

#endif
