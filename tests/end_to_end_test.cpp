/**
 * @file end_to_end_test.cpp
 * Complete deployments of real processes that lose processes under load. The
 * load tool checks the responses against the upstreams' own records.
 */
#include "support/deployment.h"

#include <chrono>
#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace waxwing {
namespace {

using std::chrono::milliseconds;

DeploymentSpec smallSpec(const std::string &name, std::uint16_t port) {
  return {.Name = name,
          .BasePort = port,
          .Services = {{.Name = "keyed", .IsDividedByKey = true},
                       {.Name = "plain"}}};
}

/// Turns off the check for the share of correct responses, because callers of a
/// lost router receive no response. Each response received is still checked.
constexpr const char *SettingsWithoutShareCheck = "min_right = 0";

TEST(EndToEnd, LostRouterCausesNoWrongResponse) {
  Deployment deployment(smallSpec("e2e-router", 24500));
  deployment.start();
  ASSERT_TRUE(deployment.waitUntilAllServed());
  ChildProcess load = deployment.startLoad(
      {{.Services = {"keyed", "plain"}, .MoreSettings = "resend_share = 100"}},
      3000, SettingsWithoutShareCheck);
  std::this_thread::sleep_for(milliseconds(1000));
  deployment.router(2).signal(SIGKILL);
  EXPECT_EQ(load.wait(), 0) << deployment.loadReport();
}

TEST(EndToEnd, DrainedRouterAbortsNoRequest) {
  Deployment deployment(smallSpec("e2e-drain", 25000));
  deployment.start();
  ASSERT_TRUE(deployment.waitUntilAllServed());
  ChildProcess load = deployment.startLoad({{.Services = {"keyed", "plain"}}},
                                           2000, SettingsWithoutShareCheck);
  std::this_thread::sleep_for(milliseconds(800));
  ChildProcess drained = deployment.extractRouter(3);
  drained.signal(SIGTERM);
  // The successor starts with the same settings while the first router is still
  // draining.
  std::this_thread::sleep_for(milliseconds(50));
  deployment.startRouter(3);
  EXPECT_EQ(drained.wait(), 0);
  EXPECT_EQ(load.wait(), 0) << deployment.loadReport();
  EXPECT_EQ(deployment.loadReport().find("no_answer"), std::string::npos)
      << deployment.loadReport();
  EXPECT_TRUE(deployment.waitUntilServed(3, "plain"));
}

TEST(EndToEnd, OwnersAreServedDuringAStoreOutage) {
  Deployment deployment(smallSpec("e2e-store", 25500));
  deployment.start();
  ASSERT_TRUE(deployment.waitUntilAllServed());
  deployment.queryStoreAdmin("/fault?down=1");
  ChildProcess load =
      deployment.startLoad({{.Services = {"keyed", "plain"}}}, 4000);
  EXPECT_EQ(load.wait(), 0) << deployment.loadReport();
}

TEST(EndToEnd, SuspendedUpstreamResumesWithoutASecondOwner) {
  Deployment deployment(smallSpec("e2e-freeze", 26000));
  deployment.start();
  ASSERT_TRUE(deployment.waitUntilAllServed());
  ChildProcess load = deployment.startLoad({{.Services = {"keyed"}}}, 5000,
                                           SettingsWithoutShareCheck);
  std::this_thread::sleep_for(milliseconds(1000));
  deployment.upstream("keyed", 1).signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(2500));
  deployment.upstream("keyed", 1).signal(SIGCONT);
  EXPECT_EQ(load.wait(), 0) << deployment.loadReport();
}

TEST(EndToEnd, HotKeyIsSplitOffAndStaysServed) {
  Deployment deployment(
      {.Name = "e2e-hot",
       .BasePort = 26500,
       .Services = {
           {.Name = "keyed", .IsDividedByKey = true, .ServiceTimeUs = 1000}}});
  deployment.start();
  ASSERT_TRUE(deployment.waitUntilAllServed());
  ChildProcess load = deployment.startLoad(
      {{.Rate = 500,
        .Services = {"keyed"},
        .MoreSettings = "write_share = 0\nhot_keys = 1\nhot_share = 90\n"}},
      6000);
  EXPECT_EQ(load.wait(), 0) << deployment.loadReport();
  std::string records;
  for (int n = 1; n <= 3; ++n)
    records += deployment.queryUpstreamAdmin("keyed", n, "/record");
  EXPECT_NE(records.find("unit key:"), std::string::npos);
}

} // namespace
} // namespace waxwing
