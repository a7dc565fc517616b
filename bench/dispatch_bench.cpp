/**
 * @file dispatch_bench.cpp
 * Queue model of 9 routers and one service: compares the production dispatcher,
 * in which each upstream has one home (the router that holds the lease on the
 * upstream's slots), with other policies of sharing the slots between the
 * routers. Prints tables, without pass or fail.
 */
#include "../tests/dispatch_fleet.h"

#include <fmt/format.h>
#include <iostream>

namespace waxwing {
namespace {

/// Size of a service's deployment.
struct Deployment {
  const char *Name;
  int Upstreams;
  int Slots;    ///< slots of each upstream
  bool IsKeyed; ///< each key is owned by one upstream
};

constexpr std::array Deployments{
    Deployment{"dakar 8x4", 8, 4, false},
    Deployment{"dakar keyed 13x4", 13, 4, true},
    Deployment{"pl-centrum 9x3", 9, 3, false},
    Deployment{"pl-centrum keyed 17x3", 17, 3, true},
};

struct PolicyRow {
  FleetPolicy Policy;
  const char *Name;
};

constexpr std::array Policies{
    PolicyRow{FleetPolicy::Home, "one home"},
    PolicyRow{FleetPolicy::StaticShares, "static shares"},
    PolicyRow{FleetPolicy::CreditServer, "lent credits"},
    PolicyRow{FleetPolicy::RoundRobin, "round robin"},
    PolicyRow{FleetPolicy::LeastConnections, "least connections"},
};

double toMilliseconds(Duration span) {
  return static_cast<double>(span.count()) / 1000;
}

FleetOptions makeOptions(const Deployment &deployment, FleetPolicy policy) {
  FleetOptions options;
  options.Policy = policy;
  options.Upstreams = deployment.Upstreams;
  options.Slots = deployment.Slots;
  options.IsKeyed = deployment.IsKeyed;
  return options;
}

/// @return requests per second that all warm upstreams serve together
double capacityPerSecond(const FleetOptions &options) {
  return options.Upstreams * options.Slots * 1e6 /
         static_cast<double>(options.ServiceTime.count());
}

/// Starts the fleet, warms up the upstreams under light load, and resets the
/// statistics.
void warmUp(DispatchFleet &fleet, double rate) {
  fleet.run(seconds(1));
  fleet.load("paying", rate / 8, fleet.Now + seconds(4));
  fleet.run(seconds(5));
  fleet.Results.clear();
  for (FleetUpstream &it : fleet.Upstreams)
    it.Served = it.PeakRequests = 0;
  fleet.Messages = 0;
}

void printRow(const Deployment &deployment, const char *policy,
              DispatchFleet &fleet, int peakLoadWhileCold) {
  FleetResult &paying = fleet.Results["paying"];
  int peak = 0;
  for (const FleetUpstream &it : fleet.Upstreams)
    peak = std::max(peak, it.PeakRequests);
  std::cout << fmt::format(
      "{:<22} {:<18} {:>6.2f} {:>7.1f} {:>7.1f} {:>7.1f} {:>8.2f} {:>5} {:>9} "
      "{:>9.2f}\n",
      deployment.Name, policy, fleet.imbalance(),
      toMilliseconds(paying.quantile(0.5)),
      toMilliseconds(paying.quantile(0.99)),
      toMilliseconds(paying.quantile(0.999)), 100 * paying.success(), peak,
      peakLoadWhileCold,
      static_cast<double>(fleet.Messages) / std::max(1, paying.Sent));
}

void printHeader(const char *title) {
  std::cout << "\n" << title << "\n";
  std::cout << fmt::format(
      "{:<22} {:<18} {:>6} {:>7} {:>7} {:>7} {:>8} {:>5} {:>9} {:>9}\n",
      "deployment", "policy", "imbal", "p50 ms", "p99 ms", "p99.9", "right %",
      "peak", "peak cold", "msgs/req");
}

/// @return the peak load of a cold upstream when all upstreams start cold
int peakLoadWhileCold(const Deployment &deployment, FleetPolicy policy) {
  const FleetOptions options = makeOptions(deployment, policy);
  DispatchFleet fleet(options);
  fleet.run(seconds(1));
  fleet.load("paying", capacityPerSecond(options) * 0.7,
             fleet.Now + seconds(1));
  fleet.run(seconds(2));
  int peak = 0;
  for (const FleetUpstream &it : fleet.Upstreams)
    peak = std::max(peak, it.PeakRequestsWhileCold);
  return peak;
}

/// Schedules five periods of 300 ms in which the upstream is 10 times slower.
void scheduleSlowdowns(DispatchFleet &fleet, int upstream) {
  for (int n = 0; n < 5; ++n)
    fleet.after(milliseconds(500 + 2000 * n + 700 * upstream),
                [&fleet, upstream] {
                  fleet.Upstreams[upstream].SlowFactor = 10;
                  fleet.after(milliseconds(300), [&fleet, upstream] {
                    fleet.Upstreams[upstream].SlowFactor = 1;
                  });
                });
}

void runPolicy(const Deployment &deployment, const PolicyRow &policy,
               double share, int slowed) {
  const FleetOptions options = makeOptions(deployment, policy.Policy);
  DispatchFleet fleet(options);
  const double rate = capacityPerSecond(options) * share;
  warmUp(fleet, rate);
  fleet.load("paying", rate, fleet.Now + seconds(10));
  for (int n = 0; n < slowed; ++n)
    scheduleSlowdowns(fleet, n);
  fleet.run(seconds(13));
  printRow(deployment, policy.Name, fleet,
           slowed > 0 ? 0 : peakLoadWhileCold(deployment, policy.Policy));
  if (policy.Policy == FleetPolicy::Home && slowed > 0)
    std::cout << fmt::format(
        "{:<22} hedges {:.2f} % of requests, latency jumps {}\n", "",
        100.0 * static_cast<double>(fleet.count(DispatchEvent::Hedged)) /
            fleet.Results["paying"].Sent,
        fleet.count(DispatchEvent::LatencyJumps));
}

void comparePolicies(double share, int slowed, const char *title) {
  printHeader(title);
  for (const Deployment &deployment : Deployments)
    for (const PolicyRow &policy : Policies) {
      const bool isBaseline = policy.Policy == FleetPolicy::RoundRobin ||
                              policy.Policy == FleetPolicy::LeastConnections;
      // A keyed request can only go to the key's owner, so policies that choose
      // an upstream don't apply.
      if (!deployment.IsKeyed || (!isBaseline && slowed == 0))
        runPolicy(deployment, policy, share, slowed);
    }
}

void runSurge(const Deployment &deployment, FleetPolicy policy,
              const char *name) {
  const FleetOptions options = makeOptions(deployment, policy);
  DispatchFleet fleet(options);
  const double rate = capacityPerSecond(options) * 0.4;
  warmUp(fleet, rate);
  fleet.load("paying", rate, fleet.Now + seconds(5));
  fleet.run(seconds(8));
  const Duration alone = fleet.Results["paying"].quantile(0.99);
  fleet.Results.clear();
  fleet.Messages = 0;
  fleet.load("paying", rate, fleet.Now + seconds(5));
  fleet.load("free", capacityPerSecond(options) * 10, fleet.Now + seconds(5));
  fleet.run(seconds(8));
  FleetResult &paying = fleet.Results["paying"];
  FleetResult &free = fleet.Results["free"];
  std::cout << fmt::format(
      "{:<22} {:<18} {:>10.1f} {:>10.1f} {:>10.3f} {:>8.2f} {:>9.2f}\n",
      deployment.Name, name, toMilliseconds(alone),
      toMilliseconds(paying.quantile(0.99)), 100 * paying.success(),
      100 * free.success(),
      static_cast<double>(fleet.Messages) / (paying.Sent + free.Sent));
}

void compareUnderSurge() {
  std::cout << "\nfree callers at ten times capacity, paying at 0.4\n";
  std::cout << fmt::format("{:<22} {:<18} {:>10} {:>10} {:>10} {:>8} {:>9}\n",
                           "deployment", "policy", "p99 alone", "p99 surge",
                           "paying %", "free %", "msgs/req");
  for (const Deployment &deployment : Deployments) {
    runSurge(deployment, FleetPolicy::Home, "one home");
    if (!deployment.IsKeyed)
      runSurge(deployment, FleetPolicy::LeastConnections, "least connections");
  }
}

} // namespace
} // namespace waxwing

int main() {
  waxwing::comparePolicies(0.7, 0, "load 0.7 of capacity");
  waxwing::comparePolicies(0.5, 0, "load 0.5 of capacity");
  waxwing::comparePolicies(
      0.5, 2,
      "load 0.5, two upstreams slowed 10 times for 300 ms, five "
      "times each");
  waxwing::compareUnderSurge();
}
