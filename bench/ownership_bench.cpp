/**
 * @file ownership_bench.cpp
 * Tables on exclusive ownership: unavailable time under failures for the
 * alternatives weighed, churn, imbalance, store calls, and the leader's cost
 * against shards and upstreams. Model time; see tests/ownership_world.h.
 */
#include "../tests/ownership_world.h"

#include <array>
#include <fmt/format.h>
#include <iostream>
#include <malloc.h>
#include <string_view>

namespace waxwing {
namespace {

constexpr int Seeds = 8;
constexpr ModelTime SampleStep = 2 * ModelMillisecond;
constexpr ModelTime WarmUp = 6 * ModelSecond;

WorldShape shapeOf(ConfirmationPolicy policy, std::uint64_t seed) {
  WorldShape shape;
  shape.Controllers = 9;
  shape.Upstreams = 13;
  shape.NonChecking = 0;
  shape.Domains = 4;
  shape.Shards = 64;
  shape.Parameters.DriftPpm = 10'000;
  shape.Parameters.Policy = policy;
  shape.Seed = seed;
  return shape;
}

/// Longest time without service of any key, and the mean over keys.
struct Outage {
  ModelTime Worst = 0;
  double Mean = 0;
};

/// Follows each key's time without service.
class OutageMeter {
public:
  explicit OutageMeter(World &world)
      : Model(world), Since(world.probeKeys().size(), -1),
        Longest(world.probeKeys().size(), 0) {}

  void sample() {
    for (std::size_t n = 0; n < Longest.size(); ++n) {
      if (Model.isServed(Model.probeKeys()[n])) {
        Since[n] = -1;
        continue;
      }
      if (Since[n] < 0)
        Since[n] = Model.now();
      Longest[n] = std::max(Longest[n], Model.now() - Since[n]);
    }
  }

