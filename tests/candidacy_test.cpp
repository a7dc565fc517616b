/**
 * @file candidacy_test.cpp
 * Election order: after the loss of a leader or of a failure domain, and among
 * VMs with different numbers of CPU cores.
 */
#include "peers/candidacy.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>
#include <vector>

namespace waxwing {
namespace {

/// @return VMs of @p domains failure domains: in each, @p strong VMs with 0.5
///   CPU cores and @p weak VMs with 0.1
std::vector<Candidate> createVms(int domains, int strong, int weak) {
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
  const auto vms = createVms(4, 2, 18);
  for (std::uint64_t term = 1; term < 50; ++term) {
    const VmId leader = vms[(term * 7) % vms.size()].Vm;
    const auto successors = chooseSuccessors(vms, {}, leader, term);
    ASSERT_EQ(successors.size(), MaxSuccessors);
    for (const VmId &vm : successors) {
      EXPECT_NE(vm, leader);
      EXPECT_EQ(find(vms, vm).CpuCores, 0.5);
    }
  }
}

TEST(Candidacy, FirstSuccessorsAreOutsideOfTheLeadersDomain) {
  const auto vms = createVms(3, 2, 3);
  for (std::uint64_t term = 1; term < 50; ++term) {
    const auto successors = chooseSuccessors(vms, {}, vms.front().Vm, term);
    std::set<DomainId> domains;
    for (std::size_t n = 0; n < 2; ++n)
      domains.insert(find(vms, successors[n]).Domain);
    EXPECT_EQ(domains.size(), 2U);
    EXPECT_FALSE(domains.contains(vms.front().Domain));
  }
}

TEST(Candidacy, SuccessorsTryOneAfterTheOtherBeforeAllOthers) {
  const auto vms = createVms(4, 2, 18);
  const auto successors = chooseSuccessors(vms, {}, vms.front().Vm, 9);
  Duration last = Duration(-1);
  for (const VmId &vm : successors) {
    const Duration delay = candidacyDelay(find(vms, vm), true, successors, 9);
    EXPECT_GT(delay, last);
    last = delay;
  }
  for (const Candidate &vm : vms) {
    const bool isSuccessor =
        std::ranges::find(successors, vm.Vm) != successors.end();
    if (!isSuccessor) {
      EXPECT_GT(candidacyDelay(vm, true, successors, 9), last);
    }
  }
}

TEST(Candidacy, WithoutSuccessorsStrongVmsTryFirst) {
  const auto vms = createVms(4, 2, 18);
  Duration slowestStrong{};
  Duration fastestWeak = Duration::max();
  for (const Candidate &vm : vms) {
    const Duration delay = candidacyDelay(vm, true, {}, 0);
    if (vm.CpuCores > 0.4)
      slowestStrong = std::max(slowestStrong, delay);
    else
      fastestWeak = std::min(fastestWeak, delay);
  }
  EXPECT_LT(slowestStrong, fastestWeak);
}

/// Guards against a chain of leaders whose grants reach no upstream.
TEST(Candidacy, VmsWithLinksSucceedBeforeThoseWithout) {
  const auto vms = createVms(4, 2, 18);
  std::set<VmId> withoutLinks; // all strong VMs, and a weak one
  for (const Candidate &vm : vms)
    if (vm.CpuCores > 0.4)
      withoutLinks.insert(vm.Vm);
  withoutLinks.insert(vms.back().Vm);
  for (std::uint64_t term = 1; term < 50; ++term) {
    const auto successors =
        chooseSuccessors(vms, withoutLinks, vms.front().Vm, term);
    ASSERT_EQ(successors.size(), MaxSuccessors);
    for (const VmId &vm : successors)
      EXPECT_FALSE(withoutLinks.contains(vm));
  }
}

/// Guards against a candidate without links that is faster than one with links,
/// also where it was named a successor before it lost them.
TEST(Candidacy, VmsWithoutLinksWaitForAllOthers) {
  const auto vms = createVms(4, 2, 18);
  const auto successors = chooseSuccessors(vms, {}, vms.front().Vm, 9);
  for (const auto &known : {successors, std::vector<VmId>()}) {
    Duration slowest{};
    Duration fastestWithout = Duration::max();
    for (const Candidate &vm : vms) {
      slowest = std::max(slowest, candidacyDelay(vm, true, known, 9));
      fastestWithout =
          std::min(fastestWithout, candidacyDelay(vm, false, known, 9));
    }
    EXPECT_GT(fastestWithout, slowest);
  }
}

/// Guards against keys without grants when no VM has links for a while: one of
/// them leads, so that its grants go on as soon as its links are back.
TEST(Candidacy, AVmWithoutLinksLeadsIfNobodyElseDoes) {
  const auto vms = createVms(2, 1, 3);
  for (const Candidate &vm : vms)
    EXPECT_LT(candidacyDelay(vm, false, {}, 0), seconds(4));
}

TEST(Candidacy, WeakLeaderYieldsOnlyToMuchStrongerVms) {
  const Candidate weak{VmId("a"), DomainId("d"), 0.1};
  const Candidate similar{VmId("b"), DomainId("d"), 0.15};
  const Candidate strong{VmId("c"), DomainId("d"), 0.5};
  EXPECT_FALSE(shouldYieldLeadership(weak, {weak, similar}));
  EXPECT_TRUE(shouldYieldLeadership(weak, {weak, similar, strong}));
  EXPECT_FALSE(shouldYieldLeadership(strong, {weak, similar, strong}));
}

/// Pattern: hundreds of VMs start at the same moment without a leader.
TEST(Candidacy, WeakVmsWaitForTheAttemptOfStrongOnes) {
  Duration lastStrong{};
  Duration firstWeak = seconds(100);
  for (int n = 0; n < 300; ++n) {
    const bool isStrong = n < 18;
    const Duration delay = candidacyDelay(
        {VmId("vm" + std::to_string(n)), DomainId("d"), isStrong ? 0.5 : 0.1},
        true, {}, 0);
    if (isStrong)
      lastStrong = std::max(lastStrong, delay);
    else
      firstWeak = std::min(firstWeak, delay);
  }
  // A probe of the leader key, each 400 ms, lies between.
  EXPECT_GT(firstWeak, lastStrong + milliseconds(400));
}

} // namespace
} // namespace waxwing
