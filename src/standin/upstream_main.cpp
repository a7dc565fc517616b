/**
 * @file upstream_main.cpp
 * standin-upstream: an upstream with exclusive key ownership, limited slots,
 * cold starts and injected faults.
 */
#include "standin/standin_func.h"
#include "standin/upstream_server.h"

namespace waxwing {
namespace {

UpstreamSettings readSettings(const cxxopts::ParseResult &options) {
  UpstreamSettings settings;
  settings.Id = UpstreamId(options["id"].as<std::string>());
  settings.Slots = options["slots"].as<int>();
  settings.ColdSlots = options["cold-slots"].as<int>();
  settings.QueueLimit = options["queue"].as<int>();
  settings.ServiceTime = microseconds(options["service-time-us"].as<int>());
  settings.ColdFactor = options["cold-factor"].as<int>();
  settings.WarmUp = milliseconds(options["warm-up-ms"].as<int>());
  settings.NetworkLatency = microseconds(options["latency-us"].as<int>());
  settings.ReportLag = milliseconds(options["report-lag-ms"].as<int>());
  settings.ReportPercent = options["report-percent"].as<int>();
  settings.RejectsOldOrders = options["checks-orders"].as<bool>();
  settings.IsDividedByKey = options["divided-by-key"].as<bool>();
  settings.CrashMarker = options["crash-marker"].as<std::string>();
  return settings;
}

int run(const cxxopts::ParseResult &options) {
  UpstreamServer server(
      readSettings(options),
      static_cast<std::size_t>(options["connections"].as<int>()));
  const absl::Status status =
      server.listen(parseEndpoint(options["listen"].as<std::string>()),
                    parseEndpoint(options["admin"].as<std::string>()));
  if (!status.ok()) {
    std::cerr << status.message() << "\n";
    return static_cast<int>(ExitCode::Failure);
  }
  waitForStopSignal();
  return static_cast<int>(ExitCode::Success);
}

void declareOptions(cxxopts::Options &options) {
  auto add = options.add_options();
  add("id", "upstream id, team/service-number", cxxopts::value<std::string>());
  add("listen", "IP:port for requests and grant orders",
      cxxopts::value<std::string>());
  add("admin", "IP:port for /fault and /record", cxxopts::value<std::string>());
  add("slots", "concurrent requests when warm",
      cxxopts::value<int>()->default_value("4"));
  add("cold-slots", "concurrent requests when cold",
      cxxopts::value<int>()->default_value("1"));
  add("queue", "most requests waiting for a slot",
      cxxopts::value<int>()->default_value("16"));
  add("connections", "most open connections",
      cxxopts::value<int>()->default_value("110"));
  add("service-time-us", "execution time of a request when warm, us",
      cxxopts::value<int>()->default_value("5000"));
  add("cold-factor", "multiplies the execution time while cold",
      cxxopts::value<int>()->default_value("1"));
  add("warm-up-ms", "time from cold to warm, ms",
      cxxopts::value<int>()->default_value("2000"));
  add("latency-us", "network latency, one way, us",
      cxxopts::value<int>()->default_value("0"));
  add("report-lag-ms", "age of the reported load, ms",
      cxxopts::value<int>()->default_value("0"));
  add("report-percent", "reported load, percent of the true load",
      cxxopts::value<int>()->default_value("100"));
  add("checks-orders", "refuse grant orders with an older stamp",
      cxxopts::value<bool>()->default_value("true"));
  add("divided-by-key", "serve only keys that this upstream owns",
      cxxopts::value<bool>()->default_value("false"));
  add("crash-marker",
      "a request whose target contains this text crashes the process",
      cxxopts::value<std::string>()->default_value(""));
}

} // namespace
} // namespace waxwing

int main(int argc, char **argv) {
  return waxwing::runStandin(argc, argv, "standin-upstream",
                             "Stand-in for an upstream.",
                             waxwing::declareOptions, waxwing::run);
}
