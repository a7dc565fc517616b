/**
 * @file ownership_process_test.cpp
 * Exclusive ownership in real processes that are killed (SIGKILL), frozen
 * (SIGSTOP) or without the store. Guards against two owners of a unit: each
 * stand-in upstream records for which units it accepted requests, and when.
 */
#include "support/deployment.h"

#include <chrono>
#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace waxwing {
namespace {

using std::chrono::milliseconds;

/// Disables the check for a minimum share of successful responses, which would
/// fail while processes are frozen. Two owners, wrong responses and lost writes
/// still make the test fail.
constexpr const char *NoSuccessShareCheck = "min_right = 0";

void sleepMs(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

/// Deploys a service whose upstreams check orders and one whose do not.
DeploymentSpec makeSpec(const std::string &name, std::uint16_t port) {
  return {.Name = name,
          .BasePort = port,
          .Services = {{.Name = "checking", .IsDividedByKey = true},
                       {.Name = "trusting",
                        .IsDividedByKey = true,
                        .UpstreamOptions = {"--checks-orders=false"}}}};
}

/// Configures that the upstreams of service "trusting" check no orders.
void configureTrustingService(Deployment &deployment) {
  std::string text = deployment.document();
  const std::string head = "[service trusting]\n";
  const auto at = text.find(head);
  ASSERT_NE(at, std::string::npos);
  deployment.putDocument(
      text.insert(at + head.size(), "checks_orders = false\n"));
}

void freeze(ChildProcess &process, int ms) {
  process.signal(SIGSTOP);
  sleepMs(ms);
  process.signal(SIGCONT);
}

TEST(OwnershipProcesses, FrozenAndKilledProcessesCauseNoTwoOwners) {
  Deployment deployment(makeSpec("own-freeze", 10000));
  deployment.start();
  configureTrustingService(deployment);
  ASSERT_TRUE(deployment.waitUntilAllServed());
  ChildProcess load = deployment.startLoad(
      {{.Services = {"checking", "trusting"}}}, 8000, NoSuccessShareCheck);
  sleepMs(500);
  for (int vm = 1; vm <= 3; ++vm) {
    freeze(deployment.controller(vm), 1000);
    sleepMs(200);
  }
  freeze(deployment.upstream("checking", 1), 1200);
  freeze(deployment.upstream("trusting", 2), 1200);
  deployment.killUpstream("checking", 2);
  deployment.killController(1);
  sleepMs(800);
  deployment.startController(1);
  EXPECT_EQ(load.wait(), 0) << deployment.loadReport();
  EXPECT_NE(deployment.loadReport().find("units with two owners 0"),
            std::string::npos)
      << deployment.loadReport();
  // Restarted only after the check above: a restarted stand-in no longer has
  // its record of the units for which it accepted requests.
  deployment.startUpstream("checking", 2);
  EXPECT_TRUE(deployment.waitUntilAllServed());
}

TEST(OwnershipProcesses, OwnersAreServedWithoutStoreAndLeader) {
  Deployment deployment(makeSpec("own-outage", 10500));
  deployment.start();
  ASSERT_TRUE(deployment.waitUntilAllServed());
  sleepMs(1500);
  deployment.queryStoreAdmin("/fault?down=1");
  ChildProcess load = deployment.startLoad(
      {{.Services = {"checking", "trusting"}}}, 3000, NoSuccessShareCheck);
  sleepMs(1000);
  deployment.controller(1).signal(SIGKILL);
  sleepMs(1500);
  EXPECT_TRUE(deployment.waitUntilServed(2, "checking"));
  EXPECT_TRUE(deployment.waitUntilServed(3, "trusting"));
  EXPECT_EQ(load.wait(), 0) << deployment.loadReport();
  deployment.queryStoreAdmin("/fault?down=0");
}

} // namespace
} // namespace waxwing
