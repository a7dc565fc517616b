/**
 * @file router_core_type.h
 * Events and actions of RouterCore. Each caller's request leads to attempts at
 * upstreams or other routers and to exactly one response.
 */
#ifndef WAXWING_TRAFFIC_ROUTER_CORE_TYPE_H
#define WAXWING_TRAFFIC_ROUTER_CORE_TYPE_H

#include "config/team_config_base.h"
#include "core/verdict_type.h"
#include "net/http_type.h"
#include "ownership/ownership_record_base.h"
#include "traffic/crash_report_type.h"
#include "traffic/home_type.h"

#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace waxwing {

/// Why a router forwards a request to another one.
enum class ForwardPurpose : std::uint8_t {
  UpstreamHome,    ///< the other router is the home of the upstream
  IdempotencyHome, ///< the other router is the home of the idempotency key
};

/// A parsed request of a caller.
struct CallerRequest {
  RequestId Id;
  TeamId Team;
  ServiceId Service; ///< "team/name"
  std::string Key;   ///< "" when the path has no key
  std::string CallerKeySha256;
  std::optional<std::string> IdempotencyKey;
  bool IsIdempotent = false;    ///< whether its HTTP method is idempotent
  std::optional<Time> Deadline; ///< requested by the caller
  /// Tier of the caller, verified by the router that forwarded the request;
  /// unset when the request came directly from the caller.
  std::optional<TierId> ForwardedTier;
  ForwardPurpose ForwardedFor = ForwardPurpose::UpstreamHome;
  CallerId ForwardedCaller; ///< valid when ForwardedTier is set
  WallTime ArrivedAt;
  std::uint64_t ContentHash = 0; ///< hash of method, target and body
  std::shared_ptr<const HttpRequest> Message; ///< as sent to upstreams
};

/// The caller closed its connection; nobody waits for the response.
struct CallerDisconnected {
  RequestId Request;
};

/// An attempt ended with a response, a refusal or a failure.
struct AttemptEnded {
  AttemptId Attempt;
  Reason Cause = Reason::None; ///< None: a complete response arrived
  /// Whether this attempt executed the request.
  Verdict ExecutionVerdict = Verdict::Ran;
  Duration RetryAfter{};          ///< delay requested by a refusal
  std::uint64_t ConnectionId = 0; ///< 0: no connection
  HttpResponse Response;          ///< valid when Cause is None
};

/// The configuration in force changed.
struct ConfigurationChanged {
  std::shared_ptr<const Configuration> Config;
};

/// Owners of a service's keys changed.
struct OwnersChanged {
  std::shared_ptr<const OwnershipRecord> Record;
};

/// The homes of a service's upstreams and partitions of idempotency keys (the
/// routers that hold the home leases) changed.
struct HomesChanged {
  std::shared_ptr<const HomesUpdate> Homes;
};

/// The leader of a service answered this router's home lease request.
struct HomeLeasesReceived {
  HomeLeaseResponse Response;
};

/// A probe of an upstream over a new connection ended.
struct UpstreamProbed {
  UpstreamId Upstream;
  bool IsAnswered = false;
  bool IsRefused = false; ///< the connection was refused
  Time SentAt;
};

/// Another router reported upstreams that crashed with requests in flight.
struct CrashReportsReceived {
  std::vector<CrashReport> Reports;
};

/// The peer closed the last open connection to an endpoint while it was idle.
struct LastConnectionClosed {
  Endpoint Address;
};

/// Periodic event that advances timers.
struct RouterTick {
  WallTime Wall; ///< wall-clock time of this VM
};

/// The router starts to drain. It refuses new requests after DrainGrace;
/// requests in flight continue.
struct DrainStarted {};

using RouterEvent =
    std::variant<CallerRequest, CallerDisconnected, AttemptEnded,
                 ConfigurationChanged, OwnersChanged, HomesChanged,
                 HomeLeasesReceived, UpstreamProbed, LastConnectionClosed,
                 CrashReportsReceived, RouterTick, DrainStarted>;

/// Lowest id of an attempt that forwards a request to the home of its
/// idempotency key. The dispatcher uses the ids below for its attempts.
constexpr std::uint64_t FirstKeyHomeAttemptId = 1ull << 63;

/// @return whether @p attempt forwards a request to the home of its
///   idempotency key; the dispatcher does not track such attempts
inline bool isForwardToKeyHome(AttemptId attempt) {
  return attempt.Value >= FirstKeyHomeAttemptId;
}

/// Target of an attempt that sends the request to an upstream.
struct UpstreamTarget {
  UpstreamId Upstream;
  Endpoint Address;
  /// Unit (shard, or key split off from its shard) that holds the key, and its
  /// fencing token; set when the service is divided by key.
  std::optional<GrantedUnit> Owned;
  KeyHash Key;
};

/// Target of an attempt that forwards the request to another router.
struct RouterTarget {
  VmId Router;
  Endpoint Address;
  TierId Tier;
  UpstreamId Upstream; ///< required upstream; empty when any may serve it
  ForwardPurpose Purpose = ForwardPurpose::UpstreamHome;
};

using AttemptTarget = std::variant<UpstreamTarget, RouterTarget>;

/// Start an attempt; AttemptEnded follows.
struct StartAttempt {
  AttemptId Attempt;
  RequestId Request;
  AttemptTarget Target;
  Time Deadline;
  CallerId Caller;
  std::shared_ptr<const HttpRequest> Message;
};

/// Cancel an attempt; AttemptEnded follows.
struct CancelAttempt {
  AttemptId Attempt;
};

/// Send the response to a caller's request, once for each request.
struct SendResponse {
  RequestId Request;
  Reason Cause = Reason::None;
  Verdict ExecutionVerdict = Verdict::Ran;
  Duration RetryAfter{}; ///< set when ExecutionVerdict is NotRun
  HttpResponse Response; ///< of the upstream; valid when Cause is None
  std::string Detail;    ///< explains Cause to the caller; may be empty
};

/// Send a home lease request to the leader of its service.
struct SendHomeLeaseRequest {
  HomeLeaseRequest Request;
};

/// Probe an upstream's status over a new connection; UpstreamProbed follows.
struct ProbeUpstream {
  UpstreamId Upstream;
  Endpoint Address;
};

/// Close idle connections to the attempt's address that have received no
/// response since the attempt started.
struct CloseIdleConnections {
  AttemptId Attempt;
  Time StartedAt;
};

/// Send crash reports to all routers.
struct BroadcastCrashReports {
  std::vector<CrashReport> Reports;
};

/// Send the service's leader the rates of its most requested keys, of those
/// whose owners have this router as their home.
struct HotKeysReport {
  ServiceId Service;
  std::map<KeyHash, double> Rates; ///< requests per second
};

using RouterAction =
    std::variant<StartAttempt, CancelAttempt, SendResponse,
                 SendHomeLeaseRequest, ProbeUpstream, CloseIdleConnections,
                 BroadcastCrashReports, HotKeysReport>;

} // namespace waxwing

#endif
