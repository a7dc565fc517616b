/**
 * @file router_core_type.h
 * Events and actions of the router's decisions: one caller's request
 * becomes attempts at upstreams or at other routers, and one answer.
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

/// Cause a router forwards a request to another one.
enum class ForwardPurpose : std::uint8_t {
  UpstreamHome,    ///< the other router is the home of the upstream
  IdempotencyHome, ///< the other router remembers the idempotency key
};

/// A request as the edge read it.
struct CallerRequest {
  RequestId Id;
  TeamId Team;
  ServiceId Service; ///< "team/name"
  std::string Key;   ///< "" when the path names none
  std::string CallerKeySha256;
  std::optional<std::string> IdempotencyKey;
  bool IsIdempotent = false;    ///< by its method
  std::optional<Time> Deadline; ///< stated by the caller
  /// Set when another router forwarded the request: the caller's tier, which
  /// that router has checked.
  std::optional<TierId> ForwardedTier;
  ForwardPurpose ForwardedFor = ForwardPurpose::UpstreamHome;
  CallerId ForwardedCaller; ///< valid with ForwardedTier
  WallTime ArrivedAt;
  std::uint64_t ContentHash = 0; ///< hash of method, target and body
  std::shared_ptr<const HttpRequest> Message; ///< as sent to upstreams
};

/// The caller's connection is gone; nobody waits for the answer.
struct CallerDisconnected {
  RequestId Request;
};

/// An attempt came to its end.
struct AttemptEnded {
  AttemptId Attempt;
  Reason Cause = Reason::None;             ///< None: an upstream's whole answer
  Verdict ExecutionVerdict = Verdict::Ran; ///< of this attempt
  Duration RetryAfter{};                   ///< stated by a refusal
  std::uint64_t ConnectionId = 0;          ///< 0: no connection
  HttpResponse Response;                   ///< valid when Cause is None
};

/// The configuration in force changed.
struct ConfigurationChanged {
  std::shared_ptr<const Configuration> Config;
};

/// Owners of a service's keys changed.
struct OwnersChanged {
  std::shared_ptr<const OwnershipRecord> Record;
};

/// The homes of a service's upstreams and partitions changed.
struct HomesChanged {
  std::shared_ptr<const HomesUpdate> Homes;
};

/// The leader of a service answered this router's question.
struct HomeLeasesReceived {
  HomeLeaseResponse Response;
};

/// A probe of an upstream over a new connection ended.
struct UpstreamProbed {
  UpstreamId Upstream;
  bool IsAnswered = false;
  bool IsRefused = false; ///< nothing listens there
  Time SentAt;
};

/// Another router saw upstreams die with requests in flight.
struct CrashReportsReceived {
  std::vector<CrashReport> Reports;
};

/// The last connection to an endpoint was closed by its peer while idle.
struct LastConnectionClosed {
  Endpoint Address;
};

/// Time passed.
struct RouterTick {
  WallTime Wall;
};

/// This router takes no more requests; those in flight go on.
struct DrainStarted {};

using RouterEvent =
    std::variant<CallerRequest, CallerDisconnected, AttemptEnded,
                 ConfigurationChanged, OwnersChanged, HomesChanged,
                 HomeLeasesReceived, UpstreamProbed, LastConnectionClosed,
                 CrashReportsReceived, RouterTick, DrainStarted>;

/// Attempts at the home of an idempotency key have ids from here on; those
/// of the dispatcher are below.
constexpr std::uint64_t FirstSend = 1ull << 63;

/// @return whether the dispatcher does not know @p attempt
inline bool isSend(AttemptId attempt) { return attempt.Value >= FirstSend; }

/// Send a request to an upstream.
struct UpstreamTarget {
  UpstreamId Upstream;
  Endpoint Address;
  std::optional<GrantedUnit> Owned; ///< for services divided by key
  KeyHash Key;
};

/// Forward a request to another router.
struct RouterTarget {
  VmId Router;
  Endpoint Address;
  TierId Tier;
  UpstreamId Upstream; ///< that the request is for; empty when any will do
  ForwardPurpose Purpose = ForwardPurpose::UpstreamHome;
};

using AttemptTarget = std::variant<UpstreamTarget, RouterTarget>;

struct StartAttempt {
  AttemptId Attempt;
  RequestId Request;
  AttemptTarget Target;
  Time Deadline;
  CallerId Caller;
  std::shared_ptr<const HttpRequest> Message;
};

/// Give an attempt up; AttemptEnded follows.
struct CancelAttempt {
  AttemptId Attempt;
};

/// The one answer to a caller's request.
struct SendResponse {
  RequestId Request;
  Reason Cause = Reason::None;
  Verdict ExecutionVerdict = Verdict::Ran;
  Duration RetryAfter{}; ///< stated when ExecutionVerdict is NotRun
  HttpResponse Response; ///< the upstream's when Cause is None
  std::string Detail;    ///< told beside the reason; may be empty
};

/// Send a question about home leases to the leader of its service.
struct SendHomeLeaseRequest {
  HomeLeaseRequest Request;
};

/// Request an upstream for its status over a new connection; UpstreamProbed
/// follows.
struct ProbeUpstream {
  UpstreamId Upstream;
  Endpoint Address;
};

/// Close idle connections to the attempt's address that brought no answer
/// since the attempt began.
struct CloseIdleConnections {
  AttemptId Attempt;
  Time StartedAt;
};

/// Tell all routers.
struct BroadcastCrashReports {
  std::vector<CrashReport> Reports;
};

/// Rates of a service's most requested keys whose owners have their home
/// here; goes to the service's leader.
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
