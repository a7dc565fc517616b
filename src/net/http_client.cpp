/**
 * @file http_client.cpp
 * HTTP exchanges and connection pools built on Boost.Beast.
 */
#include "net/http_client.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <unordered_map>

namespace waxwing {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

std::string toString(beast::string_view text) {
  return {text.data(), text.size()};
}

http::request<http::string_body> toBeast(HttpRequest &&request,
                                         const Endpoint &endpoint) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.Method);
  message.target(request.Target);
  message.set(http::field::host, formatEndpoint(endpoint));
  for (const HttpHeader &header : request.Headers.rows())
    message.set(header.Name, header.Value);
  message.keep_alive(true);
  message.body() = std::move(request.Body);
  message.prepare_payload();
  return message;
}

HttpResponse toHttpResponse(http::response<http::string_body> &&message) {
  HttpResponse response;
  response.Status = static_cast<int>(message.result_int());
  for (const auto &field : message)
    response.Headers.add(toString(field.name_string()),
                         toString(field.value()));
  response.Body = std::move(message.body());
  return response;
}

/// An HTTP connection; used by at most one exchange at a time.
struct Connection {
  Connection(asio::io_context &context, std::uint64_t id)
      : Socket(context), Id(id) {}
  Tcp::socket Socket;
  std::uint64_t Id;
  /// Time at which the last response arrived; valid while the connection is
  /// idle.
  Time LastResponse;
  beast::flat_buffer Buffer;
};

/// Pooled connections to one endpoint.
struct Pool {
  std::vector<std::shared_ptr<Connection>> Idle;
  std::size_t OpenCount = 0; ///< idle connections and those in use
};

/// Disables Nagle's algorithm and sets TCP_USER_TIMEOUT, so that the kernel
/// closes a connection whose packets are dropped on the way, for example by a
/// firewall that lost its state.
void setSocketOptions(Tcp::socket &socket) {
  beast::error_code ec;
  socket.set_option(Tcp::no_delay(true), ec);
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  const auto limit = std::chrono::duration_cast<milliseconds>(TcpUserTimeout);
  socket.set_option(UserTimeout(static_cast<int>(limit.count())), ec);
}

/// @return whether the message itself tells where it ends; a response that ends
///   where the connection is closed may be truncated unnoticed
bool isFramed(const http::response<http::string_body> &message, bool isHead) {
  const auto status = message.result_int();
  const bool hasNoBody = isHead || status == 204 || status == 304;
  return hasNoBody || message.has_content_length() || message.chunked();
}

/// Largest response body that is accepted.
constexpr std::uint64_t MaxResponseBodyBytes = 64u << 20;

} // namespace

/// Connection pools and running exchanges of one client.
class HttpClientImpl : public std::enable_shared_from_this<HttpClientImpl> {
public:
  HttpClientImpl(IoThread &io, std::size_t connectionsPerEndpoint)
      : Io(io), ConnectionsPerEndpoint(connectionsPerEndpoint) {}

  /// A request, its response and the connection that carries them.
  struct Exchange {
    Endpoint Server;
    http::request<http::string_body> Request;
    std::optional<http::response_parser<http::string_body>> Response;
    HttpCompletion Completion;
    std::shared_ptr<Connection> Channel;
    std::optional<asio::steady_timer> Timer;
    HttpProgress Progress = HttpProgress::NotConnected;
    bool IsRefused = false;  ///< the endpoint refused the TCP connection
    bool IsUnpooled = false; ///< Channel is not part of a pool
  };
  using ExchangePtr = std::shared_ptr<Exchange>;