  Outage result() const {
    Outage outage;
    for (const ModelTime length : Longest) {
      outage.Worst = std::max(outage.Worst, length);
      outage.Mean +=
          static_cast<double>(length) / static_cast<double>(Longest.size());
    }
    return outage;
  }

private:
  World &Model;
  std::vector<ModelTime> Since;
  std::vector<ModelTime> Longest;
};

struct Scenario {
  std::string_view Name;
  ModelTime Length;
  void (*Begin)(World &world);
  void (*End)(World &world); ///< after Length, or null
  ModelTime Rest;            ///< measured after End
};

void isolatePair(World &world, std::size_t controller, std::size_t upstream) {
  const std::size_t node = world.upstreamNode(upstream);
  for (std::size_t n = 0; n <= world.storeNode(); ++n) {
    if (n != node)
      world.cutBoth(controller, n);
    if (n != controller)
      world.cutBoth(node, n);
  }
}

void loseDomainOf(World &world, std::size_t node) {
  const DomainId domain = world.domainOf(node);
  for (std::size_t n = 0; n < world.storeNode(); ++n)
    if (world.domainOf(n) == domain)
      world.stop(n);
}

std::size_t leaderOf(World &world) { return world.leaderIndex().value_or(0); }

const std::array Scenarios{
    Scenario{"upstream frozen for 5 s", 5 * ModelSecond,
             [](World &w) { w.pause(w.upstreamNode(1), 5 * ModelSecond); },
             nullptr, 2 * ModelSecond},
    Scenario{"store down for 10 min", 600 * ModelSecond,
             [](World &w) { w.setStoreDown(true); },
             [](World &w) { w.setStoreDown(false); }, 2 * ModelSecond},
    Scenario{"store down + upstream frozen for 5 s", 8 * ModelSecond,
             [](World &w) {
               w.setStoreDown(true);
               w.pause(w.upstreamNode(1), 5 * ModelSecond);
             },
             [](World &w) { w.setStoreDown(false); }, 2 * ModelSecond},
    Scenario{"store down for 30 s + leader lost", 30 * ModelSecond,
             [](World &w) {
               w.setStoreDown(true);
               w.advance(ModelSecond);
               w.stop(leaderOf(w));
             },
             [](World &w) { w.setStoreDown(false); }, 4 * ModelSecond},
    Scenario{"leader lost", 5 * ModelSecond,
             [](World &w) { w.stop(leaderOf(w)); }, nullptr, 0},
    Scenario{"leader paused for 2 s", 5 * ModelSecond,
             [](World &w) { w.pause(leaderOf(w), 2 * ModelSecond); }, nullptr,
             0},
    Scenario{"leader cut off with one upstream", 5 * ModelSecond,
             [](World &w) { isolatePair(w, leaderOf(w), 2); },
             [](World &w) { w.heal(); }, 3 * ModelSecond},
    Scenario{"leader's failure domain lost", 5 * ModelSecond,
             [](World &w) { loseDomainOf(w, leaderOf(w)); }, nullptr, 0},
    Scenario{"all controllers restarted at once", 5 * ModelSecond,
             [](World &w) {
               for (std::size_t n = 0; n < w.controllers(); ++n)
                 w.startController(n);
             },
             nullptr, 0},
    Scenario{"upstream restarted", 3 * ModelSecond,
             [](World &w) { w.startUpstream(3); }, nullptr, 0},
    Scenario{"upstream leaves (planned)", 4 * ModelSecond,
             [](World &w) { w.setLeaving(1, true); }, nullptr, 0},
};

struct Measured {
  ModelTime Worst = 0;
  double Mean = 0;
  std::uint64_t TwoOwners = 0;
};

Measured measure(const Scenario &scenario, ConfirmationPolicy policy) {
  Measured sum;
  for (int seed = 1; seed <= Seeds; ++seed) {
    World world(shapeOf(policy, static_cast<std::uint64_t>(seed)));
    world.IsTwoOwnersAllowed = true;
    world.advance(WarmUp + ModelMillisecond * 13 * seed);
    OutageMeter meter(world);
    const ModelTime step =
        scenario.Length > 60 * ModelSecond ? 25 * SampleStep : SampleStep;
    scenario.Begin(world);
    world.sample(scenario.Length, step, [&] { meter.sample(); });
    if (scenario.End != nullptr)
      scenario.End(world);
    world.sample(scenario.Rest, SampleStep, [&] { meter.sample(); });
    const Outage outage = meter.result();
    sum.Worst = std::max(sum.Worst, outage.Worst);
    sum.Mean += outage.Mean / Seeds;
    sum.TwoOwners += world.TwoOwners;
  }
  return sum;
}

void printOutages() {
  std::cout << "Time without service of a key, ms: worst key of " << Seeds
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
      const Measured it = measure(scenario, policy);
      std::cout << fmt::format("{:>22}",
                               fmt::format("{}/{:.0f} 2own {}", it.Worst / 1000,
                                           it.Mean / 1000, it.TwoOwners));
    }
    std::cout << "\n" << std::flush;
  }
}

double imbalanceOf(const World &world) {
  std::size_t most = 0;
  std::size_t sum = 0;
  std::size_t usable = 0;
  for (std::size_t n = 0; n < world.upstreams(); ++n) {
    most = std::max(most, world.ownedBy(n));
    sum += world.ownedBy(n);
    usable += world.ownedBy(n) > 0 ? 1 : 0;
  }
  return static_cast<double>(most * usable) / static_cast<double>(sum);
}

void printChurn() {
  std::cout << "\nChurn (13 upstreams, 1024 shards; fair share 78.8)\n"
            << fmt::format("{:<32}{:>10}{:>24}\n", "event", "moves",
                           "imbalance (max/mean)");
  WorldShape shape = shapeOf(ConfirmationPolicy::WitnessMajority, 3);
  shape.Shards = 1024;
  World world(shape);
  const auto report = [&](std::string_view event) {
    std::cout << fmt::format("{:<32}{:>10}{:>24.3f}\n", event,
                             std::exchange(world.counts().Moves, 0),
                             imbalanceOf(world));
  };
  world.advance(WarmUp);
  report("start");
  world.stop(world.upstreamNode(4));
  world.advance(6 * ModelSecond);
  report("upstream lost");
  world.startUpstream(4);
  world.advance(12 * ModelSecond);
  report("upstream back");
  world.setLeaving(5, true);
  world.advance(6 * ModelSecond);
  report("upstream leaves");
  world.setLeaving(5, false);
  world.advance(12 * ModelSecond);
  report("upstream stays after all");
  world.reportHot(7, 5000);
  world.advance(3 * ModelSecond);
  report("key becomes hot");
  world.advance(15 * ModelSecond);
  report("key cools down");
}

