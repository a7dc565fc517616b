/**
 * @file stranded_owner_process_test.cpp
 * Exclusive ownership of keys while waxwing-node processes have lost their
 * links to the upstreams, which run on and keep their keys.
 */
#include "stranded_vm_fixture.h"

#include <algorithm>
#include <functional>
#include <gmock/gmock.h>
#include <map>
#include <set>

namespace waxwing {
namespace {

/// Longer than an ordinary grant, which ends within it without renewals.
constexpr Duration CutDuration = seconds(8);
/// Interval at which ownership is examined.
constexpr Duration CheckInterval = milliseconds(5);
/// Distance of the examined keys.
constexpr int KeyStep = 997;

class StrandedOwnerTest : public StrandedVmTest {
protected:
  static constexpr std::size_t DividedCount = 3;

  void prepareLinks() override {
    StrandedVmTest::prepareLinks();
    for (std::size_t n = 0; n < DividedCount; ++n)
      Upstreams[n]->OnGrant = [this, n](const StandinGrant &grant) {
        checkFence(n, grant);
      };
  }

  /// A fencing token must exceed those of all other upstreams for the keys.
  void checkFence(std::size_t n, const StandinGrant &grant) {
    for (int key = 0; key < 65536; key += KeyStep) {
      if (!grant.Range.contains(static_cast<std::uint16_t>(key)))
        continue;
      for (const auto &[other, fence] : Fences[key])
        if (other != n && fence >= grant.Fence)
          Violations.insert(fmt::format("i-{} was granted a fencing token that "
                                        "is not above that of i-{}",
                                        n, other));
      Fences[key][n] = grant.Fence;
    }
  }

  /// Examines on the platform's thread who owns the keys, until @p end.
  void watchOwners(Time end) {
    while (bootNow() < end) {
      runOnPlatform([&] {
        for (int key = 0; key < 65536; key += KeyStep) {
          std::string owners;
          int n = 0;
          for (std::size_t it = 0; it < DividedCount; ++it)
            if (Upstreams[it]->ownsKey(static_cast<std::uint16_t>(key))) {
              owners += " " + Upstreams[it]->settings().Id;
              ++n;
            }
          if (n > 1)
            Violations.insert("a key has the owners" + owners);
        }
      });
      std::this_thread::sleep_for(CheckInterval);
    }
  }

  /// Applies @p cut to the leader's links and watches the owners during it and
  /// after its end.
  void watchLeaderDuring(const std::function<void(int leader)> &cut) {
    ASSERT_TRUE(waitUntilKeysAreServed(0));
    ASSERT_TRUE(waitFor([] { return leader() >= 0; }));
    const int n = leader();
    cut(n);
    watchOwners(bootNow() + CutDuration);
    heal(n);
    watchOwners(bootNow() + seconds(2));
    EXPECT_THAT(Violations, testing::IsEmpty());
    EXPECT_TRUE(waitUntilKeysAreServed(0));
  }
  void strandLeader(LinkCut cut) {
    watchLeaderDuring([&](int n) { strand(n, cut); });
  }

  /// Fencing token of each upstream's last grant, by key. Used on the
  /// platform's thread.
  std::map<int, std::map<std::size_t, std::uint64_t>> Fences;
  std::set<std::string> Violations; ///< used like Fences
};

/// Guards against two owners of a key: a leader whose own connections to an
/// upstream are refused gave the keys of the running upstream to others.
TEST_F(StrandedOwnerTest, RefusalsAtTheLeaderEndNoOwnership) {
  watchLeaderDuring([&](int n) { cutLink(n, 0, LinkCut::ResetRefused); });
}

/// Guards against keys without an owner for as long as the leader's link to
/// their owner is cut: their grants end, and others can be given the keys.
TEST_F(StrandedOwnerTest, KeysBehindALostLinkMoveWhenTheirGrantsHaveEnded) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  ASSERT_TRUE(waitFor([] { return leader() >= 0; }));
  cutLink(leader(), 0, LinkCut::ResetRefused);
  watchOwners(bootNow() + CutDuration);
  runOnPlatform([&] {
    for (int key = 0; key < 65536; key += KeyStep)
      EXPECT_TRUE(std::ranges::any_of(Upstreams,
                                      [&](const auto &it) {
                                        return it->ownsKey(
                                            static_cast<std::uint16_t>(key));
                                      }))
          << "key " << key;
  });
  EXPECT_THAT(Violations, testing::IsEmpty());
}

/// Guards against keys that nobody serves after the cut: a leader that met
/// refusals everywhere took all upstreams for ended for the rest of its term.
TEST_F(StrandedOwnerTest, UpstreamsOwnKeysAgainAfterRefusals) {
  strandLeader(LinkCut::ResetRefused);
}

/// Guards against two owners of a key when the leader keeps the connections
/// that it has and further ones are refused.
TEST_F(StrandedOwnerTest, RefusedFurtherConnectionsEndNoOwnership) {
  strandLeader(LinkCut::Refused);
}

/// Guards against two owners of a key when the leader's links are reset and
/// further connections hang.
TEST_F(StrandedOwnerTest, ResetLinksOfTheLeaderEndNoOwnership) {
  strandLeader(LinkCut::Reset);
}

/// Guards against two owners of a key when the leader's links hang.
TEST_F(StrandedOwnerTest, SilentLinksOfTheLeaderEndNoOwnership) {
  strandLeader(LinkCut::Silent);
}

} // namespace
} // namespace waxwing
