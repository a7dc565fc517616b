/**
 * @file program_func.h
 * Start-up and shutdown that all daemons share: command line, settings, logging
 * and signals.
 */
#ifndef WAXWING_PROGRAM_PROGRAM_FUNC_H
#define WAXWING_PROGRAM_PROGRAM_FUNC_H

#include "settings/vm_settings_base.h"

#include <absl/status/status.h>
#include <functional>
#include <string>

namespace waxwing {

/// Exit codes of the programs.
enum class ExitCode : int { Success = 0, Failure = 1, Usage = 2 };

/// Callbacks that start and stop a daemon.
struct DaemonHooks {
  /// An error ends the process with ExitCode::Failure; Stop is not called.
  std::function<absl::Status(const VmSettings &)> Start;
  std::function<void()> Stop; ///< called after SIGINT or SIGTERM
};

/// Blocks SIGINT and SIGTERM in this thread and in the threads it starts later,
/// for waitForStopSignal(); ignores SIGPIPE in the whole process.
void blockStopSignals();
/// Waits for SIGINT or SIGTERM; blockStopSignals() must have been called
/// before.
void waitForStopSignal();

/// Runs a daemon: parses the command line (--settings, --check-settings,
/// --list-settings, --version, --help), starts the daemon, waits for SIGINT or
/// SIGTERM and stops the daemon.
/// @return the process's exit code
int runDaemon(int argc, const char *const *argv, const std::string &name,
              const std::string &purpose, const DaemonHooks &hooks);

} // namespace waxwing

#endif
