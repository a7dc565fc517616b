/**
 * @file controller_loss_test.cpp
 * All controllers are lost one after another under load. The load tool checks
 * the responses against the upstreams' own records.
 */
#include "support/deployment.h"

#include <chrono>
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

TEST(ControllerLoss, ControllersLostOneAfterAnotherLoseNoResponse) {
  Deployment deployment(smallSpec("e2e-controllers", 24000));
  deployment.start();
  ASSERT_TRUE(deployment.waitUntilAllServed());
  ChildProcess load =
      deployment.startLoad({{.Services = {"keyed", "plain"}}}, 6000);
  for (int vm = 1; vm <= 3; ++vm) {
    std::this_thread::sleep_for(milliseconds(800));
    deployment.killController(vm);
    std::this_thread::sleep_for(milliseconds(800));
    deployment.startController(vm);
  }
  EXPECT_EQ(load.wait(), 0) << deployment.loadReport();
}

} // namespace
} // namespace waxwing
