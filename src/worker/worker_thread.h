/**
 * @file worker_thread.h
 * Worker thread, implemented as a detached CAF actor that sleeps until it is
 * woken or its period has passed.
 */
#ifndef WAXWING_WORKER_WORKER_THREAD_H
#define WAXWING_WORKER_WORKER_THREAD_H

#include "core/time_type.h"

#include <functional>
#include <memory>

namespace waxwing {

class WorkerSystemImpl;

/// The CAF actor system of a process, without CAF's I/O and clustering.
class WorkerSystem {
public:
  WorkerSystem();
  ~WorkerSystem();

private:
  friend class WorkerThread;
  std::unique_ptr<WorkerSystemImpl> Impl;
};

class WorkerThreadImpl;

/// Why the work function is called: wake() was called, or the period passed.
enum class WorkerCall : std::uint8_t { Wake, Tick };

/// A thread that calls a work function periodically and on request.
class WorkerThread {
public:
  /// @param period time between Tick calls
  /// @param work called only on the worker's own thread
  WorkerThread(WorkerSystem &system, Duration period,
               std::function<void(WorkerCall)> work);
  ~WorkerThread();

  /// Requests a call of the work function; may be called from any thread.
  void wake();

  /// Stops the thread after the current call and waits for its end.
  void stop();

private:
  std::unique_ptr<WorkerThreadImpl> Impl;
};

} // namespace waxwing

#endif
