/**
 * @file upstream_main.cpp
 * standin-upstream: a server that owns keys exclusively, with few slots, a
 * cold start, and faults on request.
 */
#include "standin/standin_func.h"
#include "standin/upstream_server.h"

namespace waxwing {
namespace {

UpstreamTraits readTraits(const cxxopts::ParseResult &options) {
  UpstreamTraits traits;
  traits.Id = UpstreamId(options["id"].as<std::string>());
  traits.Slots = options["slots"].as<int>();
  traits.ColdSlots = options["cold-slots"].as<int>();
  traits.QueueLimit = options["queue"].as<int>();
  traits.ServiceTime = microseconds(options["service-time-us"].as<int>());
  traits.ColdFactor = options["cold-factor"].as<int>();
  traits.WarmUp = milliseconds(options["warm-up-ms"].as<int>());
  traits.NetworkLatency = microseconds(options["latency-us"].as<int>());
  traits.ReportLag = milliseconds(options["report-lag-ms"].as<int>());
  traits.ReportPercent = options["report-percent"].as<int>();
  traits.ChecksOrders = options["checks-orders"].as<bool>();
  traits.IsDividedByKey = options["divided-by-key"].as<bool>();
  traits.CrashMarker = options["crash-marker"].as<std::string>();
  return traits;
}

int run(const cxxopts::ParseResult &options) {
  UpstreamServer server(
      readTraits(options),
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
  add("id", "team/name", cxxopts::value<std::string>());
  add("listen", "IP:port for requests and orders",
      cxxopts::value<std::string>());
  add("admin", "IP:port for /fault and /record", cxxopts::value<std::string>());
  add("slots", "requests executed at a time",
      cxxopts::value<int>()->default_value("4"));
  add("cold-slots", "the same, when just started",
      cxxopts::value<int>()->default_value("1"));
  add("queue", "requests that wait for a slot",
      cxxopts::value<int>()->default_value("16"));
  add("connections", "open connections at most",
      cxxopts::value<int>()->default_value("110"));
  add("service-time-us", "execution time of a request, us",
      cxxopts::value<int>()->default_value("5000"));
  add("cold-factor", "multiplies the execution time while cold",
      cxxopts::value<int>()->default_value("1"));
  add("warm-up-ms", "time from cold to warm, ms",
      cxxopts::value<int>()->default_value("2000"));
  add("latency-us", "network latency, one way, us",
      cxxopts::value<int>()->default_value("0"));
  add("report-lag-ms", "age of the load told, ms",
      cxxopts::value<int>()->default_value("0"));
  add("report-percent", "load told, of the true one",
      cxxopts::value<int>()->default_value("100"));
  add("checks-orders", "refuse orders with an older stamp",
      cxxopts::value<bool>()->default_value("true"));
  add("divided-by-key", "serve owned keys only",
      cxxopts::value<bool>()->default_value("false"));
  add("crash-marker", "a request whose target contains it ends the process",
      cxxopts::value<std::string>()->default_value(""));
}

} // namespace
} // namespace waxwing

int main(int argc, char **argv) {
  return waxwing::runStandin(argc, argv, "standin-upstream",
                             "Stand-in for an upstream.",
                             waxwing::declareOptions, waxwing::run);
}
