/**
 * @file router_core_base.h
 * Request handling of the router as a state machine without I/O.
 */
#ifndef WAXWING_TRAFFIC_ROUTER_CORE_BASE_H
#define WAXWING_TRAFFIC_ROUTER_CORE_BASE_H

#include "metrics/reason_counters.h"
#include "traffic/connection_health_base.h"
#include "traffic/crasher_detector_base.h"
#include "traffic/dispatcher_base.h"
#include "traffic/hot_key_sketch_base.h"
#include "traffic/idempotency_home_base.h"
#include "traffic/idempotency_records_base.h"
#include "traffic/retry_budget_base.h"
#include "traffic/retry_type.h"
#include "traffic/router_core_type.h"

#include <absl/container/flat_hash_map.h>
#include <atomic>
#include <map>
#include <memory>
#include <set>

namespace waxwing {

/// Maximum number of requests that wait for owners, homes or an upstream.
constexpr std::size_t PausedRequestLimit = 4096;
/// A draining router still accepts requests on open connections for this long.
constexpr Duration DrainGrace = seconds(1);

/// Admits requests, dispatches and retries attempts, and produces the
/// responses to callers. Takes events and returns actions.
/// Invariant: each CallerRequest is followed by exactly one SendResponse.
class RouterCore {
public:
  /// @param self this router's VM
  /// @param seed seeds the random number generator
  RouterCore(const VmId &self, std::uint64_t seed);
  RouterCore(const RouterCore &) = delete;
  RouterCore &operator=(const RouterCore &) = delete;

  /// Enables deduplication by idempotency key. Without this call keys are
  /// ignored, and a request may run each time it is sent.
  /// @param homes must outlive this object
  void enableIdempotencyKeys(const IdempotencyHomes &homes) { Homes = &homes; }
  /// Enables home leases: this router is then the home of only those upstreams
  /// and partitions that are leased to this process. Without this call it
  /// treats itself as the home of all of them.
  void leaseHomes(const RouterIdentity &self) { Dispatch.leaseHomes(self); }

  /// Enables deduplication with the homes that are leased by leaseHomes().
  void enableIdempotencyKeys() { Homes = &LeasedHomes; }

  /// Processes one event.
  /// @param now time of this process's clock, never decreasing
  /// @return actions to perform, in this order
  std::vector<RouterAction> handle(RouterEvent event, Time now);

  /// @return number of requests without a response
  std::size_t requestsInFlight() const { return Requests.size(); }
  /// @return counts of responses to callers by reason
  const ReasonCounters &responseCounters() const { return Responses; }
  /// @return counters of the dispatcher
  const DispatchCounters &dispatchCounters() const {
    return Dispatch.counters();
  }
  /// @return counts of ended attempts by reason
  const ReasonCounters &attemptCounters() const { return AttemptEnds; }
  /// @return counts of retries by the reason that caused them
  const ReasonCounters &retryCounters() const { return Retries; }
  /// @return counts of refused retries by the reason of the refusal
  const ReasonCounters &retryRefusalCounters() const { return RetryRefusals; }
  const IdempotencyRecords &idempotencyRecords() const { return KeyRecords; }
  /// @return number of connections found to receive no responses while their
  ///   upstream responds on others
  std::uint64_t silentConnections() const { return SilentConnections; }

private:
  /// How this router handles a request with an idempotency key.
  enum class KeyRole : std::uint8_t {
    None,      ///< no key, or not decided yet
    Forwarder, ///< forwards the request to the key's home
    Executor,  ///< runs the request here, at the key's home
    Waiter,    ///< waits for the response to a request with the same key
  };

  /// State of a caller's request until its response.
  struct RequestState {
    CallerRequest Request;
    TierId Tier;
    CallerId Caller;
    Time Deadline;
    bool IsOwned = false;            ///< each key of its service has an owner
    std::vector<AttemptId> InFlight; ///< attempts that have not ended
    std::vector<UpstreamId> Avoid;   ///< upstreams where attempts failed
    int AttemptsMade = 0;            ///< started attempts, not counting hedges
    int PausesMade = 0;              ///< how often the request was paused
    std::size_t LostConnections = 0; ///< attempts that lost the connection
    RequestFingerprint Fingerprint;
    /// Cause of the first failed attempt that may have run; None when all
    /// failed attempts are proven not to have run.
    Reason MayHaveRunCause = Reason::None;
    std::optional<Time> ResumeAt; ///< set while paused
    /// Idempotency key; set when the request is deduplicated.
    std::optional<IdempotencyKey> Key;
    WallTime IssuedAt; ///< time of issue of Key
    KeyRole Role = KeyRole::None;
    std::string Detail; ///< explains a refusal to the caller
    /// The response was sent when the caller disconnected, but the request
    /// continues because this router executes its idempotency key.
    bool IsAnswered = false;
  };

  /// State of an attempt until its end, which may follow its request's
  /// response.
  struct AttemptState {
    RequestId Request;
    /// Unset when the request was forwarded to another router.
    std::optional<UpstreamId> Upstream;
    Time StartedAt;
    RequestFingerprint Fingerprint;
    bool IsSilent = false; ///< cancelled because its connection is silent
  };

  /// Caller and tier of an admitted request.
  struct Admission {
    CallerId Caller;
    TierId Tier;
  };

  void on(CallerRequest &event, Time now);
  void on(CallerDisconnected &event, Time now);
  void on(AttemptEnded &event, Time now);
  void on(ConfigurationChanged &event, Time now);
  void on(OwnersChanged &event, Time now);
  void on(HomesChanged &event, Time now);
  void on(HomeLeasesReceived &event, Time now);
  void on(UpstreamProbed &event, Time now);
  void on(CrashReportsReceived &event, Time now);
  void on(LastConnectionClosed &event, Time now);
  void on(RouterTick &event, Time now);
  void on(DrainStarted &event, Time now);

