/**
 * @file node_process_test.cpp
 * End-to-end tests of waxwing-node: routing, at-most-once execution, key
 * ownership, and loss of a node, an upstream or the store.
 */
#include "node_fixture.h"

namespace waxwing {
namespace {

TEST_F(NodeProcessTest, EveryNodeServesRequestsAndNoneRunsTwice) {
  for (int n = 0; n < NodeCount; ++n)
    ASSERT_TRUE(waitUntilKeysAreServed(n)) << "node " << n;
  for (int n = 0; n < 60; ++n) {
    EXPECT_EQ(sendKeyedRequest(n % NodeCount, n * 1000), 200);
    EXPECT_EQ(sendPlainRequest(n % NodeCount), 200);
  }
  EXPECT_EQ(sendRequest(callerPort(0), "GET", "/other/", "x", ""), 404);
  runOnPlatform([&] {
    for (const auto &upstream : Upstreams)
      for (const auto &[id, executions] : upstream->executions())
        EXPECT_EQ(executions, 1) << id;
  });
}

TEST_F(NodeProcessTest, KeysAreServedAfterTheLeaderIsKilled) {
  for (int n = 0; n < NodeCount; ++n)
    ASSERT_TRUE(waitUntilKeysAreServed(n));
  // Kills and restarts each node in turn, so that the leader is among them.
  for (int n = 0; n < NodeCount; ++n) {
    Nodes[n]->signal(SIGKILL);
    EXPECT_TRUE(waitUntilKeysAreServed((n + 1) % NodeCount));
    startNode(n);
    EXPECT_TRUE(waitUntilKeysAreServed(n));
  }
}

/// Pattern: all processes are killed at the same moment, the leader among them.
TEST_F(NodeProcessTest, KilledLeaderSucceedsItselfBeforeItsLeaseExpires) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  const auto leaderTerm = [&] {
    std::uint64_t term = 0;
    runOnPlatform([&] { term = Store->revisionOf("waxwing/leader"); });
    return term;
  };
  const std::uint64_t before = leaderTerm();
  ASSERT_NE(before, 0U);
  runOnPlatform([&] { Store->setExpiringLeases(false); });
  for (int n = 0; n < NodeCount; ++n)
    Nodes[n]->signal(SIGKILL);
  for (int n = 0; n < NodeCount; ++n)
    startNode(n);
  // The lease of the former leader never expires, so only that VM can lead.
  EXPECT_TRUE(waitUntilKeysAreServed(0));
  EXPECT_GT(leaderTerm(), before);
}

TEST_F(NodeProcessTest, KeysStayServedWhileTheStoreIsDown) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  std::this_thread::sleep_for(seconds(2));
  runOnPlatform([&] { Store->setDown(true); });
  for (int n = 0; n < 30; ++n) {
    EXPECT_EQ(sendKeyedRequest(0, n * 2000), 200);
    EXPECT_EQ(sendPlainRequest(0), 200);
    std::this_thread::sleep_for(milliseconds(150));
  }
  runOnPlatform([&] { Store->setDown(false); });
  EXPECT_TRUE(waitUntilKeysAreServed(1));
}

TEST_F(NodeProcessTest, KeysOfADrainingUpstreamMoveToOthers) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  runOnPlatform([&] { Store->put("servers/i-0", Upstreams[0]->entry(true)); });
  EXPECT_TRUE(waitFor([&] {
    bool isHolding = false;
    runOnPlatform([&] {
      for (int key = 0; key < 65536; key += 512)
        isHolding |= Upstreams[0]->ownsKey(static_cast<std::uint16_t>(key));
    });
    return !isHolding;
  }));
  EXPECT_TRUE(waitUntilKeysAreServed(0));
}

/// Pattern: entries of upstreams that ended stay listed while their addresses
/// are in use by upstreams of another service.
TEST_F(NodeProcessTest, AddressUsedByAnotherServiceIsTriedOnlyOnce) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  runOnPlatform([&] {
    for (const int n : {0, 1, 2}) {
      StandinUpstreamSettings ended;
      ended.Id = "i-ended-" + std::to_string(n);
      ended.Service = "plain";
      ended.Domain = "d0";
      ended.Address = address(1 + n); // upstream i-N of service "divided"
      Store->put("servers/" + ended.Id,
                 makeStandinUpstreamEntry(ended, 1, false));
    }
  });
  std::this_thread::sleep_for(seconds(1));
  for (int n = 0; n < 40; ++n)
    EXPECT_EQ(sendPlainRequest(0), 200);
  runOnPlatform([&] {
    int arrivals = 0;
    for (const int n : {0, 1, 2}) {
      EXPECT_LE(Upstreams[n]->misdirectedRequests(), 1) << n;
      arrivals += Upstreams[n]->misdirectedRequests();
    }
    EXPECT_GT(arrivals, 0);
  });
}

TEST_F(NodeProcessTest, DrainingNodeStillServesRequests) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  Nodes[0]->signal(SIGTERM);
  EXPECT_TRUE(waitFor(
      [&] { return sendRequest(readyPort(0), "GET", "/", "", "") == 503; }));
  for (int n = 0; n < 10; ++n)
    EXPECT_EQ(sendPlainRequest(0), 200);
}

} // namespace
} // namespace waxwing
