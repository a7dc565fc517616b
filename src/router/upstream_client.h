/**
 * @file upstream_client.h
 * HTTP client for upstreams and other routers: sends attempts and reports their
 * outcomes, on its own thread.
 */
#ifndef WAXWING_ROUTER_UPSTREAM_CLIENT_H
#define WAXWING_ROUTER_UPSTREAM_CLIENT_H

#include "core/bounded_ring.h"
#include "net/http_client.h"
#include "traffic/router_core_type.h"

#include <absl/container/flat_hash_map.h>
#include <deque>

namespace waxwing {

/// Commands from the decision thread.
using UpstreamCommand = std::variant<StartAttempt, CancelAttempt, ProbeUpstream,
                                     CloseIdleConnections>;

/// Maximum number of attempts in flight, and the capacity of their result ring.
constexpr std::size_t AttemptLimit = 16384;
/// Maximum number of connections to one other router.
constexpr std::size_t MaxForwardConnections = 1024;
/// Capacity of the rings of probe results and of closed connections.
constexpr std::size_t ProbeRingCapacity = 1024;

/// Sends attempts, each of which is one try of a caller's request at an
/// upstream or another router. Runs on its own thread; only commands() may be
/// used from the decision thread.
class UpstreamClient {
public:
  /// @param connections maximum number of connections to one endpoint
  /// @param wakeDecisionThread called after a result was pushed to a ring
  UpstreamClient(std::size_t connections,
                 std::function<void()> wakeDecisionThread);

  /// Filled by the decision thread.
  BoundedRing<UpstreamCommand> &commands() { return Commands; }
  /// Consumed by the decision thread.
  BoundedRing<AttemptEnded> &attemptResults() { return AttemptResults; }
  /// Consumed by the decision thread.
  BoundedRing<UpstreamProbed> &probeResults() { return ProbeResults; }
  /// Consumed by the decision thread.
  BoundedRing<LastConnectionClosed> &closedConnections() {
    return ClosedConnections;
  }
  void stop() { Io.stop(); }

private:
  /// An attempt in flight.
  struct InFlightAttempt {
    /// Id given by the HttpClient that sends the request.
    std::uint64_t ClientId = 0;
    Endpoint To;
    std::string WireId; ///< request id that the response must repeat
    bool IsForwarded = false;
  };

  HttpClient &clientOf(const InFlightAttempt &exchange) {
    return exchange.IsForwarded ? ForwardClient : DirectClient;
  }
  void execute(StartAttempt attempt);
  void execute(const CancelAttempt &attempt);
  void execute(const ProbeUpstream &probe);
  void execute(const CloseIdleConnections &command);
  void handleOutcome(AttemptId attempt, HttpOutcome outcome);
  /// Tells the upstream to abandon a request that is no longer needed.
  void notifyCancelled(const InFlightAttempt &exchange);
  void reportResult(AttemptEnded end);
  void flushUnreportedResults();

  IoThread Io{"upstreams"};
  HttpClient DirectClient;
  HttpClient ForwardClient; ///< for requests forwarded to other routers
  BoundedRing<UpstreamCommand> Commands;
  BoundedRing<AttemptEnded> AttemptResults;
  BoundedRing<UpstreamProbed> ProbeResults;
  BoundedRing<LastConnectionClosed> ClosedConnections;
  absl::flat_hash_map<AttemptId, InFlightAttempt> InFlightAttempts;
  /// Results that did not fit into AttemptResults because it was full.
  std::deque<AttemptEnded> UnreportedResults;
  std::string WireIdPrefix; ///< makes wire ids unique among routers
};

} // namespace waxwing

#endif
