/**
 * @file call_client.h
 * HTTP client for calls with small bodies and a deadline, used for the
 * platform's store and for grants and releases to upstreams.
 */
#ifndef WAXWING_NODE_CALL_CLIENT_H
#define WAXWING_NODE_CALL_CLIENT_H

#include "node/connection_pool.h"
#include "store_protocol.h"

#include <functional>

namespace waxwing {

/// Result of a call.
struct HttpCallResult {
  int Status = 0; ///< HTTP status; 0 if there was no response
  http::Fields Headers;
  std::string Body;
  bool IsDelivered = true; ///< false: no byte of the request was sent
  std::string Error;       ///< reason if there was no response
};

/// Sends calls over pooled connections; the callback runs exactly once.
class HttpCallClient {
public:
  using Callback = std::function<void(const HttpCallResult &)>;
  /// Longest response body of the store; a page of items has about 1 MB.
  static constexpr std::size_t MaxStoreResponse = 16U << 20;
  /// Longest response body of an upstream to an order.
  static constexpr std::size_t MaxOrderResponse = 65536;

  explicit HttpCallClient(boost::asio::io_context &loop)
      : Loop(loop), Pool(loop) {}

  /// @param target instance that must process the call; empty for the store.
  ///   A response that exceeds MaxOrderResponse or MaxStoreResponse counts as
  ///   lost
  /// @param deadline the connection is reset if there is no response by then
  void call(const Endpoint &peer, const platform::PlatformRequest &call,
            const std::string &target, Time deadline, Callback callback);
  /// Called with the outcome of a new connection for a call with a target, the
  /// target and the time when the connection was begun.
  std::function<void(const std::string &, Time, ConnectOutcome)>
      OnTargetConnectEnd;

  /// Closes idle connections that can no longer be reused.
  void sweep(Time now) { Pool.sweep(now); }

private:
  boost::asio::io_context &Loop;
  ConnectionPool Pool;
};

} // namespace waxwing

#endif
