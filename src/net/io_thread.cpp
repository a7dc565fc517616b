/**
 * @file io_thread.cpp
 * Thread, timers and clocks built on Asio.
 */
#include "net/io_thread.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <pthread.h>

namespace waxwing {
namespace {

std::chrono::steady_clock::time_point toSteady(Time time) {
  return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

/// Calls a task, waits for a period after its end and repeats.
struct PeriodicTask : std::enable_shared_from_this<PeriodicTask> {
  PeriodicTask(boost::asio::io_context &context, Duration period,
               std::function<void()> task)
      : Timer(context), Period(period), Task(std::move(task)) {}

  void schedule() {
    Timer.expires_after(Period);
    Timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
      if (ec)
        return;
      self->Task();
      self->schedule();
    });
  }

  boost::asio::steady_timer Timer;
  Duration Period;
  std::function<void()> Task;
};

} // namespace

Time readClock() {
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

WallTime readWallClock() {
  return WallTime(std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch()));
}

IoThread::IoThread(const std::string &name)
    : Work(Context.get_executor()), Thread([this] { Context.run(); }) {
  pthread_setname_np(Thread.native_handle(), name.substr(0, 15).c_str());
}

IoThread::~IoThread() { stop(); }

void IoThread::post(std::function<void()> task) {
  boost::asio::post(Context, std::move(task));
}

void IoThread::runAt(Time deadline, std::function<void()> task) {
  auto timer = std::make_shared<boost::asio::steady_timer>(Context);
  timer->expires_at(toSteady(deadline));
  timer->async_wait(
      [timer, task = std::move(task)](boost::system::error_code ec) {
        if (!ec)
          task();
      });
}

void IoThread::runEvery(Duration period, std::function<void()> task) {
  auto periodic =
      std::make_shared<PeriodicTask>(Context, period, std::move(task));
  post([periodic] { periodic->schedule(); });
}

void IoThread::stop() {
  Context.stop();
  if (Thread.joinable())
    Thread.join();
}

} // namespace waxwing
