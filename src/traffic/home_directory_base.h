/**
 * @file home_directory_base.h
 * The newest published homes (routers that hold home leases) known to a router.
 */
#ifndef WAXWING_TRAFFIC_HOME_DIRECTORY_BASE_H
#define WAXWING_TRAFFIC_HOME_DIRECTORY_BASE_H

#include "traffic/home_type.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <memory>

namespace waxwing {

/// A router and the upstreams whose home it is (the router that alone may use
/// their slots).
struct HomePeer {
  VmId Router;
  Endpoint ForwardEndpoint;
  std::vector<UpstreamId> Upstreams;
};

/// Looks up homes (the routers that hold the home leases) as last published by
/// the leader, by service and resource.
/// Invariant: the version of a service's homes never decreases.
class HomeDirectory {
public:
  /// @return false when @p homes are not newer than the known version
  bool update(std::shared_ptr<const HomesUpdate> homes);

  /// @return the resource's home, or nullptr when none is known
  const HomeAssignment *find(const ServiceId &service,
                             const HomeResource &resource) const;
  /// @param isEligible tells whether an upstream may get new requests
  /// @return the routers that are homes of eligible upstreams of @p service
  template <class IsEligible>
  std::vector<HomePeer> peers(const ServiceId &service,
                              IsEligible &&isEligible) const {
    std::map<VmId, HomePeer> peers;
    const auto known = Services.find(service);
    if (known == Services.end())
      return {};
    for (const HomeAssignment &row : known->second->Assignments) {
      const auto *upstream = std::get_if<UpstreamId>(&row.Resource);
      if (upstream == nullptr || !isEligible(*upstream))
        continue;
      HomePeer &peer = peers[row.Router];
      peer.Router = row.Router;
      peer.ForwardEndpoint = row.ForwardEndpoint;
      peer.Upstreams.push_back(*upstream);
    }
    std::vector<HomePeer> list;
    list.reserve(peers.size());
    for (auto &[vm, peer] : peers)
      list.push_back(std::move(peer));
    return list;
  }

private:
  absl::flat_hash_map<ServiceId, std::shared_ptr<const HomesUpdate>> Services;
  /// Points into Services.
  std::map<std::pair<ServiceId, HomeResource>, const HomeAssignment *>
      Assignments;
};

} // namespace waxwing

#endif
