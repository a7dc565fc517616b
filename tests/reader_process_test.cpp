/**
 * @file reader_process_test.cpp
 * Eight waxwing-node processes in one failure domain: two read the store for
 * the others, changes reach all in time, and the loss, pause or restart of a
 * reader costs neither a change nor brings an old one back.
 */
#include "node_fixture.h"

namespace waxwing {
namespace {

/// Bound within which a change must be in force on every VM.
constexpr Duration ApplyBound = seconds(2);

class ReaderProcessTest : public NodeProcessTest {
protected:
  static constexpr int VmCount = 8;

  void SetUp() override {
    NodeProcessTest::SetUp();
    for (int n = NodeCount; n < VmCount; ++n)
      startNode(n, "d0");
    // The fixture's nodes are in two domains; those of the second one are too
    // few to have readers.
    ASSERT_TRUE(waitFor([&] { return readers().size() >= 1; }));
    ASSERT_TRUE(waitFor([&] { return followersStopReading(); }));
  }

  std::vector<int> readers() const {
    std::vector<int> result;
    for (int n = 0; n < VmCount; ++n)
      if (readMetric(n, "waxwing_reader") == 1)
        result.push_back(n);
    return result;
  }
  /// @return true if no VM without a role calls the store for 500 ms
  bool followersStopReading() const {
    const auto calls = [] {
      std::vector<double> counts;
      for (int n = NodeCount; n < VmCount; ++n)
        counts.push_back(readMetric(n, "waxwing_store_calls_total"));
      return counts;
    };
    const auto before = calls();
    std::this_thread::sleep_for(milliseconds(500));
    const auto after = calls();
    int quiet = 0;
    for (std::size_t n = 0; n < before.size(); ++n)
      quiet += before[n] == after[n] ? 1 : 0;
    return quiet >= 3;
  }
  static std::string configWithVersion(int version) {
    std::string config = NodeConfig;
    const std::string first = "\"config_version\":\"00000001\"";
    config.replace(config.find(first), first.size(),
                   fmt::format("\"config_version\":\"{:08x}\"", version));
    return config;
  }
  /// @return true if all running VMs have the configuration within the bound
  bool isInForceInTime(int version, const std::set<int> &stopped = {}) {
    const auto end = std::chrono::steady_clock::now() + ApplyBound;
    for (;;) {
      bool isInForce = true;
      for (int n = 0; n < VmCount && isInForce; ++n)
        isInForce = stopped.contains(n) ||
                    readMetric(n, "waxwing_config_version") == version;
      if (isInForce || std::chrono::steady_clock::now() > end)
        return isInForce;
      std::this_thread::sleep_for(milliseconds(20));
    }
  }
  void putConfig(int version) {
    runOnPlatform([&] { Store->put("op/config", configWithVersion(version)); });
  }
};

TEST_F(ReaderProcessTest, ChangesReachAllVms) {
  for (int version = 2; version < 8; ++version) {
    putConfig(version);
    EXPECT_TRUE(isInForceInTime(version)) << version;
  }
}

TEST_F(ReaderProcessTest, LossOfAReaderDelaysNoChange) {
  int version = 1;
  for (int round = 0; round < 3; ++round) {
    const auto all = readers();
    ASSERT_FALSE(all.empty());
    const int victim = all.front();
    // A paused reader keeps its sockets open and answers nothing.
    const bool isPause = round % 2 == 0;
    Nodes[victim]->signal(isPause ? SIGSTOP : SIGKILL);
    putConfig(++version);
    EXPECT_TRUE(isInForceInTime(version, {victim})) << version;
    if (isPause)
      Nodes[victim]->signal(SIGCONT);
    else
      startNode(victim,
                victim < NodeCount ? fmt::format("d{}", victim % 2) : "d0");
    ASSERT_TRUE(waitFor([&] {
      return readMetric(victim, "waxwing_config_version") == version &&
             !readers().empty();
    }));
  }
}

/// Pattern: an upstream leaves while its reader is lost; nobody may use it
/// again, whatever late messages and answers say.
TEST_F(ReaderProcessTest, UpstreamThatLeftIsNotUsedAgain) {
  runOnPlatform([&] { Store->remove("servers/i-3"); });
  const auto all = readers();
  ASSERT_FALSE(all.empty());
  Nodes[all.front()]->signal(SIGSTOP);
  std::this_thread::sleep_for(ApplyBound);
  int before = 0;
  runOnPlatform([&] {
    for (const auto &[id, count] : Upstreams[3]->executions())
      before += count;
  });
  Nodes[all.front()]->signal(SIGCONT);
  for (int round = 0; round < 40; ++round)
    for (int n = 0; n < VmCount; ++n)
      if (n != all.front()) {
        EXPECT_EQ(sendPlainRequest(n), 200);
      }
  int after = 0;
  runOnPlatform([&] {
    for (const auto &[id, count] : Upstreams[3]->executions())
      after += count;
  });
  EXPECT_EQ(before, after);
}

TEST_F(ReaderProcessTest, KeysMoveOnAllVmsWithTheLeader) {
  for (int n = 0; n < VmCount; ++n)
    ASSERT_TRUE(waitUntilKeysAreServed(n)) << n;
  int leader = 0;
  while (leader < VmCount && readMetric(leader, "waxwing_leading") != 1)
    ++leader;
  ASSERT_LT(leader, VmCount);
  Nodes[leader]->signal(SIGTERM);
  runOnPlatform([&] { Store->remove("servers/i-0"); });
  std::this_thread::sleep_for(ApplyBound);
  for (int n = 0; n < VmCount; ++n)
    if (n != leader) {
      EXPECT_TRUE(waitUntilKeysAreServed(n)) << n;
    }
}

/// The shares of retries and of cold upstreams depend on the number of VMs, so
/// a new leader that knows no other VM yet must not announce that it is alone.
TEST_F(ReaderProcessTest, NewLeaderKeepsTheListOfVms) {
  int leader = 0;
  while (leader < VmCount && readMetric(leader, "waxwing_leading") != 1)
    ++leader;
  ASSERT_LT(leader, VmCount);
  ASSERT_TRUE(waitFor([&] {
    bool isKnown = true;
    for (int n = 0; n < VmCount; ++n)
      isKnown &= readMetric(n, "waxwing_vms") == VmCount;
    return isKnown;
  }));
  Nodes[leader]->signal(SIGKILL);
  const auto end = std::chrono::steady_clock::now() + seconds(5);
  while (std::chrono::steady_clock::now() < end)
    for (int n = 0; n < VmCount; ++n)
      if (n != leader) {
        ASSERT_GE(readMetric(n, "waxwing_vms"), VmCount - 1) << n;
      }
}

} // namespace
} // namespace waxwing