  /// Probes upstreams that may have crashed, sends new crash reports, and
  /// handles silent connections.
  void checkHealth(Time now);
  /// Probes the upstream unless it was probed within ProbePeriod.
  void probe(const UpstreamId &upstream, Time now);
  void probeOthers(const UpstreamId &upstream, Time now);
  /// Updates connection health and crash detection with an attempt's end.
  /// Changes the cause when the attempt was cancelled for a silent connection.
  void recordEnd(const AttemptState &attempt, AttemptEnded &event, Time now);
  /// Checks whether an attempt may start at the upstream now. A suspected
  /// request is refused. A request that may have caused a crash is paused or
  /// refused while another such request runs at the upstream.
  /// @return whether the attempt may be started
  bool mayStartAttemptAt(RequestState &request, const UpstreamId &upstream,
                         Time now);
  std::optional<Endpoint> addressOf(const UpstreamId &upstream) const;
  DomainId domainOf(const UpstreamId &upstream) const;

  /// @return caller and tier, or the reason of the refusal
  std::variant<Admission, Reason> admit(const CallerRequest &request,
                                        Time now) const;
  void reportHotKeys(Time now);
  /// Turns the dispatcher's decisions into actions.
  void carryOutDecisions(Time now);
  void carryOut(DispatchStart &decision, Time now);
  void carryOut(DispatchRefusal &decision, Time now);
  void carryOut(DispatchLeaseRequest &decision, Time now);

  /// @return whether another router forwarded the request because this router
  ///   is the home of an upstream
  static bool isForwardedForUpstream(const RequestState &request);
  /// Starts or retries a request. One with an idempotency key is first handled
  /// at the key's home; others go to the dispatcher at once.
  void proceed(RequestState &request, Time now);
  /// Parses the request's idempotency key and refuses the request when the key
  /// is malformed.
  /// @return whether the request may proceed
  bool parseIdempotencyKey(RequestState &request, Time now);
  void routeByIdempotencyKey(RequestState &request, Time now);
  void processAtKeyHome(RequestState &request, WallTime leasedSince, Time now);
  /// Forwards the request to the home of its idempotency key.
  void forwardToHome(RequestState &request, RouterTarget home, Time now);
  /// Records leases of partitions soon after they start. Keys issued before
  /// the recorded time are refused, so a late record would refuse more keys.
  void recordPartitionLeases(Time now);
  /// Records the start of a lease.
  /// @return wall-clock time when this router first recorded the lease
  WallTime recordLeaseStart(const ServiceId &service, PartitionId partition,
                            Time since);
  void submitToDispatcher(RequestState &request, Time now);
  /// Retries, pauses or refuses a request after an attempt failed or none
  /// could be started.
  /// @param retryAfter retry delay of the refusal
  void fail(RequestState &request, Reason reason, Duration retryAfter,
            Time now);
  void pause(RequestState &request, Time until);
  void resume(RequestState &request, Time now);
  /// Resumes the service's paused requests after an update of its owners.
  void resumeAfterOwnersUpdate(const ServiceId &service, Time now);
  /// Ends the request with a failure. The verdict is NotRun only when no
  /// attempt of the request may have run.
  void refuse(RequestState &request, Reason reason, Duration retryAfter,
              Time now);
  /// Refuses the request with an explanation for the caller.
  void refuseWithDetail(RequestState &request, Reason reason,
                        std::string_view detail, Time now);
  /// Records the outcome of a request with an idempotency key and responds to
  /// the requests that wait for it.
  void recordKeyOutcome(const RequestState &request,
                        const SendResponse &response, Time now);
  /// Ends the request: cancels its attempts and sends the response.
  void finish(RequestState &request, SendResponse response, Time now);
  const TeamConfig *findTeam(const TeamId &team) const;

  Dispatcher Dispatch;
  /// A draining router refuses new requests from this time on.
  std::optional<Time> RefuseNewRequestsFrom;
  std::shared_ptr<const Configuration> Config;
  absl::flat_hash_map<RequestId, std::unique_ptr<RequestState>> Requests;
  absl::flat_hash_map<AttemptId, AttemptState> Attempts;
  /// Paused requests, ordered by the time when they resume.
  std::set<std::pair<Time, RequestId>> Paused;
  RetryBudget Budget;
  LeasedIdempotencyHomes LeasedHomes;
  const IdempotencyHomes *Homes = nullptr;
  IdempotencyRecords KeyRecords;
  /// Start of each partition's lease and the wall-clock time when it was
  /// recorded.
  std::map<std::pair<ServiceId, PartitionId>, std::pair<Time, WallTime>>
      PartitionLeases;
  Time PartitionLeasesRecordedAt;
  CrasherDetector Crashers;
  ConnectionHealth Health;
  std::map<UpstreamId, Time> ProbedAt;
  std::size_t NextControlProbe = 0; ///< rotates through the other upstreams
  std::atomic<std::uint64_t> SilentConnections{0};
  std::uint64_t NextKeyHomeAttempt = 1; ///< offset to FirstKeyHomeAttemptId
  /// Numbers of attempts started by this router, by service and key.
  std::map<ServiceId, HotKeySketch> HotKeys;
  Time NextHotKeysReport;
  ReasonCounters Responses;
  ReasonCounters AttemptEnds;
  ReasonCounters Retries;
  ReasonCounters RetryRefusals;
  std::vector<RouterAction> Actions;
};

} // namespace waxwing

#endif
