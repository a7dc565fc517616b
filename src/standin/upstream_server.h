/**
 * @file upstream_server.h
 * HTTP server of the upstream stand-in: requests, grant orders, cancellations
 * and load reports, and an admin port for faults and the execution record.
 */
#ifndef WAXWING_STANDIN_UPSTREAM_SERVER_H
#define WAXWING_STANDIN_UPSTREAM_SERVER_H

#include "net/http_server.h"
#include "net/url_func.h"
#include "standin/upstream_base.h"
#include "upstream/grant_holder.h"

#include <deque>
#include <set>

namespace waxwing {

/// Faults injected by GET /fault?name=value on the admin port.
struct UpstreamFaults {
  std::uint64_t SlowFactor = 1; ///< slow_factor: multiplies service time
  bool IsDraining = false;      ///< drain=1: refuse new requests
  /// cross=N: the next N responses carry a wrong request id.
  std::uint64_t ResponsesToMisattribute = 0;
  /// silence=N: the next N connections get no responses from then on.
  std::uint64_t ConnectionsToSilence = 0;
};

/// Load at a point in time: running and queued requests.
struct LoadSample {
  Time At;
  int Load = 0;
};

/// The upstream's server; handlers run on its own I/O thread.
class UpstreamServer {
public:
  UpstreamServer(UpstreamSettings settings, std::size_t connections);
  ~UpstreamServer() { Io.stop(); }

  absl::Status listen(const Endpoint &main, const Endpoint &admin);

private:
  /// A request waiting for a slot.
  struct QueuedRequest {
    HttpExchange Exchange;
    std::optional<Time> Deadline;
  };

  bool isCold() const { return readClock() < StartedAt + Settings.WarmUp; }
  int slotLimit() const {
    return isCold() ? Settings.ColdSlots : Settings.Slots;
  }
  int currentLoad() const {
    return RunningRequests + static_cast<int>(Queue.size());
  }

  void handleRequest(HttpExchange exchange);
  void handleGrantOrder(const HttpExchange &exchange);
  void handleCancellation(const HttpExchange &exchange);
  void sendStatus(const HttpExchange &exchange);
  Reason checkAdmission(const HttpRequest &request);
  Reason checkGrant(const HttpRequest &request);
  void refuse(const HttpExchange &exchange, Reason reason);
  void enqueue(HttpExchange exchange);
  void startQueuedRequests();
  void execute(HttpExchange exchange);
  void completeExecution(const HttpExchange &exchange);
  bool isSilenced(const HttpExchange &exchange);
  void handleConnectionLoss(std::uint64_t connection);
  void recordLoad();

  void handleAdminRequest(const HttpExchange &exchange);
  void setFaults(const UrlTarget &target);
  std::string formatRecord(bool withDetails) const;

  IoThread Io{"upstream"};
  UpstreamSettings Settings;
  GrantHolder Grants;
  UpstreamFaults Faults;
  ExecutionRecord Record;
  Time StartedAt;
  int RunningRequests = 0;
  std::deque<QueuedRequest> Queue;
  std::set<std::uint64_t> SilentConnections;
  /// Unanswered requests, kept to hold their connections open.
  std::vector<HttpExchange> SilencedExchanges;
  std::deque<LoadSample> LoadHistory; ///< newest last
  HttpServer MainServer;
  HttpServer AdminServer;
};

} // namespace waxwing

#endif
