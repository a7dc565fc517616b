/**
 * @file upstream_limit_process_test.cpp
 * Upstreams that name in their responses how many requests a second they take
 * from all VMs together.
 */
#include "node_fixture.h"

#include <deque>

namespace waxwing {
namespace {

constexpr double Limit = 3; ///< requests/s
constexpr const char *LimitFields = "Server-Limit: 3.0\r\n";
constexpr Duration Window = seconds(4);
/// Requests that a limited upstream may get in a window.
constexpr int MaxPerWindow = static_cast<int>(1.5 * 4 * Limit + 5);
/// VMs have this time to adapt to a limit.
constexpr Duration ContactTime = seconds(3);

/// Three nodes whose callers send a steady stream of requests.
class UpstreamLimitTest : public NodeProcessTest {
protected:
  /// Numbers of requests in flight or answered, by outcome.
  struct Outcomes {
    std::atomic<int> Served = 0;
    std::atomic<int> Refused = 0;
    std::atomic<int> Other = 0;
  };

  void SetUp() override {
    NodeProcessTest::SetUp();
    runOnPlatform([this] {
      for (std::size_t n = 0; n < Upstreams.size(); ++n)
        Upstreams[n]->OnExecution = [this, n](const StandinRequest &) {
          Arrivals[n].push_back(bootNow());
        };
    });
  }
  void TearDown() override {
    runOnPlatform([this] {
      for (const auto &upstream : Upstreams)
        upstream->OnExecution = nullptr;
    });
    NodeProcessTest::TearDown();
  }

  /// Lets each node open connections to all upstreams of service "plain", which
  /// it prefers to others from then on.
  void connectNodes() {
    const auto setServiceTime = [this](Duration time) {
      runOnPlatform([&] {
        for (const std::size_t n : {3, 4, 5})
          Upstreams[n]->setServiceTime(time);
      });
    };
    setServiceTime(milliseconds(300));
    std::vector<std::future<int>> pending;
    pending.reserve(30UL * NodeCount);
    for (int n = 0; n < 30 * NodeCount; ++n)
      pending.push_back(std::async(std::launch::async, [n, this] {
        return sendRequest(callerPort(n % NodeCount), "POST", "/book/x",
                           "w" + std::to_string(n), "");
      }));
    pending.clear(); // waits
    setServiceTime(milliseconds(20));
  }

  void setLimited(std::size_t upstream, bool isLimited) {
    runOnPlatform([&] {
      Upstreams[upstream]->setRequestFields(isLimited ? LimitFields : "");
    });
  }

  /// Sends requests to @p nodes in turn, one each @p interval.
  template <class Send>
  void sendFor(Duration duration, Duration interval,
               const std::vector<int> &nodes, Outcomes &outcomes, Send send) {
    std::deque<std::future<void>> pending;
    const Time end = bootNow() + duration;
    std::size_t count = 0;
    for (Time next = bootNow(); next < end; next += interval) {
      std::this_thread::sleep_for(next - bootNow());
      const int node = nodes[count++ % nodes.size()];
      pending.push_back(std::async(std::launch::async, [&, node, count] {
        const int status = send(node, static_cast<int>(count));
        ++(status == 200   ? outcomes.Served
           : status == 503 ? outcomes.Refused
                           : outcomes.Other);
      }));
      while (pending.size() > 100)
        pending.pop_front();
    }
  }
  /// Requests for all keys, evenly.
  void sendKeysFor(Duration duration, const std::vector<int> &nodes,
                   Outcomes &outcomes) {
    sendFor(duration, milliseconds(33), nodes, outcomes,
            [this](int node, int count) {
              return sendKeyedRequest(node, count * 7919 % 65536);
            });
  }

  /// @return most executions at @p upstream in any window from @p since on
  int busiestWindow(std::size_t upstream, Time since) {
    int most = 0;
    runOnPlatform([&] {
      const auto &times = Arrivals[upstream];
      for (auto first = times.begin(); first != times.end(); ++first)
        if (*first >= since)
          most = std::max(
              most,
              static_cast<int>(std::distance(
                  first, std::ranges::lower_bound(times, *first + Window))));
    });
    return most;
  }
  int arrivalsSince(std::size_t upstream, Time since) {
    int count = 0;
    runOnPlatform([&] {
      count = static_cast<int>(std::ranges::count_if(
          Arrivals[upstream], [since](Time it) { return it >= since; }));
    });
    return count;
  }

