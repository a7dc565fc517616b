/**
 * @file dispatch_process_test.cpp
 * Homes, cold starts and failure domains in real processes. The results are
 * checked against the upstream stand-ins' own records.
 */
#include "support/deployment.h"

#include <chrono>
#include <gtest/gtest.h>
#include <sstream>
#include <thread>

namespace waxwing {
namespace {

using std::chrono::milliseconds;

constexpr int UpstreamCount = 3;

DeploymentSpec spec(const std::string &name, std::uint16_t port) {
  return {.Name = name,
          .BasePort = port,
          .Services = {{.Name = "plain",
                        .Upstreams = UpstreamCount,
                        .UpstreamOptions = {"--warm-up-ms=500"}}}};
}

/// @return the number that follows @p name at the start of a line, or -1
double readNumber(const std::string &text, const std::string &name) {
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);)
    if (line.starts_with(name + " "))
      return std::stod(line.substr(name.size() + 1));
  return -1;
}

double readRecord(Deployment &deployment, int upstream,
                  const std::string &name) {
  return readNumber(deployment.queryUpstreamAdmin("plain", upstream, "/record"),
                    name);
}

/// @return @p text with the first occurrence of @p from replaced by @p to
std::string replaceFirst(std::string text, const std::string &from,
                         const std::string &to) {
  return text.replace(text.find(from), from.size(), to);
}

TEST(DispatchProcess, ColdUpstreamsReceiveOneRequestAtATimeFromAllRouters) {
  DeploymentSpec cold = spec("dispatch-cold", 12000);
  // The upstreams stay cold until the load ends.
  cold.Services[0].UpstreamOptions = {"--warm-up-ms=60000"};
  Deployment deployment(cold);
  deployment.start();
  deployment.putDocument(
      replaceFirst(deployment.document(), "warm_up = 500", "warm_up = 60000"));
  ASSERT_TRUE(deployment.waitUntilAllServed());
  ChildProcess load = deployment.startLoad(
      {{.Rate = 900, .Services = {"plain"}}}, 3000, "min_right = 0");
  EXPECT_EQ(load.wait(), 0) << deployment.loadReport();
  double forwarded = 0;
  for (int vm = 1; vm <= 3; ++vm)
    forwarded += readNumber(deployment.routerMetrics(vm),
                            "waxwing_dispatch_forwarded_total");
  EXPECT_GT(forwarded, 0);
  for (int n = 1; n <= UpstreamCount; ++n) {
    EXPECT_GT(readRecord(deployment, n, "executed"), 0);
    EXPECT_LE(readRecord(deployment, n, "peak_while_cold"), 1);
  }
}

TEST(DispatchProcess,
     TakenOutDomainReceivesNoRequestsAndReturnsWithoutFailure) {
  Deployment deployment(spec("dispatch-domain", 12500));
  deployment.start();
  ASSERT_TRUE(deployment.waitUntilAllServed());
  std::this_thread::sleep_for(milliseconds(1500));
  ChildProcess load = deployment.startLoad(
      {{.Rate = 200, .Services = {"plain"}, .MoreSettings = "write_share = 0"}},
      6000, "min_right = 100");
  std::this_thread::sleep_for(milliseconds(1000));
  const std::string allDomainsServed = deployment.document();
  deployment.putDocument(replaceFirst(allDomainsServed,
                                      "[domain north]\ntaken_out = false",
                                      "[domain north]\ntaken_out = true"));
  std::this_thread::sleep_for(milliseconds(2000));
  const double before = readRecord(deployment, 1, "executed");
  std::this_thread::sleep_for(milliseconds(1000));
  EXPECT_EQ(readRecord(deployment, 1, "executed"), before);
  deployment.putDocument(allDomainsServed);
  EXPECT_EQ(load.wait(), 0) << deployment.loadReport();
  EXPECT_GT(readRecord(deployment, 1, "executed"), before);
  for (int n = 1; n <= UpstreamCount; ++n)
    EXPECT_LE(readRecord(deployment, n, "peak_load"), 4);
}

} // namespace
} // namespace waxwing
