/**
 * @file router_process.h
 * Router process: threads for callers, decisions, upstreams, the controller
 * link and metrics, connected by rings.
 */
#ifndef WAXWING_ROUTER_ROUTER_PROCESS_H
#define WAXWING_ROUTER_ROUTER_PROCESS_H

#include "settings/vm_settings_base.h"

#include <absl/status/status.h>
#include <memory>

namespace waxwing {

class RouterProcessImpl;

/// The router process, running from start() to stop().
class RouterProcess {
public:
  explicit RouterProcess(VmSettings settings);
  ~RouterProcess();

  /// Opens all ports.
  /// @return Ok, or the reason why a port could not be opened
  absl::Status start();

  /// Stops accepting connections, waits for requests in flight, then stops the
  /// threads.
  void stop();

private:
  std::unique_ptr<RouterProcessImpl> Impl;
};

} // namespace waxwing

#endif