  /// Executions at each upstream; used on the platform's thread.
  std::array<std::vector<Time>, 6> Arrivals;
};

// Guards against an owner of keys that gets more than the limit that it named
// because each VM keeps to the whole of it, against VMs that learn of its end
// never, and against keys that stay where they cannot be served.
TEST_F(UpstreamLimitTest, OwnerOfKeysGetsNoMoreThanItsLimit) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  const std::vector<int> nodes{0, 1, 2};
  Outcomes before;
  sendKeysFor(seconds(2), nodes, before);
  setLimited(0, true);
  Outcomes adapting;
  sendKeysFor(ContactTime, nodes, adapting);
  const Time limitedAt = bootNow();
  Outcomes limited;
  sendKeysFor(seconds(8), nodes, limited);
  EXPECT_LE(busiestWindow(0, limitedAt), MaxPerWindow);
  EXPECT_GT(arrivalsSince(0, limitedAt), 4);
  EXPECT_EQ(limited.Other, 0);
  // The other owners take what this one cannot.
  EXPECT_GT(limited.Served, 9 * limited.Refused);
  setLimited(0, false);
  Outcomes adaptingAgain;
  sendKeysFor(ContactTime, nodes, adaptingAgain);
  Outcomes free;
  sendKeysFor(seconds(3), nodes, free);
  EXPECT_EQ(free.Refused + free.Other, 0);
}

// Guards against a limited upstream that gets more than its limit while others
// of its service could serve, and against callers that are refused meanwhile.
TEST_F(UpstreamLimitTest, OtherUpstreamsServeBeyondTheLimit) {
  const std::vector<int> nodes{0, 1, 2};
  ASSERT_TRUE(waitFor([&] { return sendPlainRequest(0) == 200; }));
  connectNodes();
  setLimited(3, true);
  const auto send = [this](int node, int /*count*/) {
    return sendPlainRequest(node);
  };
  Outcomes adapting;
  sendFor(ContactTime, milliseconds(25), nodes, adapting, send);
  const Time limitedAt = bootNow();
  Outcomes limited;
  sendFor(seconds(8), milliseconds(25), nodes, limited, send);
  EXPECT_LE(busiestWindow(3, limitedAt), MaxPerWindow);
  EXPECT_GT(arrivalsSince(3, limitedAt), 4);
  EXPECT_EQ(limited.Refused + limited.Other, 0);
}

// Guards against limits that are kept only as long as a leader and the store
// are there to divide them.
TEST_F(UpstreamLimitTest, LimitHoldsWithoutLeaderAndStore) {
  ASSERT_TRUE(waitFor([&] { return sendPlainRequest(0) == 200; }));
  connectNodes();
  for (const std::size_t upstream : {3, 4, 5})
    setLimited(upstream, true);
  const auto send = [this](int node, int /*count*/) {
    return sendPlainRequest(node);
  };
  Outcomes adapting;
  sendFor(ContactTime, milliseconds(25), {0, 1, 2}, adapting, send);
  std::vector<int> nodes{0, 1, 2};
  ASSERT_TRUE(waitUntilNodesAreKnown());
  const auto leader = std::ranges::find_if(
      nodes, [](int n) { return readMetric(n, "waxwing_leading") == 1; });
  ASSERT_NE(leader, nodes.end());
  runOnPlatform([this] { Store->setDown(true); });
  kill(Nodes[*leader]->pid(), SIGKILL);
  nodes.erase(leader);
  const Time lostAt = bootNow();
  Outcomes lost;
  sendFor(seconds(8), milliseconds(25), nodes, lost, send);
  for (const std::size_t upstream : {3, 4, 5})
    EXPECT_LE(busiestWindow(upstream, lostAt), MaxPerWindow);
  EXPECT_GT(lost.Served, 0);
  EXPECT_EQ(lost.Other, 0);
}

// Guards against the limit of a process that has ended being kept for the next
// process of the upstream.
TEST_F(UpstreamLimitTest, NextProcessHasNamedNoLimit) {
  ASSERT_TRUE(waitFor([&] { return sendPlainRequest(0) == 200; }));
  for (const std::size_t upstream : {3, 4, 5})
    setLimited(upstream, true);
  const auto send = [this](int node, int /*count*/) {
    return sendPlainRequest(node);
  };
  Outcomes limited;
  sendFor(ContactTime, milliseconds(25), {0, 1, 2}, limited, send);
  EXPECT_GT(limited.Refused, 0);
  for (const std::size_t upstream : {3, 4, 5})
    setLimited(upstream, false);
  runOnPlatform([this] {
    for (const std::size_t n : {3, 4, 5}) {
      Upstreams[n]->stop();
      Upstreams[n]->start();
      Store->put("servers/" + Upstreams[n]->settings().Id,
                 Upstreams[n]->entry(false));
    }
  });
  std::this_thread::sleep_for(ContactTime);
  Outcomes free;
  sendFor(seconds(2), milliseconds(25), {0, 1, 2}, free, send);
  EXPECT_EQ(free.Refused + free.Other, 0);
}

} // namespace
} // namespace waxwing
