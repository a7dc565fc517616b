/**
 * @file dispatcher_base.h
 * Schedules attempts: chooses the upstream or router and the start time from
 * key owners, homes, slots, tiers, warm-up and hedging. A state machine
 * without I/O, owned by RouterCore.
 */
#ifndef WAXWING_TRAFFIC_DISPATCHER_BASE_H
#define WAXWING_TRAFFIC_DISPATCHER_BASE_H

#include "metrics/dispatch_counters.h"
#include "traffic/dispatcher_type.h"
#include "traffic/hedge_budget_base.h"
#include "traffic/home_directory_base.h"
#include "traffic/home_lease_client_base.h"
#include "traffic/peer_loads_base.h"
#include "traffic/tier_queue_base.h"
#include "traffic/tier_throttle_base.h"
#include "traffic/upstream_slots_base.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <memory>
#include <random>
#include <set>

namespace waxwing {

/// Chooses the upstream or the router that gets each request, and limits the
/// attempts at each upstream to its slots. The home of an upstream is the
/// router that alone may use its slots. A held request waits until an owner or
/// a home is known.
///
/// Each submitted request yields exactly one DispatchStart or one
/// DispatchRefusal unless it is withdrawn first. A hedge is a further
/// DispatchStart for a request that was started.
///
/// Invariants: a request waits in at most one place (a tier queue or the held
/// requests) and never past its deadline; only an upstream's home starts
/// attempts at it, and never more than the upstream has slots.
class Dispatcher {
public:
  /// @param self VM of this router
  /// @param seed seeds the random choices between peers
  Dispatcher(VmId self, std::uint64_t seed);

  void configure(std::shared_ptr<const Configuration> config, Time now);
  void setOwners(std::shared_ptr<const OwnershipRecord> owners, Time now);

  /// The upstream at @p address closed its last connection to this router.
  /// It may have restarted, so it is treated as cold.
  void onPeerClosed(const Endpoint &address);

  /// Enables home leases, see RouterCore::leaseHomes().
  void leaseHomes(const RouterIdentity &self);
  void setHomes(std::shared_ptr<const HomesUpdate> homes, Time now);
  void applyLeaseResponse(const HomeLeaseResponse &response, Time now);
  /// The router shuts down: each home lease is released once no request
  /// runs under it.
  void releaseHomes();
  /// @return whether this router holds the home lease of @p resource; always
  ///   true when home leases are not enabled
  bool isThisRouterHome(const ServiceId &service, const HomeResource &resource,
                        Time now) const;
  /// @return start of the uninterrupted period in which this router has
  ///   held the home lease, or nullopt when it does not hold it
  std::optional<Time> homeLeaseHeldSince(const ServiceId &service,
                                         const HomeResource &resource,
                                         Time now) const;
  /// @return the published home of @p resource, or nullptr
  const HomeAssignment *findHome(const ServiceId &service,
                                 const HomeResource &resource) const {
    return Homes.find(service, resource);
  }

  /// Starts an attempt of the request, or lets the request wait or refuses it.
  void submit(const DispatchRequest &request, Time now);
  /// Stops waiting: the request needs no further attempt. Running attempts
  /// are not affected. Does nothing when the request is unknown.
  void withdraw(RequestId request, Time now);
  /// Frees the attempt's slot and updates latency, warm-up and peer state.
  /// @param why Reason::None when the upstream answered
  void endAttempt(AttemptId attempt, Reason why, Time now);
  void tick(Time now);

  /// @return decisions made since the last call, in order
  std::vector<DispatchDecision> takeDecisions();
  const DispatchCounters &counters() const { return Counters; }

private:
  /// Where a request waits: in a queue for a slot, or held until an owner or a
  /// home is known.
  enum class WaitPlace : std::uint8_t { NotWaiting, Queue, Held };
  /// Identifies a queue of requests that wait for the same slots: those of
  /// one upstream when the service is divided by key, otherwise those of all
  /// local upstreams of the service.
  using QueueId = std::variant<ServiceId, UpstreamId>;

  struct Request {
    DispatchRequest Spec;
    WaitPlace Place = WaitPlace::NotWaiting;
    QueueId Queue;                          ///< valid when Place is Queue
    Reason ReasonForHolding = Reason::None; ///< valid when Place is Held
    bool HasBeenHeld = false;
    std::vector<AttemptId> Attempts;    ///< running attempts of the request
    std::optional<Time> HedgeStartedAt; ///< not used
  };

  struct Attempt {
    RequestId Request;
    ServiceId Service;
    VmId Router; ///< router that sends it to the upstream
    std::optional<UpstreamId> LocalUpstream; ///< set when sent by this router
    /// Unit (shard, or key split off from its shard) that holds the request's
    /// key, and its fencing token; set when the service is divided by key.
    std::optional<GrantedUnit> Unit;
    std::uint64_t ColdStarts = 0; ///< value of UpstreamSlots::begin()
    Time StartedAt;
  };

  /// An attempt at a local upstream that ended at this router. After a
  /// cancellation or a timeout the upstream may still be running it.
  struct EndedAttempt {
    UpstreamId Upstream;
    ServiceId Service;
    Reason Why;
    std::uint64_t ColdStarts; ///< value of UpstreamSlots::begin()
    Duration Latency;         ///< from start to end of the attempt
  };

