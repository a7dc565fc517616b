/**
 * @file membership_net_test.cpp
 * Membership with lost and paused VMs, links that carry no data, and a late,
 * empty or wrong list of VMs. Guards against a disconnected graph of links and
 * against views that differ from the processes that actually run.
 */
#include "control_net.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwing {
namespace {

void startAll(ControlNet &net) {
  for (std::size_t n = 0; n < net.Hosts.size(); ++n)
    net.start(n);
}

TEST(Membership, SmallGroupIsFullyLinkedAndSeesAll) {
  ControlNet net(10, 4, 1, 1);
  startAll(net);
  net.runFor(seconds(3));
  EXPECT_TRUE(net.areMemberListsCorrect());
  for (std::size_t n = 0; n < 10; ++n)
    EXPECT_EQ(net.linkCountOf(n), 9U);
  EXPECT_EQ(net.watcherCount(), StoreWatcherCount);
}

TEST(Membership, LostMemberIsRemovedWithinHalfASecond) {
  ControlNet net(10, 4, 1, 2);
  startAll(net);
  net.runFor(seconds(3));
  net.crash(4);
  net.runFor(milliseconds(500));
  EXPECT_TRUE(net.areMemberListsCorrect());
}

TEST(Membership, SilentMemberIsSuspectedAndRecovers) {
  ControlNet net(10, 4, 1, 3);
  startAll(net);
  net.runFor(seconds(3));
  net.Hosts[4].IsPaused = true;
  net.runFor(milliseconds(500));
  for (const MemberEntry &it : net.Hosts[0].Node->membership().others())
    EXPECT_EQ(it.State == MemberState::Suspected, it.Vm.Value == "vm004");
  net.Hosts[4].IsPaused = false;
  // After its own pause it must not suspect the others.
  for (int n = 0; n < 20; ++n) {
    net.runFor(milliseconds(5));
    for (const MemberEntry &it : net.Hosts[4].Node->membership().others())
      EXPECT_EQ(it.State, MemberState::Live);
  }
  net.runFor(seconds(3));
  EXPECT_TRUE(net.areMemberListsCorrect());
}

TEST(Membership, LeavingMemberIsNotDead) {
  ControlNet net(10, 4, 1, 4);
  startAll(net);
  net.runFor(seconds(3));
  net.leave(4);
  net.runFor(milliseconds(100));
  for (const MemberEntry &it : net.Hosts[0].Node->membership().others())
    EXPECT_EQ(it.State, it.Vm.Value == "vm004" ? MemberState::Leaving
                                               : MemberState::Live);
}

TEST(Membership, RestartedMemberIsANewProcess) {
  ControlNet net(10, 4, 1, 5);
  startAll(net);
  net.runFor(seconds(3));
  net.crash(4);
  net.runFor(milliseconds(50));
  net.start(4);
  net.runFor(seconds(3));
  EXPECT_TRUE(net.areMemberListsCorrect());
  const auto live = net.Hosts[0].Node->membership().live();
  const auto it = std::ranges::find(live, net.Hosts[4].Vm, &MemberEntry::Vm);
  ASSERT_NE(it, live.end());
  EXPECT_EQ(it->Process, net.Hosts[4].Process);
}

TEST(Membership, SeparatedRegionsReconnect) {
  ControlNet net(60, 6, 2, 6);
  startAll(net);
  net.runFor(seconds(10));
  for (auto &host : net.Hosts)
    host.ReachabilityGroup = host.Region == "region0" ? 0 : 1;
  net.runFor(seconds(120));
  for (auto &host : net.Hosts)
    host.ReachabilityGroup = 0;
  net.runFor(seconds(15));
  EXPECT_TRUE(net.isConnected());
  EXPECT_TRUE(net.areMemberListsCorrect());
}

TEST(Membership, ListedVmsThatDoNotExistAreRemoved) {
  ControlNet net(30, 6, 2, 7);
  net.NonexistentVms = 30;
  startAll(net);
  net.runFor(seconds(15));
  EXPECT_TRUE(net.isConnected());
  EXPECT_TRUE(net.areMemberListsCorrect());
}

TEST(Membership, EmptyListKeepsMembersConnected) {
  ControlNet net(30, 6, 2, 8);
  startAll(net);
  net.runFor(seconds(10));
  net.IsListEmpty = true;
  net.runFor(seconds(30));
  EXPECT_TRUE(net.isConnected());
  EXPECT_TRUE(net.areMemberListsCorrect());
}

TEST(Membership, LinksAreBounded) {
  ControlNet net(200, 6, 2, 9);
  startAll(net);
  net.runFor(seconds(20));
  EXPECT_TRUE(net.isConnected());
  EXPECT_TRUE(net.areMemberListsCorrect());
  for (std::size_t n = 0; n < 200; ++n) {
    EXPECT_LE(net.Hosts[n].Targets.size(),
              testMembershipParameters().Links + 1);
    EXPECT_LE(net.linkCountOf(n), 64U);
  }
}

/// The graph must stay connected at the moment of the loss, before new links
/// are opened.
RC_GTEST_PROP(MembershipFuzz, StaysConnectedAfterLosingAThird, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(9, 120);
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  ControlNet net(count, 6, 2, seed);
  startAll(net);
  net.runFor(seconds(12));
  RC_ASSERT(net.isConnected());
  std::vector<std::size_t> order(count);
  for (std::size_t n = 0; n < count; ++n)
    order[n] = n;
  std::shuffle(order.begin(), order.end(), std::mt19937_64(seed));
  for (std::size_t n = 0; n < count / 3; ++n)
    net.crash(order[n]);
  RC_ASSERT(net.isConnected());
  net.runFor(seconds(15));
  RC_ASSERT(net.isConnected());
  RC_ASSERT(net.areMemberListsCorrect());
}

/// Faults that a fuzz step injects or ends.
enum class Fault : std::uint8_t {
  Crash,
  Start,
  Pause,
  Resume,
  Leave,
  ToggleListed,
  ToggleListFrozen,
  ToggleListEmpty,
  NonexistentVms,
  Split,
  Heal,
  Drop,
  Last = Drop
};

/// One step: a fault at a host, then a wait.
struct Step {
  Fault Kind;
  std::size_t Host;
  int WaitMs;
};

void showValue(const Step &it, std::ostream &os) {
  os << "{" << static_cast<int>(it.Kind) << ", " << it.Host << ", " << it.WaitMs
     << "}";
}

rc::Gen<Step> genStep(std::size_t hosts) {
  return rc::gen::construct<Step>(
      rc::gen::map(rc::gen::inRange(0, static_cast<int>(Fault::Last) + 1),
                   [](int n) { return static_cast<Fault>(n); }),
      rc::gen::inRange<std::size_t>(0, hosts), rc::gen::inRange(0, 3000));
}

void apply(ControlNet &net, const Step &step) {
  auto &host = net.Hosts[step.Host];
  switch (step.Kind) {
  case Fault::Crash:
    return net.crash(step.Host);
  case Fault::Start:
    return net.start(step.Host);
  case Fault::Pause:
    host.IsPaused = true;
    return;
  case Fault::Resume:
    host.IsPaused = false;
    return;
  case Fault::Leave:
    return net.leave(step.Host);
  case Fault::ToggleListed:
    host.IsListed = !host.IsListed;
    return;
  case Fault::ToggleListFrozen:
    net.IsListFrozen = !net.IsListFrozen;
    return;
  case Fault::ToggleListEmpty:
    net.IsListEmpty = !net.IsListEmpty;
    return;
  case Fault::NonexistentVms:
    net.NonexistentVms = step.Host;
    return;
  case Fault::Split:
    for (std::size_t n = 0; n < net.Hosts.size(); ++n)
      net.Hosts[n].ReachabilityGroup = (n * 7 + step.Host) % 3 == 0 ? 1 : 0;
    return;
  case Fault::Heal:
    for (auto &it : net.Hosts)
      it.ReachabilityGroup = 0;
    return;
  case Fault::Drop:
    net.DropChance = net.DropChance > 0 ? 0 : 0.2;
    return;
  }
}

/// After the end of all faults every view must match the running processes.
RC_GTEST_PROP(MembershipFuzz, ConvergesAfterFaults, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(3, 30);
  const auto steps = *rc::gen::container<std::vector<Step>>(genStep(count));
  ControlNet net(count, 6, 2, 11);
  startAll(net);
  net.runFor(seconds(4));
  for (const Step &step : steps) {
    apply(net, step);
    net.runFor(milliseconds(step.WaitMs));
  }
  net.IsListFrozen = net.IsListEmpty = false;
  net.DropChance = 0;
  for (auto &host : net.Hosts) {
    host.ReachabilityGroup = 0;
    host.IsPaused = false;
    host.IsListed = true;
  }
  net.runFor(seconds(45));
  RC_ASSERT(net.isConnected());
  RC_ASSERT(net.areMemberListsCorrect());
  for (const auto &host : net.Hosts)
    RC_ASSERT(!host.Node || host.Targets.size() <= 13U);
}

} // namespace
} // namespace waxwing
