/**
 * @file io_thread.h
 * One thread that runs one Asio context: a duty that does I/O.
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

/// @return this process's monotonic clock
Time readClock();

/// @return this VM's civil time
WallTime readWallClock();

/// Runs handlers on a thread of its own until destroyed.
class IoThread {
public:
  /// @param name thread name of at most 15 characters
  explicit IoThread(const std::string &name);
  ~IoThread();
  IoThread(const IoThread &) = delete;
  IoThread &operator=(const IoThread &) = delete;

  /// Runs @p task on the thread; may be called from any thread.
  void post(std::function<void()> task);

  /// Runs @p task on the thread at @p deadline.
  void runAt(Time deadline, std::function<void()> task);

  /// Runs @p task on the thread every @p period until destruction.
  void runEvery(Duration period, std::function<void()> task);

  /// Ends the thread; no handler runs after it.
  void stop();

  boost::asio::io_context &context() { return Context; }

private:
  boost::asio::io_context Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  std::thread Thread;
};

} // namespace waxwing

#endif
