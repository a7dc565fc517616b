/**
 * @file store_outage_process_test.cpp
 * Upstreams that leave while single calls to the store fail, and while the
 * store is really away.
 */
#include "node_fixture.h"

#include <array>

namespace waxwing {
namespace {

/// Bound within which an upstream without an entry gets no further requests.
constexpr Duration DrainBound = seconds(2);
/// Upstreams of service "plain".
constexpr std::array<std::size_t, 3> PlainUpstreams{3, 4, 5};

class StoreOutageTest : public NodeProcessTest {
protected:
  /// Removes the entry of upstream @p n, which goes on serving.
  /// @return requests that reach it later than the bound
  int countLateRequests(std::size_t n) {
    std::atomic<int> late = 0;
    std::atomic<bool> isLate = false;
    runOnPlatform([&] {
      Upstreams[n]->OnExecution = [&](const StandinRequest &) {
        late += isLate ? 1 : 0;
      };
      Store->remove("servers/i-" + std::to_string(n));
    });
    const auto removedAt = std::chrono::steady_clock::now();
    std::this_thread::sleep_until(removedAt + DrainBound);
    isLate = true;
    while (std::chrono::steady_clock::now() <
           removedAt + DrainBound + milliseconds(1500))
      for (int node = 0; node < NodeCount; ++node) {
        EXPECT_EQ(sendPlainRequest(node), 200);
      }
    runOnPlatform([&] { Upstreams[n]->OnExecution = nullptr; });
    return late;
  }
};

// DRAIN: each watch that the store cut counted as an outage, and the removal of
// an upstream's entry was put off until after the next one.
TEST_F(StoreOutageTest, CutWatchesDoNotPutOffARemoval) {
  runOnPlatform([&] { Store->setMaxWatchWait(milliseconds(1200)); });
  std::this_thread::sleep_for(seconds(4));
  EXPECT_EQ(countLateRequests(3), 0);
  EXPECT_EQ(countLateRequests(4), 0);
}

// Guards against removals of entries that expired only because the store was
// away: no upstream would be left until they are written again.
TEST_F(StoreOutageTest, EntriesThatExpiredInAnOutageStayInUse) {
  for (const Duration outage : {seconds(1), seconds(3)}) {
    runOnPlatform([&] { Store->setDown(true); });
    std::this_thread::sleep_for(outage);
    runOnPlatform([&] {
      for (const std::size_t n : PlainUpstreams)
        Store->remove("servers/i-" + std::to_string(n));
      Store->setDown(false);
    });
    const auto writtenAgainAt =
        std::chrono::steady_clock::now() + milliseconds(1800);
    while (std::chrono::steady_clock::now() < writtenAgainAt)
      for (int node = 0; node < NodeCount; ++node) {
        EXPECT_EQ(sendPlainRequest(node), 200);
      }
    runOnPlatform([&] {
      for (const std::size_t n : PlainUpstreams)
        Store->put("servers/i-" + std::to_string(n),
                   Upstreams[n]->entry(false));
    });
    std::this_thread::sleep_for(seconds(3));
  }
  EXPECT_GE(readMetric(0, "waxwing_store_outages_total"), 2);
}

} // namespace
} // namespace waxwing
