/**
 * @file connection_pool.h
 * Pool of idle client connections.
 */
#ifndef WAXWING_NODE_CONNECTION_POOL_H
#define WAXWING_NODE_CONNECTION_POOL_H

#include "node/client_connection.h"

#include <map>
#include <vector>

namespace waxwing {

/// Connections that have carried a request.
using UsedConnections = std::vector<std::weak_ptr<ClientConnection>>;

/// Keeps idle connections for reuse, grouped by peer address.
class ConnectionPool {
public:
  explicit ConnectionPool(boost::asio::io_context &loop) : Loop(loop) {}

  /// @param maxIdle maximum idle time of the connection; after more idle time
  ///   the peer may be closing it at this moment
  /// @param excluded connections that must not be used
  /// @return the most recently used idle connection to @p peer, or nullptr
  std::shared_ptr<ClientConnection>
  acquire(const Endpoint &peer, Time now, Duration maxIdle,
          const UsedConnections &excluded = {});
  /// @param onConnectEnd as for ClientConnection::open()
  /// @return a new connection that is being established
  std::shared_ptr<ClientConnection>
  open(const Endpoint &peer, ConnectCallback onConnectEnd = {},
       const ConnectLimits &limits = UpstreamConnectLimits);
  /// @return true if there is an idle connection to @p peer, even one that
  ///   has been idle too long for acquire()
  bool hasIdle(const Endpoint &peer) const;
  /// Returns @p connection to the pool if it can be reused.
  void release(std::shared_ptr<ClientConnection> connection);
  /// Closes connections that can no longer be reused.
  void sweep(Time now);
  /// Closes all idle connections to @p peer.
  void closeIdle(const Endpoint &peer);

private:
  boost::asio::io_context &Loop;
  std::map<Endpoint, std::vector<std::shared_ptr<ClientConnection>>> Idle;
};

} // namespace waxwing

#endif