  std::uint64_t send(const Endpoint &endpoint, HttpRequest request,
                     Time deadline, bool isUnpooled,
                     HttpCompletion completion) {
    const std::uint64_t id = NextExchangeId++;
    auto exchange = std::make_shared<Exchange>();
    exchange->Server = endpoint;
    exchange->Request = toBeast(std::move(request), endpoint);
    exchange->IsUnpooled = isUnpooled;
    exchange->Completion = std::move(completion);
    Exchanges[id] = exchange;
    exchange->Timer.emplace(Io.context());
    exchange->Timer->expires_at(
        std::chrono::steady_clock::time_point(deadline.time_since_epoch()));
    exchange->Timer->async_wait(
        [self = shared_from_this(), id](beast::error_code ec) {
          if (!ec)
            self->expire(id);
        });
    open(id, exchange);
    return id;
  }

  void cancel(std::uint64_t id) {
    const auto it = Exchanges.find(id);
    if (it == Exchanges.end())
      return;
    const bool isUnsent = it->second->Progress <= HttpProgress::NotSent;
    finish(id,
           isUnsent ? HttpProgress::CancelledUnsent : HttpProgress::Cancelled);
  }

  void closeIdle(const Endpoint &endpoint, Time lastResponse) {
    closeIdleIf(endpoint, [lastResponse](const Connection &it) {
      return it.LastResponse < lastResponse;
    });
  }

  void closeConnection(const Endpoint &endpoint, std::uint64_t connection) {
    closeIdleIf(endpoint, [connection](const Connection &it) {
      return it.Id == connection;
    });
  }

  std::function<void(const Endpoint &)> PeerClosedHandler;

private:
  /// Closes the idle connections to @p endpoint for which @p shouldClose
  /// returns true.
  template <class F>
  void closeIdleIf(const Endpoint &endpoint, F &&shouldClose) {
    const auto it = Pools.find(endpoint);
    if (it == Pools.end())
      return;
    it->second.OpenCount -=
        std::erase_if(it->second.Idle, [&](const auto &connection) {
          return shouldClose(*connection);
        });
  }

  /// Ends an exchange that reached its deadline.
  void expire(std::uint64_t id) {
    const auto it = Exchanges.find(id);
    if (it == Exchanges.end())
      return;
    const bool isUnsent = it->second->Progress <= HttpProgress::NotSent;
    finish(id, isUnsent ? it->second->Progress : HttpProgress::TimedOut);
  }

  /// Sends the request over an idle pooled connection, or over a new one when
  /// the pool's limit allows it.
  void open(std::uint64_t id, const ExchangePtr &exchange) {
    if (exchange->IsUnpooled)
      return connect(id, exchange);
    Pool &pool = Pools[exchange->Server];
    while (!pool.Idle.empty()) {
      auto connection = std::move(pool.Idle.back());
      pool.Idle.pop_back();
      if (isUsable(*connection)) {
        beast::error_code ec;
        connection->Socket.cancel(ec); // cancels the wait of watchIdle()
        exchange->Channel = std::move(connection);
        write(id, exchange);
        return;
      }
      --pool.OpenCount;
    }
    if (pool.OpenCount >= ConnectionsPerEndpoint) {
      Io.post([self = shared_from_this(), id] {
        self->finish(id, HttpProgress::PoolExhausted);
      });
      return;
    }
    ++pool.OpenCount;
    connect(id, exchange);
  }

  void connect(std::uint64_t id, const ExchangePtr &exchange) {
    exchange->Channel =
        std::make_shared<Connection>(Io.context(), NextConnectionId++);
    beast::error_code ec;
    const auto address = asio::ip::make_address(exchange->Server.Address, ec);
    exchange->Channel->Socket.async_connect(
        Tcp::endpoint(address, exchange->Server.Port),
        [self = shared_from_this(), id, exchange](beast::error_code error) {
          self->onConnected(id, exchange, error);
        });
  }