  struct Service {
    const ServiceConfig *Config = nullptr;
    /// Upstreams that are not drained and whose failure domain is not taken
    /// out.
    std::vector<UpstreamId> EligibleUpstreams;
    std::vector<UpstreamId> LocalUpstreams; ///< eligible, leased to this router
    /// Other routers that are homes of eligible upstreams.
    std::vector<HomePeer> Peers;
    std::optional<HomeLeaseClient> LeaseClient;
    PeerLoads Loads;
    HedgeBudget Hedges;
    /// Requests that may be hedged, by start of the first attempt.
    std::set<std::pair<Time, RequestId>> HedgeCandidates;
    std::map<TierId, TierThrottle> Throttles;
    /// Number of requests that wait for an owner or a home, by tier.
    std::map<TierId, std::size_t> HeldRequestCounts;
    std::shared_ptr<const OwnershipRecord> Owners;
    /// Units (shards, or keys split off) whose owner refused the fencing token:
    /// the token, and the time when it may be tried again.
    std::map<OwnedUnit, std::pair<FencingToken, Time>> RefusedUnits;
  };

  /// The owner of a key and the grant under which it serves the key.
  struct OwnerTarget {
    UpstreamId Upstream;
    GrantedUnit Unit;
  };

  // dispatcher.cpp: configuration and state.
  const TeamConfig *findTeam(const TeamId &team) const;
  const UpstreamConfig &upstreamConfig(const UpstreamId &upstream) const;
  const TierConfig &tierConfig(const DispatchRequest &request) const;
  bool isEligible(const TeamConfig &team, const UpstreamConfig &it) const;
  void returnSlot(const EndedAttempt &end, Time now);
  void returnDelayedSlots(Time now);
  void rebuildUpstreamLists(const ServiceId &id, Service &service);
  HomeRight homeRight(const Service &service, const UpstreamId &upstream,
                      Time now) const;
  int freeSlotCount(const Service &service, const UpstreamId &upstream,
                    Time now) const;

  // dispatcher_place.cpp: choice of the upstream or router.
  void assignTarget(RequestId id, Time now);
  void routeToKeyOwner(RequestId id, Service &service, Time now);
  void routeToAnyUpstream(RequestId id, Service &service, Time now);
  std::variant<OwnerTarget, Reason> findOwner(const Service &service,
                                              const DispatchRequest &request,
                                              Time now) const;
  std::optional<UpstreamId> chooseLocalUpstream(const Service &service,
                                                const DispatchRequest &request,
                                                Time now) const;
  /// @return this router as a peer, with its local upstreams
  HomePeer selfAsPeer(const Service &service) const;
  const HomePeer *choosePeer(const Service &service,
                             const std::vector<HomePeer> &peers,
                             const DispatchRequest &request, Time now);
  void startLocalAttempt(RequestId id, Service &service,
                         const UpstreamId &upstream,
                         std::optional<GrantedUnit> unit, bool isHedge,
                         Time now);
  void startForwardedAttempt(RequestId id, Service &service,
                             const HomePeer &peer, const UpstreamId &upstream,
                             bool isHedge, Time now);
  void recordAttemptStart(RequestId id, Service &service, Attempt attempt,
                          AttemptTarget target, bool isHedge);

  // dispatcher_wait.cpp: waiting requests and hedges.
  void enqueue(RequestId id, Service &service, const QueueId &queueId,
               Time now);
  void holdRequest(RequestId id, Service &service, Reason why);
  void stopWaiting(RequestId id);
  bool isLastSlot(const Service &service, const QueueId &queueId,
                  Time now) const;
  void startQueued(const QueueId &queueId, Time now);
  void startAllQueued(Time now);
  void retryHeldRequests(Time now);
  void refuseExpired(Time now);
  void startDueHedges(Time now);
  void startHedge(RequestId id, Service &service, Time now);
  void refuse(RequestId id, Reason why, Duration retryAfter);
  Duration expectedWait(const Service &service, const QueueId &queueId,
                        std::size_t ahead) const;
  void requestLeases(Time now);

  VmId Self;
  std::optional<RouterIdentity>
      LeaseIdentity; ///< set when home leases are enabled
  bool IsLeaving = false;
  std::mt19937_64 Random;
  std::shared_ptr<const Configuration> Config;
  HomeDirectory Homes;
  std::map<ServiceId, Service> Services;
  std::map<UpstreamId, UpstreamSlots> Slots;
  /// Time since when each ineligible upstream is drained or its failure domain
  /// is taken out.
  std::map<UpstreamId, Time> IneligibleSince;
  absl::flat_hash_map<RequestId, Request> Requests;
  absl::flat_hash_map<AttemptId, Attempt> Attempts;
  /// Slots of cancelled or timed out attempts, by time of their reuse.
  std::multimap<Time, EndedAttempt> DelayedSlotReturns;
  std::map<QueueId, TierQueue> Queues;
  std::vector<RequestId> Held;
  /// Queued and held requests, by the time when they are refused.
  std::set<std::pair<Time, RequestId>> WaitDeadlines;
  std::uint64_t NextAttempt = 1;
  DispatchCounters Counters;
  std::vector<DispatchDecision> Decisions;
};

} // namespace waxwing

#endif
