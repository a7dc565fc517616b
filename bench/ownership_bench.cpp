/**
 * @file ownership_bench.cpp
 * Measures exclusive ownership in simulated time: outages under failures for
 * several confirmation policies, churn, imbalance, store calls, and the
 * leader's cost by number of shards and upstreams. See
 * tests/ownership_simulation.h.
 */
#include "../tests/ownership_simulation.h"

#include <array>
#include <fmt/format.h>
#include <iostream>
#include <malloc.h>
#include <string_view>

namespace waxwing {
namespace {

constexpr int SeedCount = 8;
constexpr ModelTime SampleStep = 2 * ModelMillisecond;
constexpr ModelTime WarmUpPeriod = 6 * ModelSecond;

SimulationConfig makeConfig(ConfirmationPolicy policy, std::uint64_t seed) {
  SimulationConfig config;
  config.Controllers = 9;
  config.Upstreams = 13;
  config.NonChecking = 0;
  config.Domains = 4;
  config.Shards = 64;
  config.Parameters.DriftPpm = 10'000;
  config.Parameters.Policy = policy;
  config.Seed = seed;
  return config;
}

/// Longest outage of any key, and the mean of the keys' longest outages.
struct Outage {
  ModelTime LongestOutage = 0;
  double MeanOutage = 0;
};

/// Measures the longest outage of each key by sampling.
class OutageMeter {
public:
  explicit OutageMeter(OwnershipSimulation &simulation)
      : Simulation(simulation), OutageBegin(simulation.probeKeys().size(), -1),
        Longest(simulation.probeKeys().size(), 0) {}

  void sample() {
    for (std::size_t n = 0; n < Longest.size(); ++n) {
      if (Simulation.isServed(Simulation.probeKeys()[n])) {
        OutageBegin[n] = -1;
        continue;
      }
      if (OutageBegin[n] < 0)
        OutageBegin[n] = Simulation.now();
      Longest[n] = std::max(Longest[n], Simulation.now() - OutageBegin[n]);
    }
  }

