/**
 * @file program.cpp
 * Command line, logging and signal handling of the daemons.
 */
#include "program/program_func.h"

#include "table/vm_settings.h"

#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <iostream>
#include <optional>
#include <spdlog/spdlog.h>

#ifndef WAXWING_VERSION
#define WAXWING_VERSION "unknown"
#endif

namespace waxwing {
namespace {

sigset_t stopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

int runWithSettings(const std::string &name, const VmSettings &settings,
                    const DaemonHooks &hooks) {
  spdlog::set_level(spdlog::level::from_str(settings.Log.text("level")));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %^%l%$ " + name + " " +
                      settings.Vm.text("name") + ": %v");
  spdlog::flush_on(spdlog::level::info);
  blockStopSignals();
  if (const absl::Status status = hooks.Start(settings); !status.ok()) {
    std::cerr << name << ": " << status.message() << "\n";
    return static_cast<int>(ExitCode::Failure);
  }
  spdlog::info("started");
  waitForStopSignal();
  hooks.Stop();
  return static_cast<int>(ExitCode::Success);
}

int runWithOptions(const std::string &name, const cxxopts::ParseResult &options,
                   const DaemonHooks &hooks) {
  const auto path = options["settings"].as<std::string>();
  const auto settings = loadVmSettings(path);
  if (!settings.ok()) {
    std::cerr << name << ": " << settings.status().message() << "\n";
    return static_cast<int>(ExitCode::Usage);
  }
  if (options.count("check-settings") > 0) {
    std::cout << path << ": settings are valid\n";
    return static_cast<int>(ExitCode::Success);
  }
  return runWithSettings(name, *settings, hooks);
}

} // namespace

void blockStopSignals() {
  const sigset_t signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal() {
  const sigset_t signals = stopSignals();
  int signalNumber = 0;
  sigwait(&signals, &signalNumber);
}

int runDaemon(int argc, const char *const *argv, const std::string &name,
              const std::string &purpose, const DaemonHooks &hooks) {
  cxxopts::Options options(name, purpose);
  auto add = options.add_options();
  add("s,settings", "INI file with this VM's settings",
      cxxopts::value<std::string>()->default_value("waxwing.ini"));
  add("check-settings", "check the settings and exit");
  add("list-settings", "show all settings and exit");
  add("version", "show the version and exit");
  add("h,help", "show this help and exit");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return static_cast<int>(ExitCode::Success);
    }
    if (parsed.count("version") > 0) {
      std::cout << name << " " << WAXWING_VERSION << "\n";
      return static_cast<int>(ExitCode::Success);
    }
    if (parsed.count("list-settings") > 0) {
      std::cout << describeSettings(VmSettingTable);
      return static_cast<int>(ExitCode::Success);
    }
    return runWithOptions(name, parsed, hooks);
  } catch (const cxxopts::exceptions::exception &error) {
    std::cerr << name << ": " << error.what() << "; see --help\n";
    return static_cast<int>(ExitCode::Usage);
  }
}

} // namespace waxwing
