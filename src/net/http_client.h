/**
 * @file http_client.h
 * HTTP client with a bounded connection pool for each endpoint. A connection
 * carries one request at a time and is closed when the request is cancelled or
 * fails, so a late response can never be taken for that of another request.
 */
#ifndef WAXWING_NET_HTTP_CLIENT_H
#define WAXWING_NET_HTTP_CLIENT_H

#include "net/http_type.h"
#include "net/io_thread.h"

#include <functional>
#include <memory>

namespace waxwing {

/// A connection that has been idle for longer than this is not reused.
constexpr Duration MaxReusableIdleTime = seconds(10);
/// TCP_USER_TIMEOUT: the kernel closes a connection whose sent bytes stay
/// unacknowledged for this long.
constexpr Duration TcpUserTimeout = milliseconds(700);

/// Receives the result of an exchange; called once, on the client's thread.
using HttpCompletion = std::function<void(HttpOutcome)>;

class HttpClientImpl;

/// Sends HTTP/1.1 requests over pooled connections.
/// Invariant: used on the thread of its IoThread only.
class HttpClient {
public:
  /// @param connectionsPerEndpoint limit of open pooled connections to one
  ///   endpoint; a request that would exceed it ends with PoolExhausted
  HttpClient(IoThread &io, std::size_t connectionsPerEndpoint);
  ~HttpClient();

  /// Sends @p request and calls @p completion once, at the latest at
  /// @p deadline.
  /// @return id for cancel()
  std::uint64_t send(const Endpoint &endpoint, HttpRequest request,
                     Time deadline, HttpCompletion completion);

  /// Closes the connection of an unfinished exchange; its completion is called
  /// with Cancelled, or CancelledUnsent when no byte was sent.
  void cancel(std::uint64_t exchange);

  /// Like send(), but opens a connection for this request alone and closes it
  /// afterwards; it does not count towards the pool's limit.
  std::uint64_t sendUnpooled(const Endpoint &endpoint, HttpRequest request,
                             Time deadline, HttpCompletion completion);

  /// Closes idle connections to @p endpoint whose last response arrived before
  /// @p lastResponse.
  void closeIdle(const Endpoint &endpoint, Time lastResponse);

  /// Sets a handler that is called on the client's thread when the last open
  /// connection to an endpoint ends while idle because its peer closed it or
  /// sent unexpected bytes; the peer may have restarted.
  void onPeerClosed(std::function<void(const Endpoint &)> handler);

  /// Closes the connection with id @p connection if it is idle.
  void closeConnection(const Endpoint &endpoint, std::uint64_t connection);

private:
  std::shared_ptr<HttpClientImpl> Impl;
};

} // namespace waxwing

#endif
