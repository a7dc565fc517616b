/**
 * @file relay_choice_test.cpp
 * Choice of the VM to which a request is passed.
 */
#include "routing/relay_choice.h"

#include <gtest/gtest.h>
#include <random>

namespace waxwing {
namespace {

constexpr Time Start = Time(seconds(100));

VmInfo makeVm(const std::string &name, const std::string &domain,
              double cores = 1, bool hasLinks = true) {
  return {{VmId(name), DomainId(domain), cores}, {"10.0.0.1", 1}, hasLinks};
}

class RelayChoiceTest : public testing::Test {
protected:
  std::string choose(Time now = Start, const std::set<VmId> &tried = {}) {
    const auto target = Peers.choose(tried, draw(), draw(), now);
    return target ? target->Vm.Value : "";
  }
  double draw() { return std::uniform_real_distribution<>(0, 1)(Random); }
  /// @return how many of 2000 requests, all still in progress, go to each VM
  std::map<std::string, int> spread() {
    std::map<std::string, int> counts;
    for (int n = 0; n < 2000; ++n) {
      const std::string vm = choose();
      Peers.onSent(VmId(vm));
      ++counts[vm];
    }
    return counts;
  }

  std::mt19937_64 Random{20261204};
  RelayPeers Peers{VmId("self"), DomainId("a")};
};

// Guards against loops: a VM must neither choose itself nor a VM that has no
// links either.
TEST_F(RelayChoiceTest, OnlyOtherVmsWithLinksAndAddressAreChosen) {
  VmInfo unaddressed = makeVm("unaddressed", "a");
  unaddressed.Address = {};
  Peers.setVms(
      {makeVm("self", "a"), makeVm("cut", "a", 1, false), unaddressed});
  EXPECT_EQ(choose(), "");
  EXPECT_FALSE(Peers.choose({}, 0.999, 0, Start));
  Peers.setVms({makeVm("self", "a"), makeVm("b", "b"), unaddressed});
  for (int n = 0; n < 50; ++n)
    EXPECT_EQ(choose(), "b");
  EXPECT_EQ(choose(Start, {VmId("b")}), "");
}

// Guards against requests being passed again and again to a VM that has just
// died or lost its links, which the list of VMs tells a second later.
TEST_F(RelayChoiceTest, FailedVmsAreLeftAlone) {
  for (const RelayOutcome outcome :
       {RelayOutcome::Unreachable, RelayOutcome::Unable}) {
    Peers.setVms({makeVm("b", "b")});
    Peers.onSent(VmId("b"));
    Peers.onEnd(VmId("b"), outcome, Start);
    EXPECT_EQ(choose(Start + milliseconds(100)), "");
    EXPECT_EQ(choose(Start + seconds(2)), "b");
    Peers.setVms({});
  }
  Peers.setVms({makeVm("b", "b")});
  Peers.onSent(VmId("b"));
  Peers.onEnd(VmId("b"), RelayOutcome::Working, Start);
  EXPECT_EQ(choose(), "b");
}

// Guards against a frozen VM, whose kernel still accepts connections, getting
// one request after the other, each of which waits for its timeout.
TEST_F(RelayChoiceTest, VmThatStoppedRespondingIsLeftAlone) {
  Peers.setVms({makeVm("b", "b")});
  const auto timeOut = [this](Time sentAt, Time now) {
    Peers.onSent(VmId("b"));
    Peers.onTimeout(VmId("b"), sentAt, now);
  };
  Peers.onSent(VmId("b"));
  Peers.onEnd(VmId("b"), RelayOutcome::Working, Start + milliseconds(500));
  // It responds to others: the upstream was slow.
  timeOut(Start, Start + seconds(1));
  EXPECT_EQ(choose(Start + seconds(1)), "b");
  timeOut(Start + milliseconds(600), Start + seconds(2));
  EXPECT_EQ(choose(Start + seconds(2)), "");
  EXPECT_EQ(choose(Start + seconds(4)), "b");
}

// Guards against a backoff that outlives its cause: the list says that the VM
// has links again.
TEST_F(RelayChoiceTest, RecoveredLinksEndTheBackoff) {
  Peers.setVms({makeVm("b", "b")});
  Peers.onSent(VmId("b"));
  Peers.onEnd(VmId("b"), RelayOutcome::Unable, Start);
  Peers.setVms({makeVm("b", "b", 1, false)});
  Peers.setVms({makeVm("b", "b")});
  EXPECT_EQ(choose(), "b");
}

// Guards against the overload of small VMs.
TEST_F(RelayChoiceTest, LoadFollowsProcessorCores) {
  Peers.setVms({makeVm("small", "b", 0.1), makeVm("big", "b", 0.5)});
  const auto counts = spread();
  EXPECT_NEAR(counts.at("big"), 2000 * 5 / 6.0, 100);
}

// Guards against all requests of a failure domain going to its one VM that has
// links.
TEST_F(RelayChoiceTest, OwnDomainIsPreferredSlightly) {
  Peers.setVms({makeVm("near", "a"), makeVm("far1", "b"), makeVm("far2", "c")});
  const auto counts = spread();
  EXPECT_GT(counts.at("near"), counts.at("far1"));
  EXPECT_LT(counts.at("near"), 2 * counts.at("far1"));
}

} // namespace
} // namespace waxwing
