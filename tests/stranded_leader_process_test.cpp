/**
 * @file stranded_leader_process_test.cpp
 * The leader loses its links to the upstreams, while callers, the store and the
 * other VMs reach it.
 */
#include "stranded_vm_fixture.h"

#include <atomic>

namespace waxwing {
namespace {

using Clock = std::chrono::steady_clock;

/// Longest time without a served request for a part of the keys. A grant lasts
/// 4 s and is renewed each 1.2 s, so the grants sent before a cut outlast the
/// change of the leader, if that takes less than 2.8 s.
constexpr auto MaxGap = std::chrono::seconds(1);

class StrandedLeaderTest : public StrandedVmTest,
                           public testing::WithParamInterface<LinkCut> {
protected:
  static constexpr int KeyParts = 12;
  /// Concurrent callers of the leader; more than it has kept connections.
  static constexpr int LeaderCallers = 8;

  /// Sends requests for one part of the keys to @p nodes until @p end, and
  /// returns the longest time between two that were served.
  static Clock::duration measureGap(int part, const std::vector<int> &nodes,
                                    const std::stop_token &end) {
    const std::string key = std::to_string(part * 65536 / KeyParts);
    Clock::duration longest{};
    Clock::time_point last = Clock::now();
    for (int n = 0; !end.stop_requested(); ++n) {
      const int node = nodes[static_cast<std::size_t>(n) % nodes.size()];
      const bool isServed =
          sendRequest(callerPort(node), "GET", "/keys/x",
                      fmt::format("p{}-{}", part, n), key) == 200;
      const auto now = Clock::now();
      longest = std::max(longest, now - last);
      if (isServed)
        last = now;
      std::this_thread::sleep_for(milliseconds(30));
    }
    return longest;
  }

  /// Sends requests to @p node until @p end, without regard to their outcomes.
  static void keepAsking(int node, const std::string &name,
                         const std::stop_token &end) {
    for (int n = 0; !end.stop_requested(); ++n) {
      sendRequest(callerPort(node), "POST", "/book/x",
                  fmt::format("{}-{}", name, n), "");
      std::this_thread::sleep_for(milliseconds(30));
    }
  }

  static std::vector<int> othersThan(int node) {
    std::vector<int> result;
    for (int n = 0; n < NodeCount; ++n)
      if (n != node)
        result.push_back(n);
    return result;
  }
  /// Waits until one of @p nodes leads.
  static bool waitUntilOneLeads(const std::vector<int> &nodes) {
    return waitFor([&] {
      return std::ranges::any_of(
          nodes, [](int n) { return readMetric(n, "waxwing_leading") == 1; });
    });
  }
};

/// Guards against a leader that keeps its lease while its grants reach nobody,
/// so that all VMs fail all callers of divided services.
TEST_P(StrandedLeaderTest, KeysAreServedWhileTheLeaderHasNoLinks) {
  for (int n = 0; n < NodeCount; ++n)
    ASSERT_TRUE(waitUntilKeysAreServed(n));
  const int stranded = leader();
  ASSERT_GE(stranded, 0);
  const std::vector<int> others = othersThan(stranded);
  std::vector<std::future<Clock::duration>> gaps;
  std::stop_source end;
  gaps.reserve(KeyParts);
  for (int part = 0; part < KeyParts; ++part)
    gaps.push_back(std::async(std::launch::async, [&, part] {
      return measureGap(part, others, end.get_token());
    }));
  std::vector<std::jthread> callers;
  callers.reserve(LeaderCallers);
  std::this_thread::sleep_for(seconds(1));
  strand(stranded, GetParam());
  for (int n = 0; n < LeaderCallers; ++n)
    callers.emplace_back([&, n](const std::stop_token &callersEnd) {
      keepAsking(stranded, fmt::format("c{}", n), callersEnd);
    });
  const auto cutAt = Clock::now();
  const bool isReplaced = waitUntilOneLeads(others);
  RecordProperty(
      "replaced_after_ms",
      static_cast<int>(
          std::chrono::round<milliseconds>(Clock::now() - cutAt).count()));
  EXPECT_TRUE(isReplaced);
  // Long enough for every grant of the former leader to end.
  std::this_thread::sleep_until(cutAt + seconds(8));
  end.request_stop();
  callers.clear();
  Clock::duration longest{};
  for (auto &gap : gaps)
    longest = std::max(longest, gap.get());
  RecordProperty(
      "longest_gap_ms",
      static_cast<int>(std::chrono::round<milliseconds>(longest).count()));
  EXPECT_LE(longest, MaxGap);
  EXPECT_NE(leader(), stranded);
  heal(stranded);
  for (int n = 0; n < NodeCount; ++n) {
    EXPECT_TRUE(waitUntilKeysAreServed(n));
    EXPECT_TRUE(waitFor([&] { return sendPlainRequest(n) == 200; }));
    EXPECT_TRUE(
        waitFor([&] { return readMetric(n, "waxwing_links_working") == 1; }));
  }
}

/// Guards against VMs that resign one after the other while none has links, and
/// against keys that are not granted again once all links are back.
TEST_F(StrandedVmTest, LeadershipOutlastsTheLossOfAllLinks) {
  for (int n = 0; n < NodeCount; ++n)
    ASSERT_TRUE(waitUntilKeysAreServed(n));
  for (int n = 0; n < NodeCount; ++n)
    strand(n, LinkCut::Refused);
  const auto end = Clock::now() + seconds(10);
  int changes = 0;
  int last = leader();
  while (Clock::now() < end) {
    for (int n = 0; n < NodeCount; ++n)
      sendPlainRequest(n);
    if (const int now = leader(); now >= 0 && now != last) {
      ++changes;
      last = now;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  // Each VM may learn at another time that its links are lost.
  EXPECT_LT(changes, NodeCount);
  EXPECT_GE(leader(), 0);
  for (int n = 0; n < NodeCount; ++n)
    heal(n);
  for (int n = 0; n < NodeCount; ++n)
    EXPECT_TRUE(waitUntilKeysAreServed(n));
}

INSTANTIATE_TEST_SUITE_P(Cuts, StrandedLeaderTest,
                         testing::Values(LinkCut::Silent, LinkCut::Reset,
                                         LinkCut::Refused));

} // namespace
} // namespace waxwing
