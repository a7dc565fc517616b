/**
 * @file controller_process.h
 * Controller process: threads for the store, links, decisions, grant orders and
 * the administration API, connected by rings.
 */
#ifndef WAXWING_CONTROLLER_CONTROLLER_PROCESS_H
#define WAXWING_CONTROLLER_CONTROLLER_PROCESS_H

#include "settings/vm_settings_base.h"

#include <absl/status/status.h>
#include <memory>

namespace waxwing {

class ControllerProcessImpl;

/// The controller process, running from start() to stop().
class ControllerProcess {
public:
  explicit ControllerProcess(VmSettings settings);
  ~ControllerProcess();

  /// Opens all ports.
  /// @return Ok, or the reason why a port could not be opened
  absl::Status start();

  /// Announces the shutdown to peers, then stops the threads.
  void stop();

private:
  std::unique_ptr<ControllerProcessImpl> Impl;
};

} // namespace waxwing

#endif
