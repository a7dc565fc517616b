/**
 * @file dispatch_restart_test.cpp
 * Upstreams that restart while they have no request in flight. See
 * docs/TRAFFIC.md, "What is left".
 */
#include "support/deployment.h"

#include <chrono>
#include <gtest/gtest.h>
#include <thread>

namespace waxwing {
namespace {

using std::chrono::milliseconds;

constexpr int UpstreamCount = 3;

TEST(DispatchRestart,
     RestartedUpstreamsReceiveOneRequestAtATimeFromAllRouters) {
  Deployment deployment(
      {.Name = "dispatch-restart",
       .BasePort = 13000,
       .Services = {{.Name = "plain", .Upstreams = UpstreamCount}}});
  deployment.start();
  ASSERT_TRUE(deployment.waitUntilAllServed());
  // Non-idempotent requests are not hedged, so none is cancelled.
  ChildProcess load =
      deployment.startLoad({{.Rate = 900,
                             .Services = {"plain"},
                             .MoreSettings = "write_share = 100"}},
                           4000, "min_right = 0");
  std::this_thread::sleep_for(milliseconds(1500));
  for (int n = 1; n <= UpstreamCount; ++n)
    deployment.startUpstream("plain", n);
  load.wait();
  for (int n = 1; n <= UpstreamCount; ++n) {
    const std::string record =
        deployment.queryUpstreamAdmin("plain", n, "/record");
    const std::string name = "peak_while_cold ";
    ASSERT_NE(record.find(name), std::string::npos);
    EXPECT_LE(std::stoi(record.substr(record.find(name) + name.size())), 1);
  }
}

} // namespace
} // namespace waxwing
