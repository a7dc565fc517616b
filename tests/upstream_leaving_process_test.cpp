/**
 * @file upstream_leaving_process_test.cpp
 * Upstreams that say in their responses that they leave while their entries in
 * the store still say that they are ready.
 */
#include "scripted_upstream_fixture.h"

namespace waxwing {
namespace {

constexpr const char *LeavingField = "Server-Leaving: 1\r\n";

// Guards against requests that reach an upstream after a VM has passed on its
// announcement that it leaves, before the store shows it.
TEST_F(ScriptedUpstreamTest, LeavingUpstreamGetsNoFurtherRequests) {
  std::atomic<int> announced = 0;
  std::atomic<int> late = 0;
  std::atomic<bool> isAnnounced = false;
  std::atomic<bool> isLeaving = false;
  addScripted(0, [&](Peer &peer) {
    for (std::string head; !(head = peer.readHead()).empty();) {
      if (isAnnounced)
        ++late;
      const std::string response =
          makeResponse(head, 200,
                       std::string("Backend-Signature: s\r\n") +
                           (isLeaving ? LeavingField : ""),
                       "a");
      announced += isLeaving ? 1 : 0;
      if (!peer.write(response))
        return;
    }
  });
  addScripted(1, [&](Peer &peer) {
    for (std::string head; !(head = peer.readHead()).empty();)
      if (!peer.write(makeResponse(
              head, 200, "Backend-Signature: s\r\nConnection: close\r\n", "b")))
        return;
  });
  waitForUpstreams();
  const auto lookUp = [&] {
    return sendRequest(callerPort(0), "GET", "/lookup/x",
                       "l" + std::to_string(++LastId), "");
  };
  isLeaving = true;
  ASSERT_TRUE(waitFor([&] { return lookUp() == 200 && announced > 0; }));
  isAnnounced = true;
  for (int n = 0; n < 200; ++n)
    EXPECT_EQ(lookUp(), 200);
  EXPECT_EQ(late, 0);
  EXPECT_EQ(readMetric(0, "waxwing_upstreams_leaving_total"), 1);
}

// Guards against a refusal with the announcement that is not read.
TEST_F(ScriptedUpstreamTest, LeavingUpstreamThatRefusesGetsNoFurtherRequests) {
  std::atomic<int> refused = 0;
  addScripted(0, [&](Peer &peer) {
    for (std::string head; !(head = peer.readHead()).empty();) {
      ++refused;
      if (!peer.write(makeResponse(
              head, 503, std::string("Not-Executed: 1\r\n") + LeavingField,
              "")))
        return;
    }
  });
  addScripted(1, [&](Peer &peer) {
    for (std::string head; !(head = peer.readHead()).empty();)
      if (!peer.write(makeResponse(
              head, 200, "Backend-Signature: s\r\nConnection: close\r\n", "b")))
        return;
  });
  waitForUpstreams();
  for (int n = 0; n < 200; ++n) {
    EXPECT_EQ(sendRequest(callerPort(0), "GET", "/lookup/x",
                          "l" + std::to_string(++LastId), ""),
              200);
    std::this_thread::sleep_for(milliseconds(5));
  }
  EXPECT_EQ(refused, 1);
}

/// Owners of keys that announce that they leave.
class LeavingOwnerTest : public NodeProcessTest {
protected:
  bool holdsKeys(int n) {
    bool isHolding = false;
    runOnPlatform([&] {
      for (int key = 0; key < 65536; key += 64)
        isHolding |= Upstreams[n]->ownsKey(static_cast<std::uint16_t>(key));
    });
    return isHolding;
  }
  /// Sends requests for all keys through @p node while the owner i-0 leaves.
  void sendWhileKeysMove(int node) {
    const auto begin = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < begin + seconds(3))
      EXPECT_EQ(sendKeyedRequest(node, LastId * 8191 % 65536), 200);
    EXPECT_FALSE(holdsKeys(0));
    EXPECT_GT(readMetric(node, "waxwing_upstreams_leaving_total"), 0);
  }
};

// Guards against a leader that does not learn what another VM has read, and
// against callers that are refused while the keys of a leaving owner move.
TEST_F(LeavingOwnerTest, OwnerServesUntilTheLeaderHasMovedItsKeys) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  const int follower = readMetric(0, "waxwing_leading") == 1 ? 1 : 0;
  ASSERT_TRUE(holdsKeys(0));
  runOnPlatform([&] { Upstreams[0]->setRequestFields(LeavingField); });
  sendWhileKeysMove(follower);
}

// Guards against an announcement in the response to an order that is not read.
TEST_F(LeavingOwnerTest, ResponseToAnOrderMovesTheKeys) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  ASSERT_TRUE(holdsKeys(0));
  runOnPlatform([&] { Upstreams[0]->setOrderFields(LeavingField); });
  EXPECT_TRUE(waitFor([&] { return !holdsKeys(0); }));
  EXPECT_TRUE(waitUntilKeysAreServed(0));
}

// Guards against requests after the drain bound to an owner whose keys cannot
// be moved.
TEST_F(LeavingOwnerTest, OwnerGetsNoRequestsAfterTheDrainBound) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  constexpr int key = 0;
  int owner = -1;
  runOnPlatform([&] {
    for (int n = 0; n < 3; ++n)
      if (Upstreams[n]->ownsKey(key))
        owner = n;
  });
  ASSERT_GE(owner, 0);
  std::atomic<int> late = 0;
  std::atomic<bool> isLate = false;
  runOnPlatform([&] {
    Upstreams[owner]->setRequestFields(LeavingField);
    Upstreams[owner]->setOrderDelay(seconds(20));
    Upstreams[owner]->OnExecution = [&](const StandinRequest &) {
      late += isLate ? 1 : 0;
    };
  });
  EXPECT_EQ(sendKeyedRequest(0, key), 200);
  const auto announcedAt = std::chrono::steady_clock::now();
  EXPECT_EQ(sendKeyedRequest(0, key), 200);
  std::this_thread::sleep_until(announcedAt + seconds(2));
  isLate = true;
  while (std::chrono::steady_clock::now() < announcedAt + milliseconds(3500))
    sendKeyedRequest(0, key);
  EXPECT_EQ(late, 0);
  runOnPlatform([&] { Upstreams[owner]->OnExecution = nullptr; });
}

} // namespace
} // namespace waxwing
