/**
 * @file http_server.cpp
 * Connections of the HTTP server, plain or TLS, built on Boost.Beast.
 */
#include "net/http_server.h"

#include "net/tls_context.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <fmt/format.h>
#include <optional>

namespace waxwing {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Parser = http::request_parser<http::string_body>;
using BeastResponse = http::response<http::string_body>;

/// Limits on the input of a refused request that is read and discarded; see
/// Session::discardInput().
constexpr std::size_t MaxDiscardedBytes = 16u << 20;
constexpr std::size_t DiscardChunkBytes = 64u << 10;
constexpr std::chrono::seconds DiscardTimeout{2};

std::string toString(beast::string_view text) {
  return {text.data(), text.size()};
}

HttpRequest toHttpRequest(http::request<http::string_body> &&message) {
  HttpRequest request;
  request.Method = toString(message.method_string());
  request.Target = toString(message.target());
  for (const auto &field : message)
    request.Headers.add(toString(field.name_string()), toString(field.value()));
  request.Body = std::move(message.body());
  return request;
}

} // namespace

/// State that the server shares with its sessions.
/// Invariant: apart from OpenCount, used on the server's thread only.
class HttpServerImpl {
public:
  HttpServerImpl(IoThread &io, HttpServerLimits limits, HttpHandler handler)
      : Io(io), Limits(limits), Handler(std::move(handler)),
        Acceptor(io.context()) {}

  IoThread &Io;
  HttpServerLimits Limits;
  HttpHandler Handler;
  Tcp::acceptor Acceptor;
  std::optional<TlsContext> Tls; ///< nullopt when the server accepts plain HTTP
  std::function<void(std::uint64_t)> ConnectionLostHandler;
  std::atomic<std::size_t> OpenCount{0};
  std::uint64_t NextConnectionId = 1;
  bool IsDraining = false;
};

namespace {

using PlainStream = beast::tcp_stream;

/// A TLS stream and its TLS context, which it keeps alive.
struct TlsStream {
  TlsStream(Tcp::socket socket, std::shared_ptr<asio::ssl::context> context)
      : Context(std::move(context)), Stream(std::move(socket), *Context) {}
  std::shared_ptr<asio::ssl::context> Context;
  beast::ssl_stream<beast::tcp_stream> Stream;
};

beast::tcp_stream &streamOf(PlainStream &channel) { return channel; }
beast::ssl_stream<beast::tcp_stream> &streamOf(TlsStream &channel) {
  return channel.Stream;
}

/// A connection of the server.
/// @tparam Channel PlainStream or TlsStream
template <class Channel>
class Session : public std::enable_shared_from_this<Session<Channel>> {
public:
  /// @param channel constructor arguments of the channel
  template <class... Arguments>
  Session(std::shared_ptr<HttpServerImpl> server, std::uint64_t id,
          Arguments &&...channel)
      : Connection(std::forward<Arguments>(channel)...),
        Server(std::move(server)), Id(id) {
    ++Server->OpenCount;
  }
  ~Session() { --Server->OpenCount; }
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  /// Performs the TLS handshake, if any, and reads the first request.
  void start() {
    if constexpr (std::is_same_v<Channel, TlsStream>)
      handshake();
    else
      read();
  }

  /// Reads the next request.
  void read() {
    Request.emplace();
    Request->body_limit(Server->Limits.BodyBytes);
    Request->header_limit(
        static_cast<std::uint32_t>(Server->Limits.HeaderBytes));
    tcp().expires_after(Server->Limits.IdleTimeout);
    http::async_read_header(
        streamOf(Connection), Buffer, *Request,
        [self = this->shared_from_this()](beast::error_code ec, std::size_t) {
          self->onHeader(ec);
        });
  }

private:
  beast::tcp_stream &tcp() {
    return beast::get_lowest_layer(streamOf(Connection));
  }

  void handshake() {
    tcp().expires_after(Server->Limits.IdleTimeout);
    streamOf(Connection)
        .async_handshake(
            asio::ssl::stream_base::server,
            [self = this->shared_from_this()](beast::error_code ec) {
              if (!ec)
                self->read();
            });
  }

