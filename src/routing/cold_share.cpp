/**
 * @file cold_share.cpp
 * The limit is divided evenly; the remainder goes to the VMs that rank first
 * for the upstream by rendezvous hashing.
 */
#include "routing/cold_share.h"

#include "core/hash_func.h"

#include <algorithm>
#include <cmath>

namespace waxwing {
namespace {

/// Fraction of the limit that is used, since the VMs' lists of VMs may differ
/// for a moment, and requests sent in one second may arrive in the next.
constexpr double SafetyFactor = 0.6;

} // namespace

std::uint64_t rendezvousHash(const UpstreamId &upstream, const VmId &vm) {
  return hashText(vm.Value, hashText(upstream.Value, 0));
}

int shareOfVm(int total, const UpstreamId &upstream, const VmId &self,
              const std::vector<VmId> &vms) {
  const int count = std::max<int>(static_cast<int>(vms.size()), 1);
  const std::uint64_t own = rendezvousHash(upstream, self);
  const auto higherRanked = std::ranges::count_if(
      vms, [&](const VmId &vm) { return rendezvousHash(upstream, vm) > own; });
  return total / count + (higherRanked < total % count ? 1 : 0);
}

int coldRequestsPerSecond(const UpstreamId &upstream, double perSecond,
                          const ColdLimits &limits, const VmId &self,
                          const std::vector<VmId> &vms) {
  const int total = static_cast<int>(std::floor(
      SafetyFactor * (perSecond * limits.MaxRateFactor + limits.Burst)));
  return shareOfVm(total, upstream, self, vms);
}

} // namespace waxwing
