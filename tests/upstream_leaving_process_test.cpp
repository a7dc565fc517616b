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

} // namespace
} // namespace waxwing
