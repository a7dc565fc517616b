/**
 * @file home_lease_manager_base.h
 * Leader side of home leases: assigns each upstream and each idempotency
 * partition of a service to one live router. No I/O, no clock, no threads.
 */
#ifndef WAXWING_TRAFFIC_HOME_LEASE_MANAGER_BASE_H
#define WAXWING_TRAFFIC_HOME_LEASE_MANAGER_BASE_H

#include "traffic/home_type.h"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace waxwing {

/// What this controller knows about the leadership of a service.
struct ServiceLeadership {
  bool IsLeader = false;    ///< the newest known record names this controller
  bool IsConfirmed = false; ///< that record is proven to be the newest
  /// The confirmations of all earlier leaders have expired.
  bool HaveEarlierConfirmationsExpired = false;
  /// The record has never named another leader, so no earlier lease exists.
  bool IsFirstLeader = false;
  Revision RecordRevision; ///< revision of the newest known record
  VmId Leader; ///< named by the newest known record; empty when none
};

/// Grants, renews and moves the home leases of one service (exclusive rights of
/// a router to use an upstream or a partition of idempotency keys).
/// Invariant: at any moment at most one router, by its own clock, holds the
/// lease of a resource, across all controllers that lead the service in turn.
///
/// The router counts the term from sending its request. The manager counts it
/// from its later response and adds the clock drift bound, so a lease never
/// expires here before it does at the router. A new leader assigns nothing for
/// one such term and adopts the leases that routers report meanwhile.
class HomeLeaseManager {
public:
  HomeLeaseManager(ServiceId service, HomeLeaseTiming timing);

  /// @param domains failure domains of upstreams; a router in the same domain
  ///   is preferred, since slots stay idle while messages travel
  void setResources(std::vector<HomeResource> resources,
                    std::map<UpstreamId, DomainId> domains = {});
  void setLeadership(const ServiceLeadership &leadership, Time now);

  /// @return the response, or nullopt while this controller may not grant
  ///   leases or when the request is outdated
  std::optional<HomeLeaseResponse>
  handleRequest(const HomeLeaseRequest &request, Time now);

  /// @return the homes if they changed since the last call, else nullopt
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
    Time EndsAt; ///< by this clock; never before it expires at the router
    bool IsWarm = false;
    bool IsVacant = false;    ///< no earlier holder's request ran at its start
    bool IsReleasing = false; ///< its holder has to release it
  };
  /// Last known state of a resource that no router holds.
  struct UnleasedState {
    bool IsWarm = false;
    bool IsVacant = false;
  };

  /// Number of leases by router and kind of resource, without those being
  /// released.
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
  /// @return leases of the router, plus a penalty when the resource is in
  ///   another failure domain
  std::size_t leaseCost(const VmId &vm, const Router &router,
                        const HomeResource &resource,
                        LeaseCounts &counts) const;
  /// @return the live router that should hold @p resource, if there is one
  std::optional<VmId> chooseRouter(const HomeResource &resource,
                                   LeaseCounts &counts, Time now) const;
  HomeLeaseResponse makeResponse(const HomeLeaseRequest &request, Time now);

  ServiceId Service;
  HomeLeaseTiming Timing;
  std::vector<HomeResource> Resources;
  std::map<UpstreamId, DomainId> Domains;
  ServiceLeadership Leadership;
  /// No resource is assigned before this time.
  std::optional<Time> AssignmentStartsAt;
  std::map<VmId, Router> Routers;
  std::map<HomeResource, Lease> Leases;
  /// Resources without a lease that a router held earlier in this leadership.
  std::map<HomeResource, UnleasedState> Unleased;
  /// Routers that reported an expired lease and still have the home's state;
  /// preferred when the resource is assigned.
  std::map<HomeResource, VmId> FormerHolders;
  std::uint64_t Sequence = 0;            ///< number of the last update
  std::vector<HomeAssignment> Published; ///< homes in the last update
};

} // namespace waxwing

#endif
