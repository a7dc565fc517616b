/**
 * @file http_server.h
 * HTTP server built on Boost.Beast. It handles the requests of a connection one
 * at a time and responds in their order, so the responses match pipelined
 * requests.
 */
#ifndef WAXWING_NET_HTTP_SERVER_H
#define WAXWING_NET_HTTP_SERVER_H

#include "net/http_type.h"
#include "net/io_thread.h"

#include <absl/status/status.h>
#include <functional>
#include <memory>

namespace waxwing {

/// Sends the response; must be called once, on the server's thread.
using HttpReply = std::function<void(HttpResponse)>;

/// A received request and the function that responds to it.
struct HttpExchange {
  HttpRequest Request;
  HttpReply Reply;
  std::uint64_t ConnectionId = 0;
};

/// Called on the server's thread for each request.
using HttpHandler = std::function<void(HttpExchange)>;

/// Limits on connections and requests of a server.
struct HttpServerLimits {
  std::size_t Connections = 20000; ///< connections above this are closed unread
  std::size_t BodyBytes = 8u << 20;    ///< a larger body is refused with 413
  std::size_t HeaderBytes = 16u << 10; ///< a larger header is refused with 413
  /// Longest wait for a TLS handshake, for a whole request and for a response
  /// to be written; the connection is closed afterwards.
  Duration IdleTimeout = seconds(60);
};

class HttpServerImpl;

/// Accepts connections and passes their requests to a handler.
class HttpServer {
public:
  HttpServer(IoThread &io, HttpServerLimits limits, HttpHandler handler);
  ~HttpServer();

  /// Makes the server accept TLS connections only. The PEM files are read again
  /// when they change. Must be called before listen().
  /// @return Ok, or InvalidArgument naming the file and the cause
  absl::Status useTls(const std::string &certificateFile,
                      const std::string &keyFile);

  /// Binds to @p endpoint and accepts connections.
  /// @return Ok, InvalidArgument when the address is not an IP address, or
  ///   Unavailable naming the endpoint and the cause
  absl::Status listen(const Endpoint &endpoint);

  /// Sets a handler that is called on the server's thread with the id of a
  /// connection that its caller closed before the response was sent; the
  /// response will not reach the caller.
  void onConnectionLost(std::function<void(std::uint64_t)> handler);

  /// Accepts the connections in the accept queue, stops listening, and closes
  /// each connection after its next response.
  void drain();

  /// @return number of open connections
  std::size_t openConnections() const;

private:
  std::shared_ptr<HttpServerImpl> Impl;
};

} // namespace waxwing

#endif
