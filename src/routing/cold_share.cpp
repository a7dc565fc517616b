/**
 * @file cold_share.cpp
 * The bound is divided evenly; what is left goes to the VMs that rank first
 * for the upstream by rendezvous hashing.
 */
#include "routing/cold_share.h"

#include "core/hash_func.h"

#include <algorithm>
#include <cmath>

namespace waxwing {
namespace {

/// Part of the bound in use: views of the VMs' list differ for a moment, and
/// requests that were sent in one second may arrive in the next.
constexpr double SafeShare = 0.6;

std::uint64_t rank(const UpstreamId &upstream, const VmId &vm) {
  return hashText(vm.Value, hashText(upstream.Value, 0));
}

} // namespace

int coldRequestsPerSecond(const UpstreamId &upstream, double perSecond,
                          const ColdTerms &terms, const VmId &self,
                          const std::vector<VmId> &vms) {
  const int total = static_cast<int>(
      std::floor(SafeShare * (perSecond * terms.Overage + terms.Slack)));
  const int count = std::max<int>(static_cast<int>(vms.size()), 1);
  const std::uint64_t own = rank(upstream, self);
  const auto before = std::ranges::count_if(
      vms, [&](const VmId &vm) { return rank(upstream, vm) > own; });
  return total / count + (before < total % count ? 1 : 0);
}

} // namespace waxwing
