/**
 * @file router_core_base.h
 * The router's decisions as one state machine without I/O.
 */
#ifndef WAXWING_TRAFFIC_ROUTER_CORE_BASE_H
#define WAXWING_TRAFFIC_ROUTER_CORE_BASE_H

#include "metrics/reason_counters.h"
#include "traffic/connection_health_base.h"
#include "traffic/crasher_detector_base.h"
#include "traffic/dispatcher_base.h"
#include "traffic/hot_key_sketch_base.h"
#include "traffic/idempotency_home_base.h"
#include "traffic/idempotency_memory_base.h"
#include "traffic/retry_budget_base.h"
#include "traffic/retry_type.h"
#include "traffic/router_core_type.h"

#include <absl/container/flat_hash_map.h>
#include <atomic>
#include <map>
#include <memory>
#include <set>

namespace waxwing {

/// Requests that may wait for owners, homes or an upstream's return.
constexpr std::size_t PausedRequestLimit = 4096;
/// A draining router serves requests on open connections this long.
constexpr Duration DrainGrace = seconds(1);

/// Every CallerRequest is followed by exactly one SendResponse.
class RouterCore {
public:
  /// @param self this router's VM
  /// @param seed of all random choices
  RouterCore(const VmId &self, std::uint64_t seed);
  RouterCore(const RouterCore &) = delete;
  RouterCore &operator=(const RouterCore &) = delete;

  /// Remembers idempotency keys from now on; without this call none is
  /// remembered, and each request runs once for each time it is sent.
  /// @param homes outlives the core
  void enableIdempotencyKeys(const IdempotencyHomes &homes) { Homes = &homes; }
  /// From now on only homes that are leased to this process are its own;
  /// without this call the router is alone and the home of everything.
  void leaseHomes(const RouterIdentity &self) { Dispatch.leaseHomes(self); }

  /// As enableIdempotencyKeys(homes), with the homes that leaseHomes() leases.
  void enableIdempotencyKeys() { Homes = &Leased; }

  /// Takes one event.
  /// @param now this process's clock, never before an earlier now
  /// @return what to do, in this order
  std::vector<RouterAction> handle(RouterEvent event, Time now);

  /// @return requests without an answer yet
  std::size_t requestsInFlight() const { return Requests.size(); }
  /// @return refusals and failures told to callers, by reason
  const ReasonCounters &responseCounters() const { return Answers; }
  /// @return the dispatcher's events
  const DispatchCounters &dispatchCounters() const {
    return Dispatch.counters();
  }
  /// @return ends of attempts, by reason
  const ReasonCounters &attemptCounters() const { return AttemptEnds; }
  /// @return retries, by the reason that caused them
  const ReasonCounters &retryCounters() const { return Retries; }
  /// @return retries that were not made, by the reason that forbade them
  const ReasonCounters &retryRefusalCounters() const { return RetryRefusals; }
  const IdempotencyMemory &memory() const { return Memory; }
  /// @return connections found silent
  std::uint64_t silentConnections() const { return SilentFound; }

private:
  /// What a request is to its idempotency key.
  enum class KeyRole : std::uint8_t {
    None,   ///< no key, or not decided yet
    Sender, ///< sends it to the key's home
    Runner, ///< runs it here, the key's home
    Waiter, ///< waits for the runner's answer
  };

  /// A caller's request until its answer.
  struct RequestState {
    CallerRequest Request;
    TierId Tier;
    CallerId Caller;
    Time Deadline;
    bool IsOwned = false;          ///< its service is divided by key
    std::vector<AttemptId> Live;   ///< attempts that have not ended
    std::vector<UpstreamId> Avoid; ///< upstreams that failed it
    int AttemptsMade = 0;          ///< hedges not counted
    int PausesMade = 0;
    std::size_t LossesMade = 0; ///< attempts whose connection broke
    RequestFingerprint Fingerprint;
    Reason MayHaveRunBy = Reason::None; ///< first end that proved nothing
    std::optional<Time> ResumeAt;       ///< paused until then
    std::optional<IdempotencyKey> Key;  ///< when its key is remembered
    WallTime IssuedAt;                  ///< of Key
    KeyRole Role = KeyRole::None;
    std::string Detail;      ///< told with a refusal
    bool IsAnswered = false; ///< its caller is gone, but its key still runs
  };

