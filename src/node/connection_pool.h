/**
 * @file connection_pool.h
 * Idle connections to upstreams, kept for reuse.
 */
#ifndef WAXWING_NODE_CONNECTION_POOL_H
#define WAXWING_NODE_CONNECTION_POOL_H

#include "node/client_connection.h"

#include <map>
#include <vector>

namespace waxwing {

class ConnectionPool {
public:
  explicit ConnectionPool(boost::asio::io_context &loop) : Loop(loop) {}

  /// @param longestIdle an older idle connection may be closed by its peer
  ///   just now; it is not taken
  /// @return an idle connection to @p peer, the one used last, or nullptr
  std::shared_ptr<ClientConnection> take(const Endpoint &peer, Time now,
                                         Duration longestIdle);
  /// @return a connection that is being opened
  std::shared_ptr<ClientConnection> open(const Endpoint &peer);
  /// @return true when take() would find a connection
  bool hasIdle(const Endpoint &peer) const;
  /// Keeps @p connection for reuse if it can be reused.
  void give(std::shared_ptr<ClientConnection> connection);
  /// Closes what should not be reused any more.
  void sweep(Time now);
  /// Closes all idle connections to @p peer.
  void drop(const Endpoint &peer);

private:
  boost::asio::io_context &Loop;
  std::map<Endpoint, std::vector<std::shared_ptr<ClientConnection>>> Idle;
};

} // namespace waxwing

#endif
