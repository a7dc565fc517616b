/**
 * @file connection_pool.cpp
 * Connections are not reused when the peer's idle timeout is close.
 */
#include "node/connection_pool.h"

#include "node/node_clock.h"

#include <algorithm>

namespace waxwing {
namespace {

/// A connection is reused only while it has been idle for less than this
/// fraction of the peer's idle timeout.
constexpr double UsableIdleFraction = 0.8;
/// Assumed idle timeout if the peer does not announce one.
constexpr Duration DefaultIdleTimeout = seconds(8);

bool isFresh(const ClientConnection &connection, Time now) {
  if (!connection.isReusable())
    return false;
  const Duration allowed =
      connection.IdleUntil == Time::max()
          ? DefaultIdleTimeout
          : std::chrono::duration_cast<Duration>(
                UsableIdleFraction *
                (connection.IdleUntil - connection.IdleSince));
  return now < connection.IdleSince + allowed;
}

bool contains(const UsedConnections &connections,
              const std::shared_ptr<ClientConnection> &connection) {
  return std::ranges::any_of(
      connections, [&](const auto &used) { return used.lock() == connection; });
}

} // namespace

std::shared_ptr<ClientConnection>
ConnectionPool::acquire(const Endpoint &peer, Time now, Duration maxIdle,
                        const UsedConnections &excluded) {
  const auto found = Idle.find(peer);
  if (found == Idle.end())
    return nullptr;
  auto &connections = found->second;
  for (std::size_t n = connections.size(); n-- > 0;) {
    auto connection = connections[n];
    const bool isUsable = isFresh(*connection, now);
    if (isUsable && now > connection->IdleSince + maxIdle)
      return nullptr; // the remaining connections have been idle for longer
    if (isUsable && contains(excluded, connection))
      continue;
    connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(n));
    if (isUsable)
      return connection;
    connection->close();
  }
  return nullptr;
}

bool ConnectionPool::hasIdle(const Endpoint &peer) const {
  const auto found = Idle.find(peer);
  return found != Idle.end() && !found->second.empty();
}

std::shared_ptr<ClientConnection>
ConnectionPool::open(const Endpoint &peer, ConnectCallback onConnectEnd,
                     const ConnectLimits &limits) {
  auto connection = std::make_shared<ClientConnection>(Loop, peer, limits);
  connection->open(std::move(onConnectEnd));
  return connection;
}

void ConnectionPool::release(std::shared_ptr<ClientConnection> connection) {
  if (connection->isReusable())
    Idle[connection->peer()].push_back(std::move(connection));
}

void ConnectionPool::sweep(Time now) {
  for (auto &[peer, connections] : Idle)
    std::erase_if(connections, [&](const auto &connection) {
      const bool isUsable = isFresh(*connection, now);
      if (!isUsable)
        connection->close();
      return !isUsable;
    });
  std::erase_if(Idle, [](const auto &entry) { return entry.second.empty(); });
}

void ConnectionPool::closeIdle(const Endpoint &peer) {
  if (const auto found = Idle.find(peer); found != Idle.end()) {
    for (const auto &connection : found->second)
      connection->close();
    Idle.erase(found);
  }
}

} // namespace waxwing