  /// An attempt until its end, which may come after its request's answer.
  struct AttemptState {
    RequestId Request;
    std::optional<UpstreamId> Upstream; ///< none when forwarded
    Time StartedAt;
    RequestFingerprint Fingerprint;
    bool IsSilent = false; ///< given up because its connection is silent
  };

  /// Who asks, and with which share.
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

  /// Looks at connections and upstreams that may be dead.
  void checkHealth(Time now);
  void probe(const UpstreamId &upstream, Time now);
  /// What an attempt's end tells of its upstream and its request.
  void learnFromEnd(const AttemptState &attempt, AttemptEnded &event, Time now);
  /// @return whether the request may run at the upstream now: neither
  ///   suspected of crashes nor beside another that may be the cause
  bool isSafeAt(RequestState &request, const UpstreamId &upstream, Time now);
  std::optional<Endpoint> addressOf(const UpstreamId &upstream) const;
  DomainId domainOf(const UpstreamId &upstream) const;

  /// @return who asks, or the reason of the refusal
  std::variant<Admission, Reason> admit(const CallerRequest &request,
                                        Time now) const;
  void reportHotKeys(Time now);
  void carryOutDecisions(Time now);
  void carryOut(DispatchStart &decision, Time now);
  void carryOut(DispatchRefusal &decision, Time now);
  void carryOut(DispatchLeaseRequest &decision, Time now);

  /// @return whether another router chose this one for the upstream
  static bool isForwardedHere(const RequestState &request);
  /// Takes a request, or takes it up again: at the home of its key, or here.
  void proceed(RequestState &request, Time now);
  /// Reads the request's key; refuses it when that is malformed.
  /// @return whether the request may go on
  bool readKey(RequestState &request, Time now);
  void proceedWithKey(RequestState &request, Time now);
  void beginKey(RequestState &request, WallTime heldSince, Time now);
  void sendToHome(RequestState &request, RouterTarget home, Time now);
  /// Notes leases of partitions soon after they begin, so that few keys are
  /// too old for them.
  void notePartitions(Time now);
  /// @return civil time when this router first noted the lease
  WallTime noteHeldSince(const ServiceId &service, PartitionId partition,
                         Time since);
  void submit(RequestState &request, Time now);
  /// An attempt failed, or no attempt could be started.
  /// @param retryAfter what a refusal states
  void fail(RequestState &request, Reason why, Duration retryAfter, Time now);
  void pause(RequestState &request, Time until);
  void resume(RequestState &request, Time now);
  void resumeAfterOwners(const ServiceId &service, Time now);
  /// Ends the request with a failure; says "not run" only when no attempt
  /// of it may have run.
  void refuse(RequestState &request, Reason why, Duration retryAfter, Time now);
  /// As refuse(), saying more to the caller.
  void refuseKey(RequestState &request, Reason why, std::string_view detail,
                 Time now);
  /// The request under its key ended: tells those that wait for it.
  void finishKey(const RequestState &request, const SendResponse &answer,
                 Time now);
  /// Ends the request: cancels what is left of it and responseCounters.
  void settle(RequestState &request, SendResponse answer, Time now);
  const TeamConfig *findTeam(const TeamId &team) const;

  Dispatcher Dispatch;
  std::optional<Time> RefuseFrom; ///< set while draining
  std::shared_ptr<const Configuration> Config;
  absl::flat_hash_map<RequestId, std::unique_ptr<RequestState>> Requests;
  absl::flat_hash_map<AttemptId, AttemptState> Attempts;
  std::set<std::pair<Time, RequestId>> Paused; ///< index of ResumeAt
  RetryBudget Budget;
  LeasedHomes Leased;
  const IdempotencyHomes *Homes = nullptr;
  IdempotencyMemory Memory;
  /// Leases of partitions: their start, and civil time when it was noted.
  std::map<std::pair<ServiceId, PartitionId>, std::pair<Time, WallTime>>
      HeldPartitions;
  Time PartitionsNotedAt;
  CrasherDetector Suspects;
  ConnectionHealth Health;
  std::map<UpstreamId, Time> ProbedAt;
  std::atomic<std::uint64_t> SilentFound{0};
  std::uint64_t NextSend = 1; ///< counts attempts at homes of keys
  std::map<ServiceId, HotKeySketch> HotKeys; ///< of attempts made here
  Time NextHotKeysReport;
  ReasonCounters Answers;
  ReasonCounters AttemptEnds;
  ReasonCounters Retries;
  ReasonCounters RetryRefusals;
  std::vector<RouterAction> Actions;
};

} // namespace waxwing

#endif
