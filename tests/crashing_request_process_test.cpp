/**
 * @file crashing_request_process_test.cpp
 * Requests that crash the upstreams that execute them, which arrive at one VM
 * after the other.
 */
#include "stranded_vm_fixture.h"

namespace waxwing {
namespace {

/// Crashes after which a request counts as the cause.
constexpr int CrashesToSuspect = 3;
/// Executions that are allowed once all VMs had ContactTime to learn of the
/// last of these crashes.
constexpr int MaxLateExecutions = 3;
constexpr Duration ContactTime = seconds(3);
constexpr Duration RestartDelay = milliseconds(1000);

/// What happens to the VMs while the request is repeated.
enum class VmTrouble : std::uint8_t { None, LeaderLost, StoreDown };

/// The upstreams of service "plain" end under requests with a path that
/// contains "crash", and start again.
class CrashingRequestProcessTest : public StrandedVmTest {
protected:
  void makeCrashing() {
    runOnPlatform([this] {
      for (std::size_t n = 3; n < Upstreams.size(); ++n)
        Upstreams[n]->OnExecution = [this, n](const StandinRequest &request) {
          if (request.Head.Target.find("crash") == std::string::npos)
            return;
          ++Crashes;
          Upstreams[n]->stop();
          setUpstreamRefusing(n, true);
          const auto timer =
              std::make_shared<boost::asio::steady_timer>(Loop, RestartDelay);
          timer->async_wait([this, n, timer](const auto & /*ec*/) {
            Upstreams[n]->start();
            setUpstreamRefusing(n, false);
            Store->put("servers/" + Upstreams[n]->settings().Id,
                       Upstreams[n]->entry(false));
          });
        };
    });
  }

  int sendCrashing(int node) {
    return sendRequest(callerPort(node), "POST", "/book/crash",
                       "c" + std::to_string(++LastId), "");
  }

  /// Sends the request to @p nodes in turn until it has crashed three
  /// upstreams.
  void crashThree(const std::vector<int> &nodes) {
    for (std::size_t n = 0; Crashes < CrashesToSuspect && n < 60; ++n) {
      EXPECT_NE(sendCrashing(nodes[n % nodes.size()]), 200);
      std::this_thread::sleep_for(milliseconds(200));
    }
    ASSERT_GE(Crashes, CrashesToSuspect);
  }

  /// Repeats the request after ContactTime and checks how often it is executed,
  /// and that other requests of the same caller are served.
  void expectFewExecutions(const std::vector<int> &nodes) {
    std::this_thread::sleep_for(ContactTime);
    const int before = Crashes;
    for (int n = 0; n < 30; ++n) {
      const int node = nodes[n % nodes.size()];
      EXPECT_NE(sendCrashing(node), 200);
      std::this_thread::sleep_for(milliseconds(100));
    }
    EXPECT_LE(Crashes - before, MaxLateExecutions);
    for (const int node : nodes)
      EXPECT_TRUE(waitFor([&] { return sendPlainRequest(node) == 200; }));
  }

  std::atomic<int> Crashes = 0;
};

class RepeatedCrashTest : public CrashingRequestProcessTest,
                          public testing::WithParamInterface<VmTrouble> {};

// Guards against a request that goes on crashing upstreams because each VM
// knows of the crashes under its own sends only.
TEST_P(RepeatedCrashTest, RequestIsRefusedByAllVms) {
  makeCrashing();
  for (int n = 0; n < NodeCount; ++n)
    ASSERT_TRUE(waitFor([&] { return sendPlainRequest(n) == 200; }));
  std::vector<int> nodes{0, 1, 2};
  ASSERT_TRUE(waitUntilNodesAreKnown());
  if (GetParam() == VmTrouble::StoreDown)
    runOnPlatform([this] { Store->setDown(true); });
  if (GetParam() == VmTrouble::LeaderLost) {
    ASSERT_TRUE(waitFor([] { return leader() >= 0; }));
    const int lost = leader();
    kill(Nodes[lost]->pid(), SIGKILL);
    std::erase(nodes, lost);
  }
  crashThree(nodes);
  expectFewExecutions(nodes);
}

INSTANTIATE_TEST_SUITE_P(Troubles, RepeatedCrashTest,
                         testing::Values(VmTrouble::None, VmTrouble::LeaderLost,
                                         VmTrouble::StoreDown));

// Guards against a request that goes on crashing upstreams because it comes in
// through VMs without links, on whose behalf others send it.
TEST_F(CrashingRequestProcessTest, RelayedRequestIsRefusedByAllVms) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  makeCrashing();
  const int stranded = follower();
  strand(stranded, LinkCut::Reset);
  ASSERT_TRUE(waitFor([&] { return sendPlainRequest(stranded) == 200; }));
  crashThree({stranded});
  expectFewExecutions({0, 1, 2});
}

} // namespace
} // namespace waxwing
