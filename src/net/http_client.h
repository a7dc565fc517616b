/**
 * @file http_client.h
 * HTTP client with a bounded pool of connections for each endpoint. One
 * request at a time uses a connection, and an unfinished one is closed, so
 * a late answer can never meet another request.
 */
#ifndef WAXWING_NET_HTTP_CLIENT_H
#define WAXWING_NET_HTTP_CLIENT_H

#include "net/http_type.h"
#include "net/io_thread.h"

#include <functional>
#include <memory>

namespace waxwing {

/// An idle connection is not used again after this.
constexpr Duration IdleConnectionLimit = seconds(10);
/// The kernel gives a connection up when sent bytes stay unacknowledged.
constexpr Duration UnacknowledgedLimit = milliseconds(700);

/// Called once, on the client's thread.
using HttpCompletion = std::function<void(HttpOutcome)>;

class HttpClientImpl;

/// Used on the thread of its IoThread only.
class HttpClient {
public:
  /// @param connectionsPerEndpoint a request beyond it fails NotConnected
  HttpClient(IoThread &io, std::size_t connectionsPerEndpoint);
  ~HttpClient();

  /// Sends @p request and calls @p completion once, at the latest at
  /// @p deadline.
  /// @return id for cancel()
  std::uint64_t send(const Endpoint &endpoint, HttpRequest request,
                     Time deadline, HttpCompletion completion);

  /// Closes the connection of an unfinished exchange; its completion is
  /// called with Cancelled.
  void cancel(std::uint64_t exchange);

  /// As send(), but over a connection of its own that is closed afterwards;
  /// not counted against the pool's limit.
  std::uint64_t sendUnpooled(const Endpoint &endpoint, HttpRequest request,
                             Time deadline, HttpCompletion completion);

  /// Closes idle connections to @p endpoint whose last answer came before
  /// @p lastAnswer.
  void closeIdle(const Endpoint &endpoint, Time lastAnswer);

  /// Called on the client's thread when a peer closed the last connection to
  /// an endpoint while it was idle; the peer may have restarted.
  void onPeerClosed(std::function<void(const Endpoint &)> handler);

  /// Closes one connection if it is idle.
  void closeConnection(const Endpoint &endpoint, std::uint64_t connection);

private:
  std::shared_ptr<HttpClientImpl> Impl;
};

} // namespace waxwing

#endif
