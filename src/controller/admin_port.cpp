/**
 * @file admin_port.cpp
 * Wires the API to its server, its store calls and the decisions.
 */
#include "controller/admin_port.h"

namespace waxwing {

AdminPort::AdminPort(const VmSettings &settings,
                     std::function<void()> wakeDecisions)
    : Address(parseEndpoint(settings.Controller.text("admin"))),
      Store(Io, parseEndpoint(settings.Store.text("address")),
            settings.Store.duration("timeout")),
      Questions(AdminRingCapacity, std::move(wakeDecisions)),
      Answers(AdminRingCapacity,
              [this] {
                Io.post([this] {
                  Answers.drain(
                      [this](AdminAnswer &&it) { Api.take(std::move(it)); });
                });
              }),
      Api(Io, Store, settings.Controller.text("operator_token_sha256"),
          [this](AdminQuery query) {
            return Questions.push(std::move(query));
          }),
      Server(Io, AdminServerLimits, [this](HttpExchange exchange) {
        Api.handle(std::move(exchange));
      }) {
  Io.runEvery(AdminApi::TickPeriod, [this] { Api.tick(); });
}

absl::Status AdminPort::listen() { return Server.listen(Address); }

} // namespace waxwing