  void onHeader(beast::error_code ec) {
    // Beast allocates the size given by Content-Length before it checks the
    // body limit, so the limit is checked here first.
    const std::size_t limit = Server->Limits.BodyBytes;
    if (!ec && Request->content_length().value_or(0) > limit)
      ec = http::error::body_limit;
    if (ec || Request->is_done()) {
      onRead(ec);
      return;
    }
    http::async_read(streamOf(Connection), Buffer, *Request,
                     [self = this->shared_from_this()](beast::error_code error,
                                                       std::size_t) {
                       self->onRead(error);
                     });
  }

  void onRead(beast::error_code ec) {
    if (ec == http::error::body_limit || ec == http::error::header_limit) {
      refuse(413, "request too large\n");
      return;
    }
    if (ec) {
      const bool isMalformed =
          ec.category() ==
          http::make_error_code(http::error::bad_method).category();
      if (isMalformed && ec != http::error::end_of_stream &&
          ec != http::error::partial_message)
        refuse(400, "malformed request\n");
      else
        close();
      return;
    }
    tcp().expires_never();
    IsKeptAlive = Request->get().keep_alive();
    IsHead = Request->get().method() == http::verb::head;
    IsResponseDue = true;
    HttpExchange exchange{toHttpRequest(Request->release()), {}, Id};
    exchange.Reply = [self = this->shared_from_this()](HttpResponse response) {
      self->write(std::move(response));
    };
    watchForClose();
    Server->Handler(std::move(exchange));
  }

  /// Calls ConnectionLostHandler when the caller closes its connection before
  /// the response is sent.
  void watchForClose() {
    tcp().socket().async_wait(
        Tcp::socket::wait_read,
        [self = this->shared_from_this()](beast::error_code ec) {
          if (ec || !self->IsResponseDue)
            return;
          char byte = 0;
          beast::error_code peekError;
          self->tcp().socket().non_blocking(true, peekError);
          const std::size_t n = self->tcp().socket().receive(
              asio::buffer(&byte, 1), Tcp::socket::message_peek, peekError);
          const bool isClosed = n == 0 && peekError != asio::error::would_block;
          if (isClosed && self->Server->ConnectionLostHandler)
            self->Server->ConnectionLostHandler(self->Id);
        });
  }

  /// Responds to a request that was not read as a whole; closes the connection.
  void refuse(int status, std::string body) {
    IsRefused = true;
    IsKeptAlive = false;
    IsResponseDue = true;
    HttpResponse response{status, {}, std::move(body)};
    write(std::move(response));
  }

  void write(HttpResponse response) {
    if (!IsResponseDue)
      return;
    IsResponseDue = false;
    Response.emplace();
    Response->version(11);
    Response->result(static_cast<unsigned>(response.Status));
    for (const HttpHeader &header : response.Headers.rows())
      Response->insert(header.Name, header.Value);
    Response->keep_alive(IsKeptAlive && !Server->IsDraining);
    setBody(std::move(response.Body));
    tcp().expires_after(Server->Limits.IdleTimeout);
    http::async_write(
        streamOf(Connection), *Response,
        [self = this->shared_from_this()](beast::error_code ec, std::size_t) {
          if (ec || !self->Response->keep_alive())
            self->close();
          else
            self->read();
        });
  }

  /// Sets body and Content-Length. A response to HEAD has no body and keeps the
  /// Content-Length that the handler set.
  void setBody(std::string body) {
    const auto status = Response->result_int();
    const bool hasNoBody = status == 204 || status == 304;
    if (IsHead || hasNoBody) {
      if (!hasNoBody && !Response->has_content_length())
        Response->content_length(body.size());
      return;
    }
    Response->erase(http::field::content_length);
    Response->body() = std::move(body);
    Response->prepare_payload();
  }

  void close() {
    beast::error_code ec;
    tcp().socket().shutdown(Tcp::socket::shutdown_send, ec);
    if (IsRefused)
      discardInput(MaxDiscardedBytes);
  }

