/**
 * @file load_main.cpp
 * standin-load: sends open-loop load through the routers and prints a report.
 */
#include "standin/load_base.h"
#include "standin/standin_func.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <numeric>
#include <sstream>

namespace waxwing {
namespace {

double toMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double correctShare(const StreamResult &result) {
  return result.Sent == 0 ? 1.0
                          : static_cast<double>(result.Correct) /
                                static_cast<double>(result.Sent);
}

void printStream(const StreamPlan &plan, const StreamResult &result) {
  const LatencySummary latency = result.Latency.summary();
  std::cout << fmt::format(
      "{:<10} sent {:>7}  right {:>7} ({:.2f} %)  wrong {}  resent {}\n"
      "           p50 {:.1f} ms  p99 {:.1f} ms  p99.9 {:.1f} ms\n",
      plan.Name, result.Sent, result.Correct, 100 * correctShare(result),
      result.Incorrect, result.Resent, toMs(latency.P50), toMs(latency.P99),
      toMs(latency.P999));
  for (const auto &[reason, count] : result.Failures)
    std::cout << fmt::format("           {:>7} {}\n", count, reason);
}

void printRecords(const RecordCheckResult &check) {
  std::cout << fmt::format(
      "upstream records read {}: executed twice {}, told \"not run\" but run "
      "{}, answered but not run {}, units with two owners {}\n",
      check.RecordsRead, check.DuplicateExecutions, check.ExecutedDespiteNotRun,
      check.LostWrites, check.OverlappingTenures);
  for (const auto &[service, counts] : check.ExecutedByService) {
    const auto sum = static_cast<double>(
        std::accumulate(counts.begin(), counts.end(), std::uint64_t{0}));
    const double mean = sum / static_cast<double>(counts.size());
    const auto most = static_cast<double>(*std::ranges::max_element(counts));
    std::cout << fmt::format(
        "{:<24} imbalance (max/mean) {:.2f}, peak load while cold {}\n",
        service, mean > 0 ? most / mean : 1.0, check.PeakWhileCold.at(service));
  }
}

bool hasPassed(const LoadRun &load, const RecordCheckResult &check) {
  const LoadPlan &plan = load.plan();
  for (std::size_t n = 0; n < plan.Streams.size(); ++n) {
    const StreamResult &result = load.result(n);
    if (result.Incorrect > 0)
      return false;
    if (plan.Streams[n].RequiresCorrectShare &&
        correctShare(result) * 1000 < plan.MinCorrectPerMille)
      return false;
  }
  return check.DuplicateExecutions + check.ExecutedDespiteNotRun +
             check.LostWrites + check.OverlappingTenures ==
         0;
}

absl::StatusOr<LoadPlan> readPlanFile(const std::string &path) {
  const std::ifstream file(path);
  if (!file)
    return absl::NotFoundError(path + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  return parseLoadPlan(text.str(), path);
}

int run(const cxxopts::ParseResult &options) {
  auto plan = readPlanFile(options["plan"].as<std::string>());
  if (!plan.ok()) {
    std::cerr << plan.status().message() << "\n";
    return static_cast<int>(ExitCode::Usage);
  }
  LoadRun load(*std::move(plan));
  load.run();
  for (std::size_t n = 0; n < load.plan().Streams.size(); ++n)
    printStream(load.plan().Streams[n], load.result(n));
  const RecordCheckResult check = load.checkRecords();
  printRecords(check);
  const bool isPassed = hasPassed(load, check);
  std::cout << (isPassed ? "RIGHT\n" : "WRONG\n");
  return static_cast<int>(isPassed ? ExitCode::Success : ExitCode::Failure);
}

} // namespace
} // namespace waxwing

int main(int argc, char **argv) {
  return waxwing::runStandin(
      argc, argv, "standin-load", "Open-loop load through the routers.",
      [](cxxopts::Options &options) {
        options.add_options()("plan", "INI file with the load plan",
                              cxxopts::value<std::string>());
      },
      waxwing::run);
}
