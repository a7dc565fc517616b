/**
 * @file main.cpp
 * Command line of waxwing-node.
 */
#include "node/node_process.h"
#include "table/node_settings.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#ifndef WAXWING_VERSION
#define WAXWING_VERSION "unknown"
#endif

namespace {

constexpr int Failure = 1;
constexpr int Usage = 2;

/// SIGHUP ends a process that does not handle it yet; a blocked one stays
/// pending.
void setReloadSignalBlocked(bool isBlocked) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(isBlocked ? SIG_BLOCK : SIG_UNBLOCK, &signals, nullptr);
}

int runWithOptions(const cxxopts::ParseResult &options) {
  const auto path = options["settings"].as<std::string>();
  const auto settings = waxwing::loadNodeSettings(path);
  if (!settings.ok()) {
    std::cerr << "waxwing-node: " << settings.status().message() << "\n";
    return Usage;
  }
  if (options.count("check-settings") > 0) {
    std::cout << path << ": settings are valid\n";
    return 0;
  }
  waxwing::NodeProcess node(path, *settings);
  setReloadSignalBlocked(false);
  if (const absl::Status status = node.run(); !status.ok()) {
    std::cerr << "waxwing-node: " << status.message() << "\n";
    return Failure;
  }
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  setReloadSignalBlocked(true);
  cxxopts::Options options(
      "waxwing-node",
      "Routes callers' requests to the upstreams that own their keys.");
  auto add = options.add_options();
  add("s,settings", "INI file with this VM's settings",
      cxxopts::value<std::string>()->default_value("waxwing-node.ini"));
  add("check-settings", "check the settings and exit");
  add("list-settings", "show all settings and exit");
  add("version", "show the version and exit");
  add("h,help", "show this help and exit");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (parsed.count("version") > 0) {
      std::cout << "waxwing-node " << WAXWING_VERSION << "\n";
      return 0;
    }
    if (parsed.count("list-settings") > 0) {
      std::cout << waxwing::describeSettings(waxwing::NodeSettingTable);
      return 0;
    }
    return runWithOptions(parsed);
  } catch (const cxxopts::exceptions::exception &error) {
    std::cerr << "waxwing-node: " << error.what() << "; see --help\n";
    return Usage;
  }
}
