/**
 * @file cold_share.h
 * This VM's part of the requests that all VMs together may send to a cold
 * upstream.
 */
#ifndef WAXWING_ROUTING_COLD_SHARE_H
#define WAXWING_ROUTING_COLD_SHARE_H

#include "core/id_type.h"
#include "core/time_type.h"

#include <vector>

namespace waxwing {

/// What a cold upstream bears from all VMs.
struct ColdTerms {
  double Overage = 1.5; ///< bound on the rate, relative to what it bears
  double Slack = 5;     ///< requests in a second beyond that
};

/// @return requests in any second that VM @p self may send to @p upstream;
///   0 when others send them. All VMs with the same view of @p vms together
///   stay within @p perSecond and the slack.
int coldRequestsPerSecond(const UpstreamId &upstream, double perSecond,
                          const ColdTerms &terms, const VmId &self,
                          const std::vector<VmId> &vms);

} // namespace waxwing

#endif