void printStoreCalls() {
  std::cout << "\nStore calls of one service per second (9 controllers)\n"
            << fmt::format("{:<32}{:>10}{:>10}\n", "state", "reads", "writes");
  const auto report = [](std::string_view state, World &world,
                         ModelTime length) {
    world.counts().StoreReads = 0;
    world.counts().StoreWrites = 0;
    world.advance(length);
    const double s = static_cast<double>(length) / ModelSecond;
    std::cout << fmt::format("{:<32}{:>10.2f}{:>10.2f}\n", state,
                             static_cast<double>(world.counts().StoreReads) / s,
                             static_cast<double>(world.counts().StoreWrites) /
                                 s);
  };
  World world(shapeOf(ConfirmationPolicy::WitnessMajority, 4));
  world.advance(WarmUp);
  report("at rest, 60 s", world, 60 * ModelSecond);
  world.stop(world.upstreamNode(2));
  report("upstream lost, 5 s", world, 5 * ModelSecond);
  world.stop(leaderOf(world));
  report("leader lost, 5 s", world, 5 * ModelSecond);
  world.setStoreDown(true);
  report("store down, 60 s", world, 60 * ModelSecond);
  world.stop(world.upstreamNode(3));
  report("store down + upstream lost, 30 s", world, 30 * ModelSecond);
}

std::size_t heapBytes() { return mallinfo2().uordblks; }

void printCost(std::uint32_t shards, std::size_t upstreams,
               std::size_t controllers) {
  WorldShape shape = shapeOf(ConfirmationPolicy::WitnessMajority, 5);
  shape.Shards = shards;
  shape.Upstreams = upstreams;
  shape.Controllers = controllers;
  World world(shape);
  world.IsChecking = false;
  world.advance(WarmUp);
  world.CountsBytes = true;
  world.counts().Bytes = 0;
  world.LeaderTime = {};
  const ModelTime length = 5 * ModelSecond;
  world.advance(length);
  const double s = static_cast<double>(length) / ModelSecond;
  const double cpu =
      std::chrono::duration<double>(world.LeaderTime).count() / s;
  const std::size_t before = heapBytes();
  const OwnershipLeader copy = world.controller(leaderOf(world));
  const std::size_t heap = heapBytes() - before;
  world.stop(world.upstreamNode(1));
  world.LeaderTime = {};
  world.advance(2 * ModelSecond);
  const double loss = std::chrono::duration<double>(world.LeaderTime).count();
  std::cout << fmt::format(
      "{:>8}{:>11}{:>13}{:>14.0f}{:>12.2f}{:>14.1f}{:>12.0f}{:>14}\n", shards,
      upstreams, controllers, static_cast<double>(world.counts().Bytes) / s / 1,
      100 * cpu, static_cast<double>(heap) / 1024, 1000 * loss,
      world.stored() ? encodeRecord(*world.stored()).size() : 0);
}

void printCosts() {
  std::cout << "\nCost of the leader of one service at rest, and of losing an "
               "upstream\n"
            << fmt::format("{:>8}{:>11}{:>13}{:>14}{:>12}{:>14}{:>12}{:>14}\n",
                           "shards", "upstreams", "controllers", "bytes/s",
                           "% of core", "heap KiB", "loss CPU ms",
                           "record bytes");
  for (const std::uint32_t shards : {1024u, 4096u, 16384u, 65536u})
    printCost(shards, 13, 9);
  for (const std::size_t upstreams : {130u, 1300u})
    printCost(4096, upstreams, 9);
  printCost(65536, 1300, 9);
  for (const std::size_t controllers : {10u, 100u, 730u})
    printCost(1024, 13, controllers);
}

} // namespace
} // namespace waxwing

int main() {
  waxwing::printOutages();
  waxwing::printChurn();
  waxwing::printStoreCalls();
  waxwing::printCosts();
}
