/**
 * @file ownership_process_test.cpp
 * Exclusive ownership in real processes under SIGKILL, SIGSTOP and a store
 * outage. The oracle is the upstream stand-ins' own record of which units
 * they accepted requests for, and when.
 */
#include "support/deployment.h"

#include <chrono>
#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace waxwing {
namespace {

using std::chrono::milliseconds;

/// Only two owners, wrong answers and lost writes are judged, not the share
/// of right answers while processes are frozen.
constexpr const char *ShareUnchecked = "min_right = 0";

void rest(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

/// A service whose upstreams check orders, and one whose do not.
DeploymentSpec specOf(const std::string &name, std::uint16_t port) {
  return {.Name = name,
          .BasePort = port,
          .Services = {{.Name = "checking", .IsDividedByKey = true},
                       {.Name = "trusting",
                        .IsDividedByKey = true,
                        .UpstreamOptions = {"--checks-orders=false"}}}};
}

/// Tells the system which service's upstreams check no orders.
void describeTrusting(Deployment &deployment) {
  std::string text = deployment.document();
  const std::string head = "[service trusting]\n";
  const auto at = text.find(head);
  ASSERT_NE(at, std::string::npos);
  deployment.putDocument(
      text.insert(at + head.size(), "checks_orders = false\n"));
}

void freeze(ChildProcess &process, int ms) {
  process.signal(SIGSTOP);
  rest(ms);
  process.signal(SIGCONT);
}

TEST(OwnershipProcesses, FrozenAndKilledProcessesGiveNoTwoOwners) {
  Deployment deployment(specOf("own-freeze", 10000));
  deployment.start();
  describeTrusting(deployment);
  ASSERT_TRUE(deployment.waitUntilAllServed());
  ChildProcess load = deployment.startLoad(
      {{.Services = {"checking", "trusting"}}}, 8000, ShareUnchecked);
  rest(500);
  for (int vm = 1; vm <= 3; ++vm) {
    freeze(deployment.controller(vm), 1000);
    rest(200);
  }
  freeze(deployment.upstream("checking", 1), 1200);
  freeze(deployment.upstream("trusting", 2), 1200);
  deployment.endUpstream("checking", 2);
  deployment.endController(1);
  rest(800);
  deployment.startController(1);
  EXPECT_EQ(load.wait(), 0) << deployment.loadReport();
  EXPECT_NE(deployment.loadReport().find("units with two owners 0"),
            std::string::npos)
      << deployment.loadReport();
  // Only now: a restarted stand-in has lost its record.
  deployment.startUpstream("checking", 2);
  EXPECT_TRUE(deployment.waitUntilAllServed());
}

TEST(OwnershipProcesses, OwnersAreServedWithoutStoreAndLeader) {
  Deployment deployment(specOf("own-outage", 10500));
  deployment.start();
  ASSERT_TRUE(deployment.waitUntilAllServed());
  rest(1500);
  deployment.askStore("/fault?down=1");
  ChildProcess load = deployment.startLoad(
      {{.Services = {"checking", "trusting"}}}, 3000, ShareUnchecked);
  rest(1000);
  deployment.controller(1).signal(SIGKILL);
  rest(1500);
  EXPECT_TRUE(deployment.waitUntilServed(2, "checking"));
  EXPECT_TRUE(deployment.waitUntilServed(3, "trusting"));
  EXPECT_EQ(load.wait(), 0) << deployment.loadReport();
  deployment.askStore("/fault?down=0");
}

} // namespace
} // namespace waxwing
