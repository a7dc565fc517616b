/**
 * @file upstream_pause_process_test.cpp
 * Upstreams that refuse a request with 503 and ask for a pause.
 */
#include "scripted_upstream_fixture.h"

namespace waxwing {
namespace {

constexpr const char *PauseFields = "Not-Executed: 1\r\nRetry-After: 1.2\r\n";
constexpr Duration Pause = milliseconds(1200);
/// Requests that were sent before the refusal arrived may come later than it.
constexpr Duration CrossingTime = milliseconds(500);

/// Media upstreams that refuse requests with a path that contains "full".
class UpstreamPauseProcessTest : public ScriptedUpstreamTest {
protected:
  using SteadyTime = std::chrono::steady_clock::time_point;

  /// @param slowBy processing time of requests with a path that contains "slow"
  void addRefusing(int n, Duration slowBy = {}) {
    addScripted(n, [this, slowBy](Peer &peer) {
      for (std::string head; !(head = peer.readHead()).empty();) {
        const SteadyTime now = std::chrono::steady_clock::now();
        const bool isRefused = head.find("/full") != std::string::npos;
        {
          const std::lock_guard lock(Mutex);
          if (now > LastRefusalAt + CrossingTime && now < LastRefusalAt + Pause)
            ++EarlyRequests;
          if (isRefused)
            LastRefusalAt = now;
        }
        if (head.find("/slow") != std::string::npos)
          std::this_thread::sleep_for(slowBy);
        if (!peer.write(isRefused ? makeResponse(head, 503, PauseFields, "")
                                  : makeSuccess(head, "a")))
          return;
      }
    });
  }
  int lookUp(const std::string &path = "x") {
    return sendRequest(callerPort(0), "GET", "/lookup/" + path,
                       "l" + std::to_string(++LastId), "");
  }

  SteadyTime LastRefusalAt; ///< guarded by Mutex
  int EarlyRequests = 0;    ///< requests during a pause; guarded by Mutex
};

// Guards against requests to the only upstream of a service before the end of
// its pause, also when a response to an earlier request arrives meanwhile, and
// against callers that wait in vain.
TEST_F(UpstreamPauseProcessTest, PausedUpstreamGetsNoRequests) {
  addRefusing(0, milliseconds(300));
  waitForUpstreams();
  ASSERT_TRUE(waitFor([&] { return lookUp() == 200; }));
  auto slow = std::async(std::launch::async, [] {
    return sendRequest(callerPort(0), "GET", "/lookup/slow", "slow", "");
  });
  std::this_thread::sleep_for(milliseconds(100));
  EXPECT_EQ(lookUp("full"), 503);
  const auto refusedAt = std::chrono::steady_clock::now();
  int refusals = 0;
  while (std::chrono::steady_clock::now() < refusedAt + milliseconds(900)) {
    const auto sentAt = std::chrono::steady_clock::now();
    refusals += lookUp() == 503 ? 1 : 0;
    EXPECT_LT(std::chrono::steady_clock::now() - sentAt, milliseconds(250));
    std::this_thread::sleep_for(milliseconds(10));
  }
  EXPECT_EQ(slow.get(), 200);
  EXPECT_GT(refusals, 20);
  EXPECT_EQ(EarlyRequests, 0);
  EXPECT_TRUE(waitFor([&] { return lookUp() == 200; }));
  EXPECT_EQ(EarlyRequests, 0);
  EXPECT_EQ(readMetric(0, "waxwing_upstream_pauses_total"), 1);
}

// Guards against callers that are refused while another upstream serves.
TEST_F(UpstreamPauseProcessTest, OtherUpstreamServesMeanwhile) {
  addRefusing(0);
  addScripted(1, [](Peer &peer) {
    for (std::string head; !(head = peer.readHead()).empty();)
      if (!peer.write(makeResponse(
              head, 200, "Backend-Signature: s\r\nConnection: close\r\n", "b")))
        return;
  });
  waitForUpstreams();
  ASSERT_TRUE(waitFor([&] { return lookUp() == 200; }));
  ASSERT_TRUE(waitFor([&] {
    return lookUp("full") == 200 &&
           readMetric(0, "waxwing_upstream_pauses_total") == 1;
  }));
  for (int n = 0; n < 90; ++n) {
    EXPECT_EQ(lookUp(), 200);
    std::this_thread::sleep_for(milliseconds(10));
  }
  EXPECT_EQ(EarlyRequests, 0);
}

// Guards against requests to a paused owner of keys, and against an owner that
// loses its keys because it gets no grants.
TEST_F(NodeProcessTest, PausedOwnerGetsGrantsButNoRequests) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  constexpr int key = 0;
  int owner = -1;
  int executions = 0;
  runOnPlatform([&] {
    for (int n = 0; n < 3; ++n)
      if (Upstreams[n]->ownsKey(key))
        owner = n;
    ASSERT_GE(owner, 0);
    // Longer than a grant lasts.
    Upstreams[owner]->setRequestFields("Retry-After: 6\r\n");
    Upstreams[owner]->setShedding(true);
  });
  EXPECT_EQ(sendKeyedRequest(0, key), 503);
  const auto pausedAt = std::chrono::steady_clock::now();
  runOnPlatform([&] {
    Upstreams[owner]->setShedding(false);
    Upstreams[owner]->OnExecution = [&](const StandinRequest &) {
      ++executions;
    };
  });
  while (std::chrono::steady_clock::now() < pausedAt + milliseconds(5500)) {
    const auto sentAt = std::chrono::steady_clock::now();
    EXPECT_EQ(sendKeyedRequest(0, key), 503);
    EXPECT_LT(std::chrono::steady_clock::now() - sentAt, milliseconds(250));
    std::this_thread::sleep_for(milliseconds(50));
  }
  runOnPlatform([&] {
    EXPECT_EQ(executions, 0);
    EXPECT_TRUE(Upstreams[owner]->ownsKey(key));
  });
  EXPECT_TRUE(waitFor([&] { return sendKeyedRequest(0, key) == 200; }));
  runOnPlatform([&] {
    EXPECT_GT(executions, 0);
    Upstreams[owner]->OnExecution = nullptr;
  });
}

} // namespace
} // namespace waxwing
