/**
 * @file upstream_port.h
 * The duty that meets upstreams and other routers: carries attempts out and
 * says how each ended.
 */
#ifndef WAXWING_ROUTER_UPSTREAM_PORT_H
#define WAXWING_ROUTER_UPSTREAM_PORT_H

#include "core/bounded_ring.h"
#include "net/http_client.h"
#include "traffic/router_core_type.h"

#include <absl/container/flat_hash_map.h>
#include <deque>

namespace waxwing {

/// What the decisions ask of the upstream port.
using PortCommand = std::variant<StartAttempt, CancelAttempt, ProbeUpstream,
                                 CloseIdleConnections>;

/// Attempts in flight at most; as many as the ring of their ends.
constexpr std::size_t AttemptLimit = 16384;
/// Connections to one other router at most.
constexpr std::size_t ForwardConnections = 1024;
/// Ends of probes that may wait for the decisions.
constexpr std::size_t ProbeLimit = 1024;

/// Used on its own thread, but for commands().
class UpstreamPort {
public:
  /// @param connections to one endpoint at most
  /// @param wakeDecisions called when ends wait in ends()
  UpstreamPort(std::size_t connections, std::function<void()> wakeDecisions);

  /// Filled by the decisions.
  BoundedRing<PortCommand> &commands() { return Commands; }
  /// Consumed by the decisions.
  BoundedRing<AttemptEnded> &ends() { return Ends; }
  /// Consumed by the decisions.
  BoundedRing<UpstreamProbed> &probes() { return Probes; }
  /// Consumed by the decisions.
  BoundedRing<LastConnectionClosed> &closings() { return Closings; }
  void stop() { Io.stop(); }

private:
  /// An attempt in flight.
  struct Exchange {
    std::uint64_t ClientId = 0;
    Endpoint To;
    std::string WireId; ///< that the answer must echo
    bool IsForwarded = false;
  };

  HttpClient &clientOf(const Exchange &exchange) {
    return exchange.IsForwarded ? Forwards : Client;
  }
  void carryOut(StartAttempt attempt);
  void carryOut(const CancelAttempt &attempt);
  void carryOut(const ProbeUpstream &probe);
  void carryOut(const CloseIdleConnections &drop);
  void finish(AttemptId attempt, HttpOutcome outcome);
  /// Asks the upstream to drop a request that nobody waits for.
  void tellCancelled(const Exchange &exchange);
  void report(AttemptEnded end);
  void reportWaiting();

  IoThread Io{"upstreams"};
  HttpClient Client;
  HttpClient Forwards; ///< to other routers
  BoundedRing<PortCommand> Commands;
  BoundedRing<AttemptEnded> Ends;
  BoundedRing<UpstreamProbed> Probes;
  BoundedRing<LastConnectionClosed> Closings;
  absl::flat_hash_map<AttemptId, Exchange> Exchanges;
  std::deque<AttemptEnded> UnreportedEnds; ///< that found the ring full
  std::string WirePrefix; ///< makes wire ids unique among routers
};

} // namespace waxwing

#endif
