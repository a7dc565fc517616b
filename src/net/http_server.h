/**
 * @file http_server.h
 * HTTP server over Boost.Beast. A connection's requests are answered in
 * their order, one at a time, so pipelined callers get their own answers.
 */
#ifndef WAXWING_NET_HTTP_SERVER_H
#define WAXWING_NET_HTTP_SERVER_H

#include "net/http_type.h"
#include "net/io_thread.h"

#include <absl/status/status.h>
#include <functional>
#include <memory>

namespace waxwing {

/// Sends the answer; to be called once, on the server's thread.
using HttpReply = std::function<void(HttpResponse)>;

/// One request as it arrived.
struct HttpExchange {
  HttpRequest Request;
  HttpReply Reply;
  std::uint64_t ConnectionId = 0;
};

/// Called on the server's thread for each request.
using HttpHandler = std::function<void(HttpExchange)>;

/// Bounds of a server.
struct HttpServerLimits {
  std::size_t Connections = 20000;
  std::size_t BodyBytes = 8u << 20;
  std::size_t HeaderBytes = 16u << 10;
  Duration IdleTimeout = seconds(60); ///< closes a connection without request
};

class HttpServerImpl;

/// Listens until destroyed.
class HttpServer {
public:
  HttpServer(IoThread &io, HttpServerLimits limits, HttpHandler handler);
  ~HttpServer();

  /// Speaks TLS only, by PEM files that are read again when they change; to
  /// be called before listen().
  /// @return Ok, or InvalidArgument naming the file and the cause
  absl::Status useTls(const std::string &certificateFile,
                      const std::string &keyFile);

  /// Binds and accepts.
  /// @return Ok, or Unavailable naming endpoint and cause
  absl::Status listen(const Endpoint &endpoint);

  /// Called on the server's thread when a connection ends while a request
  /// of it is unanswered; the answer will not reach the caller.
  void onConnectionLost(std::function<void(std::uint64_t)> handler);

  /// Stops accepting and closes connections once their answer is written.
  void drain();

  /// @return connections open now
  std::size_t openConnections() const;

private:
  std::shared_ptr<HttpServerImpl> Impl;
};

} // namespace waxwing

#endif
