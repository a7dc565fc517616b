/**
 * @file relay_server.cpp
 * Connections of other VMs are caller connections with limits of their own.
 */
#include "node/relay_server.h"

#include "node/gateway.h"
#include "node/node_log.h"
#include "node/socket_options.h"

#include <algorithm>
#include <iterator>

namespace waxwing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int ListenBacklog = 256;
/// The other VM applies the operators' limits, which may just have changed, to
/// its callers. These are larger, so that no request is refused here that was
/// accepted there.
constexpr CallerLimits PeerLimits{1U << 20, 1ULL << 40, seconds(3),
                                  seconds(30)};

} // namespace

RelayServer::RelayServer(asio::io_context &loop, Gateway &gateway)
    : Acceptor(loop), Requests(gateway) {}

absl::Status RelayServer::listen(const Endpoint &address) {
  if (absl::Status status = listenOn(Acceptor, address, ListenBacklog);
      !status.ok())
    return status;
  accept();
  return absl::OkStatus();
}

void RelayServer::accept() {
  Acceptor.async_accept([this](const error_code &ec, tcp::socket socket) {
    if (!ec) {
      const auto connection =
          std::make_shared<CallerConnection>(std::move(socket), *this);
      Peers.emplace(connection.get(), connection);
      connection->start();
    } else {
      logLine(LogPriority::Failure, bootNow(), "accept_failed",
              "port=peers error={}", sanitizeForLog(ec.message()));
    }
    if (ec != asio::error::operation_aborted)
      accept();
  });
}

RelayServer::ConnectionList RelayServer::connections() const {
  ConnectionList result;
  std::ranges::transform(Peers, std::back_inserter(result),
                         [](const auto &entry) { return entry.second; });
  return result;
}

void RelayServer::sweep(Time now) {
  for (const auto &connection : connections())
    connection->closeIfTimedOut(now);
}

void RelayServer::closeIdle() {
  for (const auto &connection : connections())
    connection->endIfIdle();
}

void RelayServer::close() {
  for (const auto &connection : connections())
    connection->close(ConnectionEnd::ProcessEnd);
}

bool RelayServer::isResponding() const {
  return std::ranges::any_of(
      Peers, [](const auto &entry) { return entry.second->isResponding(); });
}

void RelayServer::beginExchange(const std::shared_ptr<Exchange> &exchange) {
  Requests.beginRelayed(exchange);
}

void RelayServer::continueExchange(const std::shared_ptr<Exchange> &exchange) {
  Requests.continueExchange(exchange);
}

void RelayServer::cancelExchange(const std::shared_ptr<Exchange> &exchange,
                                 ConnectionEnd why) {
  Requests.cancelExchange(exchange, why);
}

const CallerLimits &RelayServer::callerLimits() const { return PeerLimits; }

BodyMemory &RelayServer::bodyMemory() { return Requests.bodyMemory(); }

void RelayServer::onCallerClosed(const void *connection) {
  Peers.erase(connection);
}

} // namespace waxwing
