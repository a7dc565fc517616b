/**
 * @file worker_thread.h
 * A thread that makes decisions: a detached CAF actor which sleeps until one
 * of its rings wakes it or its period is over.
 */
#ifndef WAXWING_WORKER_WORKER_THREAD_H
#define WAXWING_WORKER_WORKER_THREAD_H

#include "core/time_type.h"

#include <functional>
#include <memory>

namespace waxwing {

class WorkerSystemImpl;

/// The CAF actor system of a process; its I/O and clustering are not loaded.
class WorkerSystem {
public:
  WorkerSystem();
  ~WorkerSystem();

private:
  friend class WorkerThread;
  std::unique_ptr<WorkerSystemImpl> Impl;
};

class WorkerThreadImpl;

/// Why a duty runs.
enum class WorkerCall : std::uint8_t { Wake, Tick };

/// One decision thread.
class WorkerThread {
public:
  /// @param period distance of the Tick calls
  /// @param work called on the duty's own thread only
  WorkerThread(WorkerSystem &system, Duration period,
               std::function<void(WorkerCall)> work);
  ~WorkerThread();

  /// Arranges a Wake call; may be called from any thread.
  void wake();

  /// Ends the thread after the current call; returns when it has ended.
  void stop();

private:
  std::unique_ptr<WorkerThreadImpl> Impl;
};

} // namespace waxwing

#endif
