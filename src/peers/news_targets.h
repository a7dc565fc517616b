/**
 * @file news_targets.h
 * Chooses the VMs to which news are passed on. Each VM that learns of something
 * tells a few others, so that all know it after some rounds, whoever leads and
 * whether or not the store answers.
 */
#ifndef WAXWING_PEERS_NEWS_TARGETS_H
#define WAXWING_PEERS_NEWS_TARGETS_H

#include "peers/peer_message_type.h"

#include <random>

namespace waxwing {

/// VMs to which one VM passes on what it has learned. On average all but one of
/// 400 VMs get it in this way if no datagram is lost.
inline constexpr std::size_t NewsTargetCount = 6;

/// @param vms the known VMs
/// @return addresses of up to NewsTargetCount VMs other than @p self
std::vector<Endpoint> chooseNewsTargets(const std::vector<VmInfo> &vms,
                                        const VmId &self,
                                        std::mt19937_64 &random);

} // namespace waxwing

#endif
