/**
 * @file home_lease_manager_base.h
 * The leader's side of home leases: assigns each upstream and each partition
 * of a service to one live router. No I/O, no clock, no threads.
 */
#ifndef WAXWING_TRAFFIC_HOME_LEASE_MANAGER_BASE_H
#define WAXWING_TRAFFIC_HOME_LEASE_MANAGER_BASE_H

#include "traffic/home_type.h"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace waxwing {

/// What the lessor's controller knows of its own leadership of the service.
struct ServiceLeadership {
  bool IsLeader = false;    ///< the newest known record names it
  bool IsConfirmed = false; ///< and is proven to be the newest
  /// All confirmations of earlier leaders have ended.
  bool HaveEarlierLeadersExpired = false;
  /// The record never had another leader, so no earlier lease exists.
  bool IsFirstLeader = false;
  Revision Record; ///< newest record revision known
  VmId Leader;     ///< that the newest known record names, if any
};

/// Invariant: at any moment at most one router, in its own clock, holds a
/// lease on a resource, over all lessors of the service.
///
/// A lease ends for the router at its question plus the term; the lessor
/// counts from its later response and lengthens by the drift bound. A new
/// lessor first learns for one such term what routers report to hold.
class HomeLeaseManager {
public:
  HomeLeaseManager(ServiceId service, HomeLeaseTiming terms);

  /// @param domains failure domains of upstreams; a home in the upstream's
  ///   own is preferred, since slots stand unleased while messages travel
  void setResources(std::vector<HomeResource> resources,
                    std::map<UpstreamId, DomainId> domains = {});
  void setLeadership(const ServiceLeadership &leadership, Time now);

  /// @return the response, or nothing while this controller may not lease
  std::optional<HomeLeaseResponse>
  handleRequest(const HomeLeaseRequest &request, Time now);

  /// @return the homes when they changed since the last call
  std::optional<HomesUpdate> takeUpdate(Time now);

private:
  struct Router {
    Incarnation Process;
    DomainId Domain;
    Endpoint ForwardEndpoint;
    std::uint64_t RequestNumber = 0;
    Time LastRequestAt;
    bool IsLeaving = false;
  };
  struct Lease {
    VmId Router;
    Incarnation Process;
    Time EndsAt; ///< in this clock, never before the router's own end
    bool IsWarm = false;
    bool IsVacant = false;    ///< nothing of an earlier holder ran at its start
    bool IsReleasing = false; ///< on its way to another router
  };
  /// What is known of a resource that nobody holds.
  struct UnleasedState {
    bool IsWarm = false;
    bool IsVacant = false;
  };

  /// Leases by router and kind of resource, but for those being released.
  class LeaseCounts {
  public:
    std::size_t &of(const VmId &router, const HomeResource &like) {
      return Counts[router][like.index()];
    }

  private:
    std::map<VmId, std::array<std::size_t, std::variant_size_v<HomeResource>>>
        Counts;
  };

  bool mayAssign(Time now) const;
  bool isLive(const Router &router, Time now) const;
  void adoptReportedLeases(const HomeLeaseRequest &request, Time now);
  void dropReleased(const HomeLeaseRequest &request);
  void dropExpired(Time now);
  void assignUnleased(const VmId &to, Time now);
  void releaseExcess(const VmId &from, Time now);
  void forgetSilentRouters(Time now);
  LeaseCounts countLeases() const;
  /// @return load of a router, plus the penalty of a foreign domain
  std::size_t costOf(const VmId &vm, const Router &router,
                     const HomeResource &resource, LeaseCounts &counts) const;
  /// @return the live router that should hold @p resource
  std::optional<VmId> chooseRouter(const HomeResource &resource,
                                   LeaseCounts &counts, Time now) const;
  HomeLeaseResponse makeResponse(const HomeLeaseRequest &request, Time now);

  ServiceId Service;
  HomeLeaseTiming Terms;
  std::vector<HomeResource> Resources;
  std::map<UpstreamId, DomainId> Domains;
  ServiceLeadership Leadership;
  std::optional<Time> AssignmentStartsAt; ///< earlier lessors' leases ended
  std::map<VmId, Router> Routers;
  std::map<HomeResource, Lease> Leases;
  std::map<HomeResource, UnleasedState>
      Unleased; ///< held before, in this lessor's time
  /// Routers that still have the state of a home whose lease ended.
  std::map<HomeResource, VmId> FormerHolders;
  std::uint64_t Sequence = 0;
  std::vector<HomeAssignment> Published;
};

} // namespace waxwing

#endif
