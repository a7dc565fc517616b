/**
 * @file candidacy.cpp
 * Orders the successors of a leader and computes the delays of candidates.
 */
#include "peers/candidacy.h"

#include "core/hash_func.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace waxwing {
namespace {

/// Delay between the attempts of successive successors. An attempt to become
/// leader takes two calls to the store, so the next successor starts after
/// them.
constexpr Duration SuccessorDelayStep = milliseconds(60);
/// Delay of the first candidate that is not a successor; by then every
/// successor has made its attempt.
constexpr Duration NonSuccessorDelay = SuccessorDelayStep * MaxSuccessors;
/// Delay of a VM with one CPU core; the delay is inversely proportional to the
/// number of cores, for which at least MinCpuCores is assumed.
constexpr Duration OneCoreDelay = milliseconds(50);
constexpr double MinCpuCores = 0.1;
/// VMs with less processor time than this wait until a stronger one has made
/// its attempt and they have read the result; otherwise most of them would try.
constexpr double WeakVmCores = 0.15;
constexpr Duration WeakVmDelay = milliseconds(600);
/// Upper bound of a pseudo-random delay, so that VMs that do not know each
/// other do not all become candidates at the same time.
constexpr Duration MaxRandomDelay = milliseconds(300);
/// Additional delay of a VM without links, after the attempts of all others.
constexpr Duration NoLinksDelay = milliseconds(2000);
/// A leader yields only to VMs with at least this many times its CPU cores.
constexpr double YieldCoreRatio = 2;

} // namespace

std::vector<VmId> chooseSuccessors(std::vector<Candidate> candidates,
                                   const std::set<VmId> &withoutLinks,
                                   const VmId &leader, std::uint64_t term) {
  const auto leaderEntry =
      std::ranges::find(candidates, leader, &Candidate::Vm);
  std::map<DomainId, int> chosenInDomain; // VMs of each domain already chosen
  if (leaderEntry != candidates.end()) {
    ++chosenInDomain[leaderEntry->Domain];
    candidates.erase(leaderEntry);
  }
  std::vector<VmId> result;
  while (!candidates.empty() && result.size() < MaxSuccessors) {
    const auto next = std::ranges::min_element(
        candidates, {}, [&](const Candidate &candidate) {
          const auto chosen = chosenInDomain.find(candidate.Domain);
          return std::tuple(withoutLinks.contains(candidate.Vm),
                            -candidate.CpuCores,
                            chosen == chosenInDomain.end() ? 0 : chosen->second,
                            hashText(candidate.Vm.Value, term));
        });
    ++chosenInDomain[next->Domain];
    result.push_back(next->Vm);
    candidates.erase(next);
  }
  return result;
}

Duration candidacyDelay(const Candidate &self, bool hasLinks,
                        const std::vector<VmId> &successors,
                        std::uint64_t term) {
  const Duration linksDelay = hasLinks ? Duration() : NoLinksDelay;
  const auto position = std::ranges::find(successors, self.Vm);
  if (position != successors.end())
    return linksDelay + SuccessorDelayStep * (position - successors.begin());
  const auto coresDelay = std::chrono::duration_cast<Duration>(
      OneCoreDelay / std::max(self.CpuCores, MinCpuCores));
  const auto spread = Duration(static_cast<Duration::rep>(
      hashText(self.Vm.Value, term) %
      static_cast<std::uint64_t>(MaxRandomDelay.count())));
  return linksDelay + (successors.empty() ? Duration() : NonSuccessorDelay) +
         coresDelay + (self.CpuCores < WeakVmCores ? WeakVmDelay : Duration()) +
         spread;
}

bool shouldYieldLeadership(const Candidate &leader,
                           const std::vector<Candidate> &others) {
  return std::ranges::any_of(others, [&](const Candidate &other) {
    return other.Vm != leader.Vm &&
           other.CpuCores >= YieldCoreRatio * leader.CpuCores;
  });
}

} // namespace waxwing
