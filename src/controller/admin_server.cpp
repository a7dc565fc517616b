/**
 * @file admin_server.cpp
 * Connects the administration API to its HTTP server, the store and the
 * decision thread.
 */
#include "controller/admin_server.h"

namespace waxwing {

AdminServer::AdminServer(const VmSettings &settings, ControlCounters &counters,
                         std::function<void()> wakeDecisionThread)
    : Address(parseEndpoint(settings.Controller.text("admin"))),
      Certificate(settings.Controller.text("admin_certificate")),
      Key(settings.Controller.text("admin_key")),
      Platform(Io, parseEndpoint(settings.Store.text("address")),
               settings.Store.duration("timeout")),
      Store(Platform, counters),
      Queries(AdminRingCapacity, std::move(wakeDecisionThread)),
      Answers(AdminRingCapacity,
              [this] {
                Io.post([this] {
                  Answers.drain([this](AdminResponse &&it) {
                    Api.completeQuery(std::move(it));
                  });
                });
              }),
      Api(Io, Store, settings.Controller.text("operator_token_sha256"),
          [this](AdminQuery query) { return Queries.push(std::move(query)); }),
      Server(Io, AdminServerLimits, [this](HttpExchange exchange) {
        Api.handle(std::move(exchange));
      }) {
  Io.runEvery(AdminApi::TickPeriod, [this] { Api.tick(); });
}

absl::Status AdminServer::listen() {
  if (Certificate.empty() != Key.empty())
    return absl::InvalidArgumentError(
        "[controller] admin_certificate and admin_key must be set together: "
        "both for TLS, or neither");
  if (!Certificate.empty())
    if (absl::Status status = Server.useTls(Certificate, Key); !status.ok())
      return status;
  return Server.listen(Address);
}

} // namespace waxwing
