/**
 * @file candidacy.cpp
 * Order of successors and their pauses.
 */
#include "peers/candidacy.h"

#include "core/hash_func.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace waxwing {
namespace {

/// One attempt to lead takes two calls to the store; the next successor begins
/// after that.
constexpr Duration SuccessorGap = milliseconds(60);
/// All successors have tried by then.
constexpr Duration OthersBegin = SuccessorGap * MaxSuccessors;
/// Delay of a VM with one core; less processor time means a longer one, down
/// to the least share.
constexpr Duration DelayOfOneCore = milliseconds(50);
constexpr double LeastShare = 0.1;
/// Spread among VMs that know nothing of each other.
constexpr Duration Spread = milliseconds(300);
/// A leader gives way only to VMs with this many times its processor time.
constexpr double FarStronger = 2;

} // namespace

std::vector<VmId> chooseSuccessors(std::vector<Candidate> candidates,
                                   const VmId &leader, std::uint64_t term) {
  const auto home = std::ranges::find(candidates, leader, &Candidate::Vm);
  std::map<DomainId, int> taken; // places of each domain in the order so far
  if (home != candidates.end()) {
    ++taken[home->Domain];
    candidates.erase(home);
  }
  std::vector<VmId> result;
  while (!candidates.empty() && result.size() < MaxSuccessors) {
    const auto next = std::ranges::min_element(
        candidates, {}, [&](const Candidate &candidate) {
          const auto places = taken.find(candidate.Domain);
          return std::tuple(-candidate.CpuCores,
                            places == taken.end() ? 0 : places->second,
                            hashText(candidate.Vm.Value, term));
        });
    ++taken[next->Domain];
    result.push_back(next->Vm);
    candidates.erase(next);
  }
  return result;
}

Duration candidacyDelay(const Candidate &self,
                        const std::vector<VmId> &successors,
                        std::uint64_t term) {
  const auto place = std::ranges::find(successors, self.Vm);
  if (place != successors.end())
    return SuccessorGap * (place - successors.begin());
  const auto byShare = std::chrono::duration_cast<Duration>(
      DelayOfOneCore / std::max(self.CpuCores, LeastShare));
  const auto spread = Duration(
      static_cast<Duration::rep>(hashText(self.Vm.Value, term) %
                                 static_cast<std::uint64_t>(Spread.count())));
  return (successors.empty() ? Duration() : OthersBegin) + byShare + spread;
}

bool shouldYieldLeadership(const Candidate &leader,
                           const std::vector<Candidate> &others) {
  return std::ranges::any_of(others, [&](const Candidate &other) {
    return other.Vm != leader.Vm &&
           other.CpuCores >= FarStronger * leader.CpuCores;
  });
}

} // namespace waxwing
