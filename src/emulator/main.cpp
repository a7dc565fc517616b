/**
 * @file main.cpp
 * waxwing-emulate: simulates named load patterns, prints a table of outcomes
 * and compares it with the report of an earlier build.
 */
#include "emulator/fleet_model.h"
#include "emulator/svg_plot.h"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace waxwing {
namespace {

using Json = nlohmann::json;

std::vector<FleetScenario> makeScenarios(std::uint64_t seed) {
  FleetScenario calm;
  calm.Name = "calm";
  FleetScenario busy = calm;
  busy.Name = "busy";
  busy.Load = busy.SurgeLoad = 0.9;
  FleetScenario surge = calm;
  surge.Name = "surge_to_1.5";
  surge.SurgeLoad = 1.5;
  FleetScenario slow = calm;
  slow.Name = "fifth_slow";
  slow.SlowFraction = 0.2;
  FleetScenario slowSurge = slow;
  slowSurge.Name = "fifth_slow_surge_to_1";
  slowSurge.SurgeLoad = 1.0;
  FleetScenario fewVms = surge;
  fewVms.Name = "few_vms_surge_to_1.5";
  fewVms.Vms = 6;
  std::vector<FleetScenario> all{calm, busy, surge, slow, slowSurge, fewVms};
  for (FleetScenario &scenario : all)
    scenario.Seed = seed;
  return all;
}

Json encodeResult(const FleetResult &result) {
  Json seconds = Json::array();
  for (const FleetStatistics &second : result.Seconds)
    seconds.push_back({second.Arrived, second.WithinTarget, second.Late,
                       second.Refused, second.Failed, second.MaxQueuePerSlot});
  return seconds;
}

FleetResult decodeResult(const Json &json) {
  FleetResult result;
  for (const Json &row : json)
    result.Seconds.push_back(
        {row.at(0), row.at(1), row.at(2), row.at(3), row.at(4), row.at(5)});
  return result;
}

void printRow(const std::string &name, const std::string &build,
              const FleetResult &result) {
  const FleetStatistics sum = result.total();
  const double all = std::max(sum.Arrived, 1);
  std::cout << fmt::format(
      "{:<24} {:<8} {:>8} {:>8.3f} {:>8.3f} {:>8.3f} {:>8.3f} {:>8.2f}\n", name,
      build, sum.Arrived, sum.WithinTarget / all, sum.Late / all,
      sum.Refused / all, sum.Failed / all, sum.MaxQueuePerSlot);
}

PlotLine withinTargetLine(const std::string &name, const FleetResult &result) {
  PlotLine line{name, {}};
  for (const FleetStatistics &second : result.Seconds)
    line.Values.push_back(second.WithinTarget /
                          static_cast<double>(std::max(second.Arrived, 1)));
  return line;
}

int run(const cxxopts::ParseResult &options) {
  Json earlier;
  if (options.count("compare") > 0) {
    std::ifstream in(options["compare"].as<std::string>());
    earlier = Json::parse(in);
  }
  Json report;
  std::vector<PlotLine> lines;
  std::cout << fmt::format("{:<24} {:<8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}\n",
                           "pattern", "build", "arrived", "target", "late",
                           "refused", "failed", "queue");
  for (const FleetScenario &scenario :
       makeScenarios(options["seed"].as<std::uint64_t>())) {
    const FleetResult result = runFleet(scenario);
    report[scenario.Name] = encodeResult(result);
    if (earlier.contains(scenario.Name)) {
      const FleetResult before = decodeResult(earlier[scenario.Name]);
      printRow(scenario.Name, "earlier", before);
      lines.push_back(withinTargetLine(scenario.Name + " earlier", before));
    }
    printRow(scenario.Name, "this", result);
    lines.push_back(withinTargetLine(scenario.Name, result));
  }
  if (options.count("report") > 0)
    std::ofstream(options["report"].as<std::string>()) << report.dump() << "\n";
  if (options.count("plot") > 0)
    std::ofstream(options["plot"].as<std::string>())
        << drawPlot("share of requests answered in the target latency", lines);
  return 0;
}

} // namespace
} // namespace waxwing

int main(int argc, char **argv) {
  cxxopts::Options options("waxwing-emulate",
                           "Simulates a fleet under several load patterns.");
  options.add_options()("seed", "Seed of all patterns",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "report", "File for the result, JSON", cxxopts::value<std::string>())(
      "compare", "Report of another build", cxxopts::value<std::string>())(
      "plot", "File for a plot, SVG",
      cxxopts::value<std::string>())("help", "Prints this text");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return waxwing::run(parsed);
  } catch (const std::exception &error) {
    std::cerr << "waxwing-emulate: " << error.what() << "\n";
    return 2;
  }
}