  Outage result() const {
    Outage outage;
    for (const ModelTime length : Longest) {
      outage.LongestOutage = std::max(outage.LongestOutage, length);
      outage.MeanOutage +=
          static_cast<double>(length) / static_cast<double>(Longest.size());
    }
    return outage;
  }

private:
  OwnershipSimulation &Simulation;
  std::vector<ModelTime> OutageBegin; ///< -1 while the key is served
  std::vector<ModelTime> Longest;     ///< longest outage of each key
};

/// A fault or planned change, whose effect on the keys' service is measured.
struct Scenario {
  std::string_view Name;
  ModelTime Length; ///< time from StartEvent to EndEvent
  void (*StartEvent)(OwnershipSimulation &simulation);
  /// Ends the event, Length after its start; null if the event ends by itself
  /// or never ends.
  void (*EndEvent)(OwnershipSimulation &simulation);
  ModelTime RecoveryTime; ///< outages are sampled for this time after Length
};

void isolateControllerAndUpstream(OwnershipSimulation &simulation,
                                  std::size_t controller,
                                  std::size_t upstream) {
  const std::size_t node = simulation.upstreamNode(upstream);
  for (std::size_t n = 0; n <= simulation.storeNode(); ++n) {
    if (n != node)
      simulation.cutBoth(controller, n);
    if (n != controller)
      simulation.cutBoth(node, n);
  }
}

void stopDomainOf(OwnershipSimulation &simulation, std::size_t node) {
  const DomainId domain = simulation.domainOf(node);
  for (std::size_t n = 0; n < simulation.storeNode(); ++n)
    if (simulation.domainOf(n) == domain)
      simulation.stop(n);
}

std::size_t leaderOf(OwnershipSimulation &simulation) {
  return simulation.leaderIndex().value_or(0);
}

const std::array Scenarios{
    Scenario{"upstream frozen for 5 s", 5 * ModelSecond,
             [](OwnershipSimulation &w) {
               w.pause(w.upstreamNode(1), 5 * ModelSecond);
             },
             nullptr, 2 * ModelSecond},
    Scenario{"store down for 10 min", 600 * ModelSecond,
             [](OwnershipSimulation &w) { w.setStoreDown(true); },
             [](OwnershipSimulation &w) { w.setStoreDown(false); },
             2 * ModelSecond},
    Scenario{"store down + upstream frozen for 5 s", 8 * ModelSecond,
             [](OwnershipSimulation &w) {
               w.setStoreDown(true);
               w.pause(w.upstreamNode(1), 5 * ModelSecond);
             },
             [](OwnershipSimulation &w) { w.setStoreDown(false); },
             2 * ModelSecond},
    Scenario{"store down for 30 s + leader lost", 30 * ModelSecond,
             [](OwnershipSimulation &w) {
               w.setStoreDown(true);
               w.advance(ModelSecond);
               w.stop(leaderOf(w));
             },
             [](OwnershipSimulation &w) { w.setStoreDown(false); },
             4 * ModelSecond},
    Scenario{"leader lost", 5 * ModelSecond,
             [](OwnershipSimulation &w) { w.stop(leaderOf(w)); }, nullptr, 0},
    Scenario{
        "leader paused for 2 s", 5 * ModelSecond,
        [](OwnershipSimulation &w) { w.pause(leaderOf(w), 2 * ModelSecond); },
        nullptr, 0},
    Scenario{"leader cut off with one upstream", 5 * ModelSecond,
             [](OwnershipSimulation &w) {
               isolateControllerAndUpstream(w, leaderOf(w), 2);
             },
             [](OwnershipSimulation &w) { w.heal(); }, 3 * ModelSecond},
    Scenario{"leader's failure domain lost", 5 * ModelSecond,
             [](OwnershipSimulation &w) { stopDomainOf(w, leaderOf(w)); },
             nullptr, 0},
    Scenario{"all controllers restarted at once", 5 * ModelSecond,
             [](OwnershipSimulation &w) {
               for (std::size_t n = 0; n < w.controllers(); ++n)
                 w.startController(n);
             },
             nullptr, 0},
    Scenario{"upstream restarted", 3 * ModelSecond,
             [](OwnershipSimulation &w) { w.startUpstream(3); }, nullptr, 0},
    Scenario{"upstream leaves (planned)", 4 * ModelSecond,
             [](OwnershipSimulation &w) { w.setLeaving(1, true); }, nullptr, 0},
};

/// Outages in the runs of one scenario with all seeds.
struct OutageSummary {
  ModelTime LongestOutage = 0; ///< longest outage of any key in any run
  double MeanOutage = 0;       ///< mean over the runs of Outage::MeanOutage
  std::uint64_t TwoOwnerCount = 0;
};

OutageSummary measureOutages(const Scenario &scenario,
                             ConfirmationPolicy policy) {
  OutageSummary sum;
  for (int seed = 1; seed <= SeedCount; ++seed) {
    OwnershipSimulation simulation(
        makeConfig(policy, static_cast<std::uint64_t>(seed)));
    simulation.ToleratesTwoOwners = true;
    simulation.advance(WarmUpPeriod + ModelMillisecond * 13 * seed);
    OutageMeter meter(simulation);
    const ModelTime step =
        scenario.Length > 60 * ModelSecond ? 25 * SampleStep : SampleStep;
    scenario.StartEvent(simulation);
    simulation.sample(scenario.Length, step, [&] { meter.sample(); });
    if (scenario.EndEvent != nullptr)
      scenario.EndEvent(simulation);
    simulation.sample(scenario.RecoveryTime, SampleStep,
                      [&] { meter.sample(); });
    const Outage outage = meter.result();
    sum.LongestOutage = std::max(sum.LongestOutage, outage.LongestOutage);
    sum.MeanOutage += outage.MeanOutage / SeedCount;
    sum.TwoOwnerCount += simulation.TwoOwnerCount;
  }
  return sum;
}

void printOutages() {
  std::cout << "Time without service of a key, ms: worst key of " << SeedCount
            << " seeds / mean over keys; events with two owners\n"
            << "(9 controllers, 13 upstreams, 4 failure domains, 64 shards)\n";
  std::cout << fmt::format("{:<40}{:>22}{:>22}{:>22}\n", "failure",
                           "store lease only", "witnessed (chosen)",
                           "unbounded (unsafe)");
  for (const Scenario &scenario : Scenarios) {
    std::cout << fmt::format("{:<40}", scenario.Name);
    for (const ConfirmationPolicy policy :
         {ConfirmationPolicy::StoreOnly, ConfirmationPolicy::WitnessMajority,
          ConfirmationPolicy::Unconfirmed}) {
      const OutageSummary it = measureOutages(scenario, policy);
      std::cout << fmt::format(
          "{:>22}", fmt::format("{}/{:.0f} 2own {}", it.LongestOutage / 1000,
                                it.MeanOutage / 1000, it.TwoOwnerCount));
    }
    std::cout << "\n" << std::flush;
  }
}

double imbalanceOf(const OwnershipSimulation &simulation) {
  std::size_t most = 0;
  std::size_t sum = 0;
  std::size_t usable = 0;
  for (std::size_t n = 0; n < simulation.upstreams(); ++n) {
    most = std::max(most, simulation.ownedBy(n));
    sum += simulation.ownedBy(n);
    usable += simulation.ownedBy(n) > 0 ? 1 : 0;
  }
  return static_cast<double>(most * usable) / static_cast<double>(sum);
}

void printChurn() {
  std::cout << "\nChurn (13 upstreams, 1024 shards; fair share 78.8)\n"
            << fmt::format("{:<32}{:>10}{:>24}\n", "event", "moves",
                           "imbalance (max/mean)");
  SimulationConfig config = makeConfig(ConfirmationPolicy::WitnessMajority, 3);
  config.Shards = 1024;
  OwnershipSimulation simulation(config);
  const auto report = [&](std::string_view event) {
    std::cout << fmt::format("{:<32}{:>10}{:>24.3f}\n", event,
                             std::exchange(simulation.counts().Moves, 0),
                             imbalanceOf(simulation));
  };
  simulation.advance(WarmUpPeriod);
  report("start");
  simulation.stop(simulation.upstreamNode(4));
  simulation.advance(6 * ModelSecond);
  report("upstream lost");
  simulation.startUpstream(4);
  simulation.advance(12 * ModelSecond);
  report("upstream back");
  simulation.setLeaving(5, true);
  simulation.advance(6 * ModelSecond);
  report("upstream leaves");
  simulation.setLeaving(5, false);
  simulation.advance(12 * ModelSecond);
  report("upstream stays after all");
  simulation.reportHot(7, 5000);
  simulation.advance(3 * ModelSecond);
  report("key becomes hot");
  simulation.advance(15 * ModelSecond);
  report("key cools down");
}

void printStoreCalls() {
  std::cout << "\nStore calls of one service per second (9 controllers)\n"
            << fmt::format("{:<32}{:>10}{:>10}\n", "state", "reads", "writes");
  const auto report = [](std::string_view state,
                         OwnershipSimulation &simulation, ModelTime length) {
    simulation.counts().StoreReads = 0;
    simulation.counts().StoreWrites = 0;
    simulation.advance(length);
    const double s = static_cast<double>(length) / ModelSecond;
    std::cout << fmt::format(
        "{:<32}{:>10.2f}{:>10.2f}\n", state,
        static_cast<double>(simulation.counts().StoreReads) / s,
        static_cast<double>(simulation.counts().StoreWrites) / s);
  };
  OwnershipSimulation simulation(
      makeConfig(ConfirmationPolicy::WitnessMajority, 4));
  simulation.advance(WarmUpPeriod);
  report("at rest, 60 s", simulation, 60 * ModelSecond);
  simulation.stop(simulation.upstreamNode(2));
  report("upstream lost, 5 s", simulation, 5 * ModelSecond);
  simulation.stop(leaderOf(simulation));
  report("leader lost, 5 s", simulation, 5 * ModelSecond);
  simulation.setStoreDown(true);
  report("store down, 60 s", simulation, 60 * ModelSecond);
  simulation.stop(simulation.upstreamNode(3));
  report("store down + upstream lost, 30 s", simulation, 30 * ModelSecond);
}

std::size_t heapBytes() { return mallinfo2().uordblks; }

void printLeaderCost(std::uint32_t shards, std::size_t upstreams,
                     std::size_t controllers) {
  SimulationConfig config = makeConfig(ConfirmationPolicy::WitnessMajority, 5);
  config.Shards = shards;
  config.Upstreams = upstreams;
  config.Controllers = controllers;
  OwnershipSimulation simulation(config);
  simulation.ChecksOwners = false;
  simulation.advance(WarmUpPeriod);
  simulation.CountsBytes = true;
  simulation.counts().Bytes = 0;
  simulation.LeaderTime = {};
  const ModelTime length = 5 * ModelSecond;
  simulation.advance(length);
  const double s = static_cast<double>(length) / ModelSecond;
  const double cpu =
      std::chrono::duration<double>(simulation.LeaderTime).count() / s;
  const std::size_t before = heapBytes();
  const OwnershipLeader copy = simulation.controller(leaderOf(simulation));
  const std::size_t heap = heapBytes() - before;
  simulation.stop(simulation.upstreamNode(1));
  simulation.LeaderTime = {};
  simulation.advance(2 * ModelSecond);
  const double loss =
      std::chrono::duration<double>(simulation.LeaderTime).count();
  std::cout << fmt::format(
      "{:>8}{:>11}{:>13}{:>14.0f}{:>12.2f}{:>14.1f}{:>12.0f}{:>14}\n", shards,
      upstreams, controllers,
      static_cast<double>(simulation.counts().Bytes) / s / 1, 100 * cpu,
      static_cast<double>(heap) / 1024, 1000 * loss,
      simulation.stored() ? encodeRecord(*simulation.stored()).size() : 0);
}

void printLeaderCosts() {
  std::cout << "\nCost of the leader of one service at rest, and of losing an "
               "upstream\n"
            << fmt::format("{:>8}{:>11}{:>13}{:>14}{:>12}{:>14}{:>12}{:>14}\n",
                           "shards", "upstreams", "controllers", "bytes/s",
                           "% of core", "heap KiB", "loss CPU ms",
                           "record bytes");
  for (const std::uint32_t shards : {1024u, 4096u, 16384u, 65536u})
    printLeaderCost(shards, 13, 9);
  for (const std::size_t upstreams : {130u, 1300u})
    printLeaderCost(4096, upstreams, 9);
  printLeaderCost(65536, 1300, 9);
  for (const std::size_t controllers : {10u, 100u, 730u})
    printLeaderCost(1024, 13, controllers);
}

} // namespace
} // namespace waxwing

int main() {
  waxwing::printOutages();
  waxwing::printChurn();
  waxwing::printStoreCalls();
  waxwing::printLeaderCosts();
}