  /// @return whether an idle connection was used within MaxReusableIdleTime,
  ///   is open and has received no unexpected bytes
  static bool isUsable(Connection &connection) {
    if (readClock() > connection.LastResponse + MaxReusableIdleTime)
      return false;
    beast::error_code ec;
    char byte = 0;
    connection.Socket.non_blocking(true, ec);
    connection.Socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek,
                              ec);
    return ec == asio::error::would_block && connection.Buffer.size() == 0;
  }

  void onConnected(std::uint64_t id, const ExchangePtr &exchange,
                   beast::error_code ec) {
    if (!Exchanges.contains(id))
      return;
    if (ec) {
      exchange->IsRefused = ec == asio::error::connection_refused;
      finish(id, HttpProgress::NotConnected);
      return;
    }
    setSocketOptions(exchange->Channel->Socket);
    write(id, exchange);
  }

  void write(std::uint64_t id, const ExchangePtr &exchange) {
    // Bytes may be sent from here on, so the server may execute the request.
    exchange->Progress = HttpProgress::Sent;
    http::async_write(exchange->Channel->Socket, exchange->Request,
                      [self = shared_from_this(), id,
                       exchange](beast::error_code ec, std::size_t written) {
                        self->onWritten(id, exchange, ec, written);
                      });
  }

  void onWritten(std::uint64_t id, const ExchangePtr &exchange,
                 beast::error_code ec, std::size_t written) {
    if (!Exchanges.contains(id))
      return;
    if (ec) {
      finish(id, written == 0 ? HttpProgress::NotSent : HttpProgress::Sent);
      return;
    }
    read(id, exchange);
  }

  void read(std::uint64_t id, const ExchangePtr &exchange) {
    exchange->Response.emplace();
    exchange->Response->body_limit(MaxResponseBodyBytes);
    exchange->Response->skip(exchange->Request.method() == http::verb::head);
    auto &channel = *exchange->Channel;
    http::async_read_header(channel.Socket, channel.Buffer, *exchange->Response,
                            [self = shared_from_this(), id,
                             exchange](beast::error_code error, std::size_t n) {
                              self->onHeader(id, exchange, error, n);
                            });
  }

  void onHeader(std::uint64_t id, const ExchangePtr &exchange,
                beast::error_code ec, std::size_t bytes) {
    // Beast allocates the size given by Content-Length before it checks the
    // body limit, so the limit is checked here first.
    auto &parser = *exchange->Response;
    if (!ec && parser.content_length().value_or(0) > MaxResponseBodyBytes)
      ec = http::error::body_limit;
    if (ec || parser.is_done()) {
      onRead(id, exchange, ec, bytes);
      return;
    }
    auto &channel = *exchange->Channel;
    http::async_read(channel.Socket, channel.Buffer, *exchange->Response,
                     [self = shared_from_this(), id, exchange,
                      bytes](beast::error_code error, std::size_t n) {
                       self->onRead(id, exchange, error, bytes + n);
                     });
  }

  void onRead(std::uint64_t id, const ExchangePtr &exchange,
              beast::error_code ec, std::size_t bytes) {
    if (!Exchanges.contains(id))
      return;
    const bool hasResponseBytes =
        bytes > 0 || exchange->Channel->Buffer.size() > 0;
    if (ec) {
      finish(id, hasResponseBytes ? HttpProgress::ResponseTruncated
                                  : HttpProgress::Sent);
      return;
    }
    const auto &message = exchange->Response->get();
    const bool isInformational =
        message.result_int() / 100 == 1 &&
        message.result() != http::status::switching_protocols;
    if (isInformational) {
      read(id, exchange);
      return;
    }
    const bool isHead = exchange->Request.method() == http::verb::head;
    finish(id, isFramed(message, isHead) ? HttpProgress::Answered
                                         : HttpProgress::ResponseTruncated);
  }

  /// Removes an exchange, gives up its connection and calls its completion.
  void finish(std::uint64_t id, HttpProgress progress) {
    const auto it = Exchanges.find(id);
    if (it == Exchanges.end())
      return;
    const ExchangePtr exchange = std::move(it->second);
    Exchanges.erase(it);
    exchange->Timer->cancel();
    HttpOutcome outcome{progress, {}, 0, exchange->IsRefused};
    if (exchange->Channel) {
      outcome.ConnectionId = exchange->Channel->Id;
      returnOrClose(*exchange, progress);
    }
    if (progress == HttpProgress::Answered)
      outcome.Response = toHttpResponse(exchange->Response->release());
    exchange->Completion(std::move(outcome));
  }

  /// Returns the connection of a finished exchange to its pool, or closes it
  /// when it cannot be reused.
  void returnOrClose(Exchange &exchange, HttpProgress progress) {
    const bool isReusable = progress == HttpProgress::Answered &&
                            !exchange.IsUnpooled &&
                            exchange.Response->get().keep_alive() &&
                            exchange.Channel->Buffer.size() == 0;
    Pool &pool = Pools[exchange.Server];
    if (isReusable) {
      exchange.Channel->LastResponse = readClock();
      pool.Idle.push_back(exchange.Channel);
      watchIdle(exchange.Server, exchange.Channel);
      return;
    }
    beast::error_code ec;
    exchange.Channel->Socket.close(ec);
    if (!exchange.IsUnpooled)
      --pool.OpenCount;
  }

  /// Waits until the peer closes or sends bytes on an idle connection.
  void watchIdle(const Endpoint &endpoint,
                 const std::shared_ptr<Connection> &connection) {
    connection->Socket.async_wait(
        Tcp::socket::wait_read, [self = shared_from_this(), endpoint,
                                 connection](beast::error_code ec) {
          if (!ec)
            self->removeIfUnusable(endpoint, connection);
        });
  }

  /// Removes an idle connection that the peer closed or sent bytes on.
  void removeIfUnusable(const Endpoint &endpoint,
                        const std::shared_ptr<Connection> &connection) {
    Pool &pool = Pools[endpoint];
    const bool isIdle =
        std::ranges::find(pool.Idle, connection) != pool.Idle.end();
    if (!isIdle || isUsable(*connection))
      return;
    std::erase(pool.Idle, connection);
    --pool.OpenCount;
    if (pool.OpenCount == 0 && PeerClosedHandler)
      PeerClosedHandler(endpoint);
  }

  IoThread &Io;
  std::size_t ConnectionsPerEndpoint;
  std::map<Endpoint, Pool> Pools;
  std::unordered_map<std::uint64_t, ExchangePtr> Exchanges;
  std::uint64_t NextExchangeId = 1;
  std::uint64_t NextConnectionId = 1;
};

