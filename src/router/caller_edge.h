/**
 * @file caller_edge.h
 * The duty that meets callers: reads their HTTP requests into
 * CallerRequests and writes each answer to the caller who asked.
 */
#ifndef WAXWING_ROUTER_CALLER_EDGE_H
#define WAXWING_ROUTER_CALLER_EDGE_H

#include "core/bounded_ring.h"
#include "net/http_server.h"
#include "traffic/router_core_type.h"

#include <absl/container/flat_hash_map.h>
#include <atomic>

namespace waxwing {

/// What the edge tells the decisions.
using EdgeEvent = std::variant<CallerRequest, CallerDisconnected>;

/// Requests that one edge holds at most; as many as its answer ring, so an
/// answer always finds room.
constexpr std::size_t EdgeRequestLimit = 16384;

/// Used on its own thread, but for answers().
class CallerEdge {
public:
  /// @param wakeDecisions called when events wait in events()
  explicit CallerEdge(std::function<void()> wakeDecisions);

  /// Opens the callers' port and the port for forwarded requests.
  absl::Status listen(const Endpoint &callers, const Endpoint &forwarded);

  /// Consumed by the decisions.
  BoundedRing<EdgeEvent> &events() { return Events; }
  /// Filled by the decisions.
  BoundedRing<SendResponse> &answers() { return Answers; }

  /// Stops accepting connections.
  void drain();
  /// @return requests without an answer written
  std::size_t requestsInFlight() const { return InFlight; }
  /// @return requests refused because the ring was full
  std::uint64_t ringRefusals() const { return RingRefusals; }
  /// @return callers' connections open now
  std::size_t openConnections() const {
    return Callers.openConnections() + Forwarded.openConnections();
  }
  void stop() { Io.stop(); }

private:
  struct Waiting {
    HttpReply Reply;
    std::uint64_t ConnectionId;
    bool IsForwarded;
  };

  /// @return the reply with the id that the forwarding router expects
  static HttpReply echoId(const HttpExchange &exchange);
  void take(HttpExchange exchange, bool isForwarded);
  void answer(SendResponse answer);
  void loseConnection(std::uint64_t connection, bool isForwarded);

  IoThread Io{"edge"};
  BoundedRing<EdgeEvent> Events;
  BoundedRing<SendResponse> Answers;
  HttpServer Callers;
  HttpServer Forwarded;
  absl::flat_hash_map<RequestId, Waiting> WaitingRequests;
  std::uint64_t NextRequest = 1;
  std::atomic<std::size_t> InFlight{0};
  std::atomic<std::uint64_t> RingRefusals{0};
};

} // namespace waxwing

#endif
