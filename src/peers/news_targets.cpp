/**
 * @file news_targets.cpp
 * The targets are drawn anew for each news.
 */
#include "peers/news_targets.h"

#include <algorithm>
#include <iterator>

namespace waxwing {

std::vector<Endpoint> chooseNewsTargets(const std::vector<VmInfo> &vms,
                                        const VmId &self,
                                        std::mt19937_64 &random) {
  std::vector<Endpoint> others;
  for (const VmInfo &vm : vms)
    if (vm.Vm.Vm != self)
      others.push_back(vm.Address);
  std::vector<Endpoint> chosen;
  std::ranges::sample(others, std::back_inserter(chosen), NewsTargetCount,
                      random);
  return chosen;
}

} // namespace waxwing
