/**
 * @file order_port.h
 * The duty that carries grant orders to upstreams and their answers back.
 */
#ifndef WAXWING_CONTROLLER_ORDER_PORT_H
#define WAXWING_CONTROLLER_ORDER_PORT_H

#include "core/bounded_ring.h"
#include "metrics/control_counters.h"
#include "net/http_client.h"
#include "ownership/ownership_type.h"

namespace waxwing {

/// An order, or a query when Order is absent.
struct OrderRequest {
  ServiceId Service;
  UpstreamId To;
  Endpoint Address;
  Time Deadline;
  std::optional<GrantOrder> Order;
};

/// What the upstream said.
struct OrderAnswered {
  ServiceId Service;
  GrantAnswer Answer;
};

constexpr std::size_t OrderRingCapacity = 8192;

/// Used on its own thread, but for requests().
class OrderPort {
public:
  /// @param counters outlives this object
  OrderPort(ControlCounters &counters, std::function<void()> wakeDecisions);

  /// Filled by the decisions.
  BoundedRing<OrderRequest> &requests() { return Requests; }
  /// Consumed by the decisions; an unanswered order yields nothing.
  BoundedRing<OrderAnswered> &answers() { return Answers; }
  void stop() { Io.stop(); }

private:
  void carryOut(const OrderRequest &request);
  void finish(const ServiceId &service, const UpstreamId &to,
              const HttpOutcome &outcome);

  ControlCounters &Counters;
  IoThread Io{"orders"};
  HttpClient Client;
  BoundedRing<OrderRequest> Requests;
  BoundedRing<OrderAnswered> Answers;
};

} // namespace waxwing

#endif
