/**
 * @file cold_share.h
 * Divides the request rate that a cold upstream (one that has not finished its
 * warm-up) sustains among all VMs.
 */
#ifndef WAXWING_ROUTING_COLD_SHARE_H
#define WAXWING_ROUTING_COLD_SHARE_H

#include "core/id_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <vector>

namespace waxwing {

/// Limits on the requests that all VMs together send to a cold upstream.
struct ColdLimits {
  /// Rate limit, relative to the upstream's warm-up rate.
  double MaxRateFactor = 1.5;
  double Burst = 5; ///< additional requests in any second
};

/// Orders the VMs differently for each upstream; the same on all VMs.
std::uint64_t rendezvousHash(const UpstreamId &upstream, const VmId &vm);

/// Divides @p total requests to @p upstream evenly; the remainder goes to the
/// VMs that rank first by rendezvousHash().
/// @return the part of @p self
int shareOfVm(int total, const UpstreamId &upstream, const VmId &self,
              const std::vector<VmId> &vms);

/// @param perSecond request rate that the upstream sustains during warm-up
/// @return number of requests that VM @p self may send to @p upstream in any
///   second; 0 when there are more VMs than requests and @p self gets none. All
///   VMs that agree on @p vms together stay within @p limits.
int coldRequestsPerSecond(const UpstreamId &upstream, double perSecond,
                          const ColdLimits &limits, const VmId &self,
                          const std::vector<VmId> &vms);

} // namespace waxwing

#endif