  /// Reads and discards what the caller of a refused request still sends.
  /// Closing a socket with unread bytes resets the connection, and the caller
  /// may see the reset before the error response.
  void discardInput(std::size_t bytesLeft) {
    tcp().expires_after(DiscardTimeout);
    Discarded.resize(DiscardChunkBytes);
    tcp().async_read_some(asio::buffer(Discarded),
                          [self = this->shared_from_this(),
                           bytesLeft](beast::error_code ec, std::size_t n) {
                            if (!ec && n < bytesLeft)
                              self->discardInput(bytesLeft - n);
                          });
  }

  Channel Connection;
  std::shared_ptr<HttpServerImpl> Server;
  std::uint64_t Id;
  beast::flat_buffer Buffer;
  std::optional<Parser> Request;
  std::optional<BeastResponse> Response;
  std::vector<char> Discarded;
  bool IsKeptAlive = true;
  bool IsHead = false;
  bool IsRefused = false;     ///< refused before it was read completely
  bool IsResponseDue = false; ///< the current request has no response yet
};

void startSession(const std::shared_ptr<HttpServerImpl> &server,
                  Tcp::socket socket) {
  const std::uint64_t id = server->NextConnectionId++;
  if (server->Tls)
    std::make_shared<Session<TlsStream>>(server, id, std::move(socket),
                                         server->Tls->current(readClock()))
        ->start();
  else
    std::make_shared<Session<PlainStream>>(server, id, std::move(socket))
        ->start();
}

/// Opens a session on an accepted socket, or closes the socket when the limit
/// of connections is reached.
void openSession(const std::shared_ptr<HttpServerImpl> &server,
                 Tcp::socket socket) {
  if (server->OpenCount >= server->Limits.Connections)
    return;
  beast::error_code ec;
  socket.set_option(Tcp::no_delay(true), ec);
  startSession(server, std::move(socket));
}

/// Serves the connections in the accept queue; closing the port would reset
/// them.
void acceptPendingConnections(const std::shared_ptr<HttpServerImpl> &server) {
  beast::error_code ec;
  server->Acceptor.non_blocking(true, ec);
  while (!ec) {
    Tcp::socket socket(server->Io.context());
    server->Acceptor.accept(socket, ec);
    if (!ec)
      openSession(server, std::move(socket));
  }
}

void accept(const std::shared_ptr<HttpServerImpl> &server) {
  server->Acceptor.async_accept(
      [server](beast::error_code ec, Tcp::socket socket) {
        if (ec == asio::error::operation_aborted)
          return;
        if (!ec)
          openSession(server, std::move(socket));
        accept(server);
      });
}

} // namespace

HttpServer::HttpServer(IoThread &io, HttpServerLimits limits,
                       HttpHandler handler)
    : Impl(std::make_shared<HttpServerImpl>(io, limits, std::move(handler))) {}

HttpServer::~HttpServer() = default;

absl::Status HttpServer::listen(const Endpoint &endpoint) {
  beast::error_code ec;
  const auto address = asio::ip::make_address(endpoint.Address, ec);
  if (ec)
    return absl::InvalidArgumentError(
        fmt::format("'{}' is not an IP address", endpoint.Address));
  const Tcp::endpoint local(address, endpoint.Port);
  Impl->Acceptor.open(local.protocol(), ec);
  if (!ec)
    Impl->Acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    Impl->Acceptor.bind(local, ec);
  if (!ec)
    Impl->Acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return absl::UnavailableError(fmt::format(
        "cannot listen on {}: {}", formatEndpoint(endpoint), ec.message()));
  Impl->Io.post([impl = Impl] { accept(impl); });
  return absl::OkStatus();
}

absl::Status HttpServer::useTls(const std::string &certificateFile,
                                const std::string &keyFile) {
  Impl->Tls.emplace(certificateFile, keyFile);
  return Impl->Tls->load();
}

void HttpServer::onConnectionLost(std::function<void(std::uint64_t)> handler) {
  Impl->ConnectionLostHandler = std::move(handler);
}

void HttpServer::drain() {
  Impl->Io.post([impl = Impl] {
    impl->IsDraining = true;
    acceptPendingConnections(impl);
    beast::error_code ec;
    impl->Acceptor.close(ec);
  });
}

std::size_t HttpServer::openConnections() const { return Impl->OpenCount; }

} // namespace waxwing
