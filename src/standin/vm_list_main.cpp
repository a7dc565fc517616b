/**
 * @file vm_list_main.cpp
 * standin-vm-list: serves the platform's list of VMs from a file, delayed by a
 * configurable lag.
 */
#include "standin/standin_func.h"

#include <deque>
#include <fstream>
#include <sstream>

namespace waxwing {
namespace {

constexpr Duration FileReadPeriod = milliseconds(100);

/// Content of the VM list file at the time ReadAt.
struct FileSnapshot {
  Time ReadAt;
  std::string Text;
};

std::string readFile(const std::string &path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int run(const cxxopts::ParseResult &options) {
  const auto path = options["file"].as<std::string>();
  const Duration lag = milliseconds(options["lag-ms"].as<int>());
  std::deque<FileSnapshot> snapshots{{Time(), readFile(path)}};
  IoThread io("vm-list");
  HttpServer server(io, {}, [&](const HttpExchange &exchange) {
    HttpResponse response = textResponse(200, snapshots.front().Text);
    response.Headers.add("Content-Type", "application/json");
    exchange.Reply(std::move(response));
  });
  io.runEvery(FileReadPeriod, [&] {
    const Time now = readClock();
    snapshots.push_back({now, readFile(path)});
    while (snapshots.size() > 1 && snapshots[1].ReadAt + lag <= now)
      snapshots.pop_front();
  });
  const absl::Status status =
      server.listen(parseEndpoint(options["listen"].as<std::string>()));
  if (!status.ok()) {
    std::cerr << status.message() << "\n";
    return static_cast<int>(ExitCode::Failure);
  }
  waitForStopSignal();
  io.stop();
  return static_cast<int>(ExitCode::Success);
}

} // namespace
} // namespace waxwing

int main(int argc, char **argv) {
  return waxwing::runStandin(
      argc, argv, "standin-vm-list", "Stand-in for the platform's VM list.",
      [](cxxopts::Options &options) {
        options.add_options()(
            "listen", "IP:port of the list",
            cxxopts::value<std::string>()->default_value("127.0.0.1:7002"))(
            "file", "JSON file with the VMs, reread every 100 ms",
            cxxopts::value<std::string>()->default_value("vms.json"))(
            "lag-ms", "age of the list served, ms",
            cxxopts::value<int>()->default_value("2000"));
      },
      waxwing::run);
}
