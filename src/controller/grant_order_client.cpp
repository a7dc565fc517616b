/**
 * @file grant_order_client.cpp
 * Sends grant orders as HTTP requests.
 */
#include "controller/grant_order_client.h"

#include "upstream/upstream_protocol.h"

namespace waxwing {
namespace {

/// Maximum number of concurrent connections to one upstream.
constexpr std::size_t MaxOrderConnections = 4;

} // namespace

GrantOrderClient::GrantOrderClient(ControlCounters &counters,
                                   std::function<void()> wakeDecisionThread)
    : Counters(counters), Client(Io, MaxOrderConnections),
      Requests(OrderRingCapacity,
               [this] {
                 Io.post([this] {
                   Requests.drain(
                       [this](GrantOrderRequest &&it) { execute(it); });
                 });
               }),
      Answers(OrderRingCapacity, std::move(wakeDecisionThread)) {}

void GrantOrderClient::execute(const GrantOrderRequest &request) {
  HttpRequest message;
  message.Method = "POST";
  message.Target = std::string(GrantPath);
  message.Body = encodeOrder(request.Order);
  Counters.add(ControlCounter::OrdersSent);
  Client.send(request.Address, std::move(message), request.Deadline,
              [this, service = request.Service,
               to = request.To](const HttpOutcome &outcome) {
                handleOutcome(service, to, outcome);
              });
}

void GrantOrderClient::handleOutcome(const ServiceId &service,
                                     const UpstreamId &to,
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
