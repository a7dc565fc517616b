/**
 * @file order_port.cpp
 * Grant orders as HTTP exchanges.
 */
#include "controller/order_port.h"

#include "upstream/upstream_protocol.h"

namespace waxwing {
namespace {

/// Orders to one upstream that may be on their way together.
constexpr std::size_t OrderConnections = 4;

} // namespace

OrderPort::OrderPort(ControlCounters &counters,
                     std::function<void()> wakeDecisions)
    : Counters(counters), Client(Io, OrderConnections),
      Requests(OrderRingCapacity,
               [this] {
                 Io.post([this] {
                   Requests.drain([this](OrderRequest &&it) { carryOut(it); });
                 });
               }),
      Answers(OrderRingCapacity, std::move(wakeDecisions)) {}

void OrderPort::carryOut(const OrderRequest &request) {
  HttpRequest message;
  message.Method = "POST";
  message.Target = std::string(GrantPath);
  message.Body = encodeOrder(request.Order);
  Counters.add(ControlCounter::OrdersSent);
  Client.send(request.Address, std::move(message), request.Deadline,
              [this, service = request.Service,
               to = request.To](const HttpOutcome &outcome) {
                finish(service, to, outcome);
              });
}

void OrderPort::finish(const ServiceId &service, const UpstreamId &to,
                       const HttpOutcome &outcome) {
  if (outcome.Progress != HttpProgress::Answered)
    return Counters.add(ControlCounter::OrdersUnanswered);
  auto answer = decodeGrantAnswer(outcome.Response.Body);
  if (!answer.ok() || answer->From != to)
    return Counters.add(ControlCounter::OrdersUnanswered);
  Counters.add(answer->Accepted ? ControlCounter::OrdersAccepted
                                : ControlCounter::OrdersRefused);
  if (!Answers.push({service, *std::move(answer)}))
    Counters.add(ControlCounter::RingFull);
}

} // namespace waxwing
