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
#include <string_view>

namespace waxwing {

/// Why a call has no response.
enum class CallLoss : std::uint8_t {
  None,         ///< it has one
  NotConnected, ///< no new connection could be established
  Ended,        ///< the connection ended, or carried something unreadable
  Silent,       ///< nothing arrived in time on an established connection
};

/// @return name of @p loss in the log
std::string_view callLossName(CallLoss loss);

/// Result of a call.
struct HttpCallResult {
  int Status = 0; ///< HTTP status; 0 if there was no response
  CallLoss Loss = CallLoss::None;
  Time BegunAt; ///< when the call was begun
  /// No other call preceded this one on its connection.
  bool IsFirstCall = false;
  http::Fields Headers;
  std::string Body;
  bool IsDelivered = true; ///< false: no byte of the request was sent
  std::string Error;       ///< reason if there was no response
};

/// Whether a call may use a connection that has carried others.
enum class ConnectionReuse : std::uint8_t { Allowed, Forbidden };

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
  /// @param onSending called before the first byte is written
  void call(const Endpoint &peer, const platform::PlatformRequest &call,
            const std::string &target, Time deadline, Callback callback,
            ConnectionReuse reuse = ConnectionReuse::Allowed,
            std::function<void()> onSending = {});
  /// Called with the outcome of a new connection for a call with a target, the
  /// target and the time when the connection was begun.
  std::function<void(const std::string &, Time, ConnectOutcome)>
      OnTargetConnectEnd;

  /// Closes the idle connections to @p peer, which may be silent.
  void closeIdle(const Endpoint &peer) { Pool.closeIdle(peer); }
  /// Closes idle connections that can no longer be reused.
  void sweep(Time now) { Pool.sweep(now); }

private:
  boost::asio::io_context &Loop;
  ConnectionPool Pool;
};

} // namespace waxwing

#endif
