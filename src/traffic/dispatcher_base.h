/**
 * @file dispatcher_base.h
 * Decides where and when attempts go: owners, homes, slots, tiers, warm-up
 * and hedges. A state machine without I/O inside RouterCore.
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

/// Every submitted request is followed by one DispatchStart or one
/// DispatchRefusal, unless it is withdrawn first; hedges follow the start.
///
/// Invariants: a request waits in at most one placeRequest (a tier queue or the
/// held requests) and never past its deadline; attempts at an upstream are
/// started only by its home, never more than its slots.
class Dispatcher {
public:
  /// @param self this router's VM
  Dispatcher(VmId self, std::uint64_t seed);

  void configure(std::shared_ptr<const Configuration> config, Time now);
  void setOwners(std::shared_ptr<const OwnershipRecord> owners, Time now);

  /// The last connection to an upstream was closed by it; it may have
  /// restarted, so nothing is known of its warmth.
  void onPeerClosed(const Endpoint &address);

  /// See RouterCore::leaseHomes().
  void leaseHomes(const RouterIdentity &self);
  void setHomes(std::shared_ptr<const HomesUpdate> homes, Time now);
  void applyLeaseResponse(const HomeLeaseResponse &response, Time now);
  /// The router shuts down: its homes are given back as they fall idle.
  void releaseHomes();
  /// @return whether this router is the home of @p resource now
  bool isHomeHere(const ServiceId &service, const HomeResource &resource,
                  Time now) const;
  /// @return since when this router is the home without a gap
  std::optional<Time> homeHeldSince(const ServiceId &service,
                                    const HomeResource &resource,
                                    Time now) const;
  /// @return where the home is published to be, or nullptr
  const HomeAssignment *findHome(const ServiceId &service,
                                 const HomeResource &resource) const {
    return Homes.find(service, resource);
  }

  void submit(const DispatchRequest &request, Time now);
  /// The request needs no (further) attempt; does nothing when unknown.
  void withdraw(RequestId request, Time now);
  /// Returns an attempt's slot and learns from its end.
  /// @param why None when the upstream answered
  void endAttempt(AttemptId attempt, Reason why, Time now);
  void tick(Time now);

  /// @return decisions made since the last call, in their order
  std::vector<DispatchDecision> takeDecisions();
  const DispatchCounters &counters() const { return Counters; }

private:
  /// Where a request waits.
  enum class WaitPlace : std::uint8_t { Nowhere, Queue, Held };
  /// Requests that wait for the same slots: those of one upstream of a
  /// service divided by key, or of all own upstreams of another.
  using QueueId = std::variant<ServiceId, UpstreamId>;

  struct Request {
    DispatchRequest Spec;
    WaitPlace Place = WaitPlace::Nowhere;
    QueueId Queue;                    ///< when in a queue
    Reason HoldReason = Reason::None; ///< when held
    bool WasHeld = false;
    std::vector<AttemptId> Attempts;    ///< without an end
    std::optional<Time> HedgeStartedAt; ///< of the attempt to be hedged
  };

  struct Attempt {
    RequestId Request;
    ServiceId Service;
    VmId Router; ///< that it goes through, or this one
    std::optional<UpstreamId>
        LocalUpstream; ///< set when this router is the home
    std::optional<GrantedUnit> Unit;
    std::uint64_t ColdStarts = 0;
    Time StartedAt;
  };

  /// An attempt given up here that its upstream may still run.
  struct EndedAttempt {
    UpstreamId Upstream;
    ServiceId Service;
    Reason Why;
    std::uint64_t ColdStarts;
    Duration Latency;
  };

  struct Service {
    const ServiceConfig *Config = nullptr;
    std::vector<UpstreamId> EligibleUpstreams; ///< may get new work
    std::vector<UpstreamId> LocalUpstreams;    ///< those with a home here
    std::vector<HomePeer> Peers;               ///< homes at other routers
    std::optional<HomeLeaseClient> LeaseClient;
    PeerLoads Loads;
    HedgeBudget Hedges;
    std::set<std::pair<Time, RequestId>> Hedgeable;
    std::map<TierId, TierThrottle> Throttles;
    std::map<TierId, std::size_t> HeldCounts;
    std::shared_ptr<const OwnershipRecord> Owners;
    std::map<OwnedUnit, std::pair<Token, Time>>
        RefusedUnits; ///< refused lately
  };

  /// Where a key's requests go.
  struct KeyTarget {
    UpstreamId Upstream;
    GrantedUnit Unit;
  };

  // dispatcher.cpp: what is known.
  const TeamConfig *findTeam(const TeamId &team) const;
  const UpstreamConfig &upstreamConfig(const UpstreamId &upstream) const;
  const TierConfig &tierConfig(const DispatchRequest &request) const;
  bool isEligible(const TeamConfig &team, const UpstreamConfig &it) const;
  void returnSlot(const EndedAttempt &end, Time now);
  void returnDelayedSlots(Time now);
  void rebuildUpstreamLists(const ServiceId &id, Service &service);
  HomeRight homeRight(const Service &service, const UpstreamId &upstream,
                      Time now) const;
  int freeSlots(const Service &service, const UpstreamId &upstream,
                Time now) const;

  // dispatcher_place.cpp: the choice of a placeRequest.
  void placeRequest(RequestId id, Time now);
  void placeKeyed(RequestId id, Service &service, Time now);
  void placeUnkeyed(RequestId id, Service &service, Time now);
  std::variant<KeyTarget, Reason> findOwner(const Service &service,
                                            const DispatchRequest &request,
                                            Time now) const;
  std::optional<UpstreamId> chooseLocalUpstream(const Service &service,
                                                const DispatchRequest &request,
                                                Time now) const;
  /// This router as a peer, with the service's own upstreams.
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
  void recordStart(RequestId id, Service &service, Attempt attempt,
                   AttemptTarget target, bool isHedge);

  // dispatcher_wait.cpp: requests that wait, and hedges.
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
  std::optional<RouterIdentity> LeaseIdentity; ///< set when homes are leased
  bool IsLeaving = false;
  std::mt19937_64 Random;
  std::shared_ptr<const Configuration> Config;
  HomeDirectory Homes;
  std::map<ServiceId, Service> Services;
  std::map<UpstreamId, UpstreamSlots> Slots;
  std::map<UpstreamId, Time> IneligibleSince;
  absl::flat_hash_map<RequestId, Request> Requests;
  absl::flat_hash_map<AttemptId, Attempt> Attempts;
  std::multimap<Time, EndedAttempt> DelayedSlotReturns;
  std::map<QueueId, TierQueue> Queues;
  std::vector<RequestId> Held;
  std::set<std::pair<Time, RequestId>> WaitDeadlines;
  std::uint64_t NextAttempt = 1;
  DispatchCounters Counters;
  std::vector<DispatchDecision> Decisions;
};

} // namespace waxwing

#endif