HttpClient::HttpClient(IoThread &io, std::size_t connectionsPerEndpoint)
    : Impl(std::make_shared<HttpClientImpl>(io, connectionsPerEndpoint)) {}

HttpClient::~HttpClient() = default;

std::uint64_t HttpClient::send(const Endpoint &endpoint, HttpRequest request,
                               Time deadline, HttpCompletion completion) {
  return Impl->send(endpoint, std::move(request), deadline, false,
                    std::move(completion));
}

std::uint64_t HttpClient::sendUnpooled(const Endpoint &endpoint,
                                       HttpRequest request, Time deadline,
                                       HttpCompletion completion) {
  return Impl->send(endpoint, std::move(request), deadline, true,
                    std::move(completion));
}

void HttpClient::cancel(std::uint64_t exchange) { Impl->cancel(exchange); }

void HttpClient::closeIdle(const Endpoint &endpoint, Time lastResponse) {
  Impl->closeIdle(endpoint, lastResponse);
}

void HttpClient::onPeerClosed(std::function<void(const Endpoint &)> handler) {
  Impl->PeerClosedHandler = std::move(handler);
}

void HttpClient::closeConnection(const Endpoint &endpoint,
                                 std::uint64_t connection) {
  Impl->closeConnection(endpoint, connection);
}

} // namespace waxwing
