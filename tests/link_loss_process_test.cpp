/**
 * @file link_loss_process_test.cpp
 * A VM notices that its links to the upstreams are cut and that they are back,
 * however they are cut.
 */
#include "stranded_vm_fixture.h"

namespace waxwing {
namespace {

constexpr std::array Cuts{LinkCut::Silent, LinkCut::Reset, LinkCut::Refused};

class LinkLossTest : public StrandedVmTest,
                     public testing::WithParamInterface<LinkCut> {
protected:
  static double linksWorking(int n) {
    return readMetric(n, "waxwing_links_working");
  }
};

/// Guards against a VM that keeps its callers waiting for upstreams that it
/// cannot reach, or stays out of use after its links are back.
TEST_P(LinkLossTest, LossAndReturnOfTheLinksAreNoticed) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  ASSERT_EQ(linksWorking(0), 1);
  strand(0, GetParam());
  const auto cutAt = std::chrono::steady_clock::now();
  // Concurrent requests, for which the kept connections do not suffice.
  std::vector<std::jthread> callers;
  callers.reserve(4);
  for (int n = 0; n < 4; ++n)
    callers.emplace_back([port = callerPort(0), n](const std::stop_token &end) {
      for (int k = 0; !end.stop_requested(); ++k) {
        sendRequest(port, "POST", "/book/x", fmt::format("c{}-{}", n, k), "");
        std::this_thread::sleep_for(milliseconds(20));
      }
    });
  EXPECT_TRUE(waitFor([] { return linksWorking(0) == 0; }));
  const auto lostAfter = std::chrono::steady_clock::now() - cutAt;
  EXPECT_LT(lostAfter, seconds(3))
      << toMilliseconds(std::chrono::duration_cast<Duration>(lostAfter));
  RecordProperty("lost_after_ms",
                 static_cast<int>(toMilliseconds(
                     std::chrono::duration_cast<Duration>(lostAfter))));
  EXPECT_EQ(linksWorking(1), 1);
  callers.clear();
  heal(0);
  EXPECT_TRUE(waitFor([] { return linksWorking(0) == 1; }));
  EXPECT_TRUE(waitUntilKeysAreServed(0));
}

INSTANTIATE_TEST_SUITE_P(Cuts, LinkLossTest, testing::ValuesIn(Cuts));

} // namespace
} // namespace waxwing
