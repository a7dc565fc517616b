/**
 * @file grant_order_client.h
 * HTTP client that sends grant orders to upstreams and returns their answers.
 */
#ifndef WAXWING_CONTROLLER_GRANT_ORDER_CLIENT_H
#define WAXWING_CONTROLLER_GRANT_ORDER_CLIENT_H

#include "core/bounded_ring.h"
#include "metrics/control_counters.h"
#include "net/http_client.h"
#include "ownership/ownership_type.h"

namespace waxwing {

/// A grant order for an upstream, or a query of its grants if Order is absent.
struct GrantOrderRequest {
  ServiceId Service;
  UpstreamId To;
  Endpoint Address;
  Time Deadline;
  std::optional<GrantOrder> Order;
};

/// Answer of an upstream to a grant order or grant query.
struct GrantOrderAnswered {
  ServiceId Service;
  GrantAnswer Answer;
};

/// Capacity of the request ring and of the answer ring.
constexpr std::size_t OrderRingCapacity = 8192;

/// Sends grant orders and grant queries to upstreams. Runs on its own thread;
/// only requests() may be used from the decision thread.
class GrantOrderClient {
public:
  /// @param counters must outlive this object
  GrantOrderClient(ControlCounters &counters,
                   std::function<void()> wakeDecisionThread);

  /// Filled by the decision thread.
  BoundedRing<GrantOrderRequest> &requests() { return Requests; }
  /// Consumed by the decision thread. An order without a valid answer yields no
  /// entry.
  BoundedRing<GrantOrderAnswered> &answers() { return Answers; }
  void stop() { Io.stop(); }

private:
  void execute(const GrantOrderRequest &request);
  void handleOutcome(const ServiceId &service, const UpstreamId &to,
                     const HttpOutcome &outcome);

  ControlCounters &Counters;
  IoThread Io{"orders"};
  HttpClient Client;
  BoundedRing<GrantOrderRequest> Requests;
  BoundedRing<GrantOrderAnswered> Answers;
};

} // namespace waxwing

#endif
