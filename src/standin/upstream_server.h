/**
 * @file upstream_server.h
 * The upstream stand-in as a server: requests, grant orders, cancellations,
 * load reports, and a second port for a test's faults and questions.
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

/// Faults that a test asks for by GET /fault?name=value.
struct UpstreamFaults {
  std::uint64_t SlowFactor = 1;     ///< slow_factor: multiplies service time
  bool IsDraining = false;          ///< drain=1: refuse new work
  std::uint64_t AnswersToCross = 0; ///< cross=N: next N carry a wrong id
  std::uint64_t ConnectionsToSilence = 0; ///< silence=N: N go silent for good
};

/// Load as it was at some moment.
struct LoadReport {
  Time At;
  int Load = 0;
};

/// Used on its own thread.
class UpstreamServer {
public:
  UpstreamServer(UpstreamTraits traits, std::size_t connections);
  ~UpstreamServer() { Io.stop(); }

  absl::Status listen(const Endpoint &main, const Endpoint &admin);

private:
  /// A request that waits for a slot.
  struct Waiting {
    HttpExchange Exchange;
    std::optional<Time> Deadline;
  };

  bool isCold() const { return readClock() < StartedAt + Traits.WarmUp; }
  int slots() const { return isCold() ? Traits.ColdSlots : Traits.Slots; }
  int load() const { return Running + static_cast<int>(Queue.size()); }

  void take(HttpExchange exchange);
  void takeOrder(const HttpExchange &exchange);
  void takeCancellation(const HttpExchange &exchange);
  void tellStatus(const HttpExchange &exchange);
  Reason admit(const HttpRequest &request);
  Reason checkGrant(const HttpRequest &request);
  void refuse(const HttpExchange &exchange, Reason why);
  void enqueue(HttpExchange exchange);
  void runQueue();
  void execute(HttpExchange exchange);
  void finish(const HttpExchange &exchange);
  bool isSilenced(const HttpExchange &exchange);
  void loseConnection(std::uint64_t connection);
  void noteLoad();

  void administer(const HttpExchange &exchange);
  void setFaults(const UrlTarget &target);
  std::string describe(bool withDetails) const;

  IoThread Io{"upstream"};
  UpstreamTraits Traits;
  GrantHolder Grants;
  UpstreamFaults Faults;
  UpstreamRecord Record;
  Time StartedAt;
  int Running = 0;
  std::deque<Waiting> Queue;
  std::set<std::uint64_t> SilentConnections;
  std::vector<HttpExchange> Silenced; ///< kept so that they stay open
  std::deque<LoadReport> Reports;     ///< newest last
  HttpServer Main;
  HttpServer Admin;
};

} // namespace waxwing

#endif
