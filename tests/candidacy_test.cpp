/**
 * @file candidacy_test.cpp
 * Who leads next: after the loss of a leader, of a whole failure domain, and
 * when VMs differ in processor time.
 */
#include "peers/candidacy.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace waxwing {
namespace {

/// @p strong VMs of half a core and @p weak ones of a tenth in each domain.
std::vector<Candidate> fleet(int domains, int strong, int weak) {
  std::vector<Candidate> result;
  for (int domain = 0; domain < domains; ++domain)
    for (int n = 0; n < strong + weak; ++n)
      result.push_back(
          {VmId("vm" + std::to_string(domain) + "-" + std::to_string(n)),
           DomainId("d" + std::to_string(domain)), n < strong ? 0.5 : 0.1});
  return result;
}

const Candidate &find(const std::vector<Candidate> &vms, const VmId &vm) {
  return *std::ranges::find(vms, vm, &Candidate::Vm);
}

TEST(Candidacy, StrongVmsLeadBeforeWeakOnes) {
  const auto vms = fleet(4, 2, 18);
  for (std::uint64_t term = 1; term < 50; ++term) {
    const VmId leader = vms[(term * 7) % vms.size()].Vm;
    const auto successors = chooseSuccessors(vms, leader, term);
    ASSERT_EQ(successors.size(), MaxSuccessors);
    for (const VmId &vm : successors) {
      EXPECT_NE(vm, leader);
      EXPECT_EQ(find(vms, vm).CpuCores, 0.5);
    }
  }
}

TEST(Candidacy, LossOfTheLeadersDomainCostsNoStep) {
  const auto vms = fleet(3, 2, 3);
  for (std::uint64_t term = 1; term < 50; ++term) {
    const auto successors = chooseSuccessors(vms, vms.front().Vm, term);
    std::set<DomainId> first;
    for (std::size_t n = 0; n < 2; ++n)
      first.insert(find(vms, successors[n]).Domain);
    EXPECT_EQ(first.size(), 2U);
    EXPECT_FALSE(first.contains(vms.front().Domain));
  }
}

TEST(Candidacy, SuccessorsTryOneAfterTheOtherBeforeAllOthers) {
  const auto vms = fleet(4, 2, 18);
  const auto successors = chooseSuccessors(vms, vms.front().Vm, 9);
  Duration last = Duration(-1);
  for (const VmId &vm : successors) {
    const Duration delay = candidacyDelay(find(vms, vm), successors, 9);
    EXPECT_GT(delay, last);
    last = delay;
  }
  for (const Candidate &vm : vms) {
    const bool isSuccessor =
        std::ranges::find(successors, vm.Vm) != successors.end();
    if (!isSuccessor) {
      EXPECT_GT(candidacyDelay(vm, successors, 9), last);
    }
  }
}

TEST(Candidacy, AtAStartWithoutAListStrongVmsAreFirst) {
  const auto vms = fleet(4, 2, 18);
  Duration slowestStrong{};
  Duration fastestWeak = Duration::max();
  for (const Candidate &vm : vms) {
    const Duration delay = candidacyDelay(vm, {}, 0);
    if (vm.CpuCores > 0.4)
      slowestStrong = std::max(slowestStrong, delay);
    else
      fastestWeak = std::min(fastestWeak, delay);
  }
  EXPECT_LT(slowestStrong, fastestWeak);
}

TEST(Candidacy, WeakLeaderGivesWayOnlyToFarStrongerVms) {
  const Candidate weak{VmId("a"), DomainId("d"), 0.1};
  const Candidate similar{VmId("b"), DomainId("d"), 0.15};
  const Candidate strong{VmId("c"), DomainId("d"), 0.5};
  EXPECT_FALSE(shouldYieldLeadership(weak, {weak, similar}));
  EXPECT_TRUE(shouldYieldLeadership(weak, {weak, similar, strong}));
  EXPECT_FALSE(shouldYieldLeadership(strong, {weak, similar, strong}));
}

} // namespace
} // namespace waxwing
