/**
 * @file worker_thread.cpp
 * Worker threads on CAF. No other file uses CAF.
 */
#include "worker/worker_thread.h"

#include <caf/all.hpp>

namespace waxwing {
namespace {

using WakeAtom = caf::atom_constant<caf::atom("wake")>;
using TickAtom = caf::atom_constant<caf::atom("dutyTick")>;
using StopAtom = caf::atom_constant<caf::atom("stop")>;

/// Detached actors run on threads of their own, so that the scheduler needs
/// only one thread.
caf::actor_system_config &
limitSchedulerThreads(caf::actor_system_config &config) {
  config.set("scheduler.max-threads", 1);
  return config;
}

caf::behavior workerBehavior(caf::event_based_actor *self, Duration period,
                             const std::function<void(WorkerCall)> &work) {
  self->delayed_send(self, period, TickAtom::value);
  return {
      [work](WakeAtom) { work(WorkerCall::Wake); },
      [self, period, work](TickAtom) {
        self->delayed_send(self, period, TickAtom::value);
        work(WorkerCall::Tick);
      },
      [self](StopAtom) { self->quit(); },
  };
}

} // namespace

class WorkerSystemImpl {
public:
  caf::actor_system_config Config;
  caf::actor_system System{limitSchedulerThreads(Config)};
};

class WorkerThreadImpl {
public:
  caf::actor_system &System;
  caf::actor Actor;
  bool IsStopped = false;
};

WorkerSystem::WorkerSystem() : Impl(std::make_unique<WorkerSystemImpl>()) {}

WorkerSystem::~WorkerSystem() = default;

WorkerThread::WorkerThread(WorkerSystem &system, Duration period,
                           std::function<void(WorkerCall)> work)
    : Impl(new WorkerThreadImpl{system.Impl->System,
                                system.Impl->System.spawn<caf::detached>(
                                    workerBehavior, period, std::move(work))}) {
}

WorkerThread::~WorkerThread() { stop(); }

void WorkerThread::wake() { caf::anon_send(Impl->Actor, WakeAtom::value); }

void WorkerThread::stop() {
  if (std::exchange(Impl->IsStopped, true))
    return;
  caf::scoped_actor waiter{Impl->System};
  caf::anon_send(Impl->Actor, StopAtom::value);
  waiter->wait_for(Impl->Actor);
}

} // namespace waxwing
