/**
 * @file call_client.h
 * Calls with small bodies, to the platform's store and to upstreams' order
 * interface, each with a deadline.
 */
#ifndef WAXWING_NODE_CALL_CLIENT_H
#define WAXWING_NODE_CALL_CLIENT_H

#include "node/connection_pool.h"
#include "store_protocol.h"

#include <functional>

namespace waxwing {

/// What became of a call.
struct CallResult {
  int Status = 0; ///< of the answer; 0: there was none
  http::Fields Headers;
  std::string Body;
  bool IsDelivered = true; ///< false: nothing of it reached the other side
  bool IsRefused = false;  ///< no process listens at the address
  std::string Error;       ///< why there was no answer
};

class CallClient {
public:
  using Callback = std::function<void(const CallResult &)>;

  explicit CallClient(boost::asio::io_context &loop) : Loop(loop), Pool(loop) {}

  /// @param target instance that must answer, "" for any
  /// @param deadline without an answer by then the connection is reset
  void call(const Endpoint &peer, const platform::HttpCall &call,
            const std::string &target, Time deadline, Callback callback);
  void sweep(Time now) { Pool.sweep(now); }

private:
  boost::asio::io_context &Loop;
  ConnectionPool Pool;
};

} // namespace waxwing

#endif
