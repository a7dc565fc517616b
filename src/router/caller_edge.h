/**
 * @file caller_edge.h
 * HTTP servers for callers and for requests forwarded by other routers, on
 * their own thread.
 */
#ifndef WAXWING_ROUTER_CALLER_EDGE_H
#define WAXWING_ROUTER_CALLER_EDGE_H

#include "core/bounded_ring.h"
#include "net/http_server.h"
#include "traffic/router_core_type.h"

#include <absl/container/flat_hash_map.h>
#include <atomic>

namespace waxwing {

/// Events that CallerEdge passes to the decision thread.
using EdgeEvent = std::variant<CallerRequest, CallerDisconnected>;

/// Maximum number of requests that await a response. The response ring has the
/// same capacity, so a response always fits.
constexpr std::size_t EdgeRequestLimit = 16384;

/// Converts HTTP requests to CallerRequest events and sends the responses. Runs
/// on its own thread; only responses() may be used from the decision thread.
class CallerEdge {
public:
  /// @param wakeDecisionThread called after an event was pushed to events()
  explicit CallerEdge(std::function<void()> wakeDecisionThread);

  /// Opens the port for callers and the port for forwarded requests.
  absl::Status listen(const Endpoint &callers, const Endpoint &forwarded);

  /// Consumed by the decision thread.
  BoundedRing<EdgeEvent> &events() { return Events; }
  /// Filled by the decision thread.
  BoundedRing<SendResponse> &responses() { return Responses; }

  /// Stops accepting connections.
  void drain();
  /// @return number of requests without a response
  std::size_t requestsInFlight() const { return InFlight; }
  /// @return number of requests rejected because EdgeRequestLimit was
  ///   reached or the event ring was full
  std::uint64_t ringRejections() const { return RingRejections; }
  /// @return number of open connections from callers and other routers
  std::size_t openConnections() const {
    return CallerServer.openConnections() + ForwardServer.openConnections();
  }
  void stop() { Io.stop(); }

private:
  struct PendingRequest {
    HttpReply Reply;
    std::uint64_t ConnectionId;
    bool IsForwarded;
  };

  /// @return a reply function that adds the request id expected by the
  ///   forwarding router
  static HttpReply withRequestIdEcho(const HttpExchange &exchange);
  void handleRequest(HttpExchange exchange, bool isForwarded);
  void sendResponse(SendResponse response);
  void handleConnectionLost(std::uint64_t connection, bool isForwarded);

  IoThread Io{"edge"};
  BoundedRing<EdgeEvent> Events;
  BoundedRing<SendResponse> Responses;
  HttpServer CallerServer;
  HttpServer ForwardServer;
  absl::flat_hash_map<RequestId, PendingRequest> PendingRequests;
  std::uint64_t NextRequestId = 1;
  std::atomic<std::size_t> InFlight{0};
  std::atomic<std::uint64_t> RingRejections{0};
};

} // namespace waxwing

#endif
