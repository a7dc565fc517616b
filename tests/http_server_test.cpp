/**
 * @file http_server_test.cpp
 * Tests HttpServer over real sockets with pipelined, truncated, oversized and
 * malformed requests.
 */
#include "net/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <mutex>

namespace waxwing {
namespace {

namespace asio = boost::asio;

constexpr std::uint16_t Port = 15990;

/// Responds to each request with its target in brackets. The first response is
/// delayed, so that responses to pipelined requests could overtake it.
class EchoServer {
public:
  EchoServer()
      : Server(Io, limits(),
               [this](const HttpExchange &exchange) { handle(exchange); }) {
    EXPECT_TRUE(Server.listen({"127.0.0.1", Port}).ok());
  }
  ~EchoServer() { Io.stop(); }

  std::vector<std::string> targets() {
    const std::scoped_lock lock(Mutex);
    return Targets;
  }

private:
  static HttpServerLimits limits() {
    HttpServerLimits limits;
    limits.BodyBytes = 1000;
    return limits;
  }

  void handle(const HttpExchange &exchange) {
    const std::scoped_lock lock(Mutex);
    Targets.push_back(exchange.Request.Target);
    const Duration delay = Targets.size() == 1 ? milliseconds(50) : Duration();
    Io.runAt(readClock() + delay, [exchange] {
      HttpResponse response;
      response.Body = "[" + exchange.Request.Target + "]";
      exchange.Reply(std::move(response));
    });
  }

  std::mutex Mutex;
  std::vector<std::string> Targets;
  IoThread Io{"echo"};
  HttpServer Server;
};

/// A client that writes raw bytes.
class RawClient {
public:
  RawClient() { Socket.connect({asio::ip::make_address("127.0.0.1"), Port}); }

  void write(const std::string &bytes) {
    asio::write(Socket, asio::buffer(bytes));
  }
  void shutdownSend() { Socket.shutdown(asio::ip::tcp::socket::shutdown_send); }

  /// @return all bytes that the server sent until it closed the connection
  std::string readAll() {
    std::string text;
    boost::system::error_code ec;
    asio::read(Socket, asio::dynamic_buffer(text), ec);
    return text;
  }

private:
  asio::io_context Context;
  asio::ip::tcp::socket Socket{Context};
};

std::string formatGetRequest(const std::string &target, bool isLast) {
  return "GET " + target + " HTTP/1.1\r\nHost: a\r\n" +
         (isLast ? "Connection: close\r\n" : "") + "\r\n";
}

TEST(HttpServer, PipelinedRequestsGetTheirResponsesInOrder) {
  EchoServer server;
  RawClient client;
  client.write(formatGetRequest("/1", false) + formatGetRequest("/2", false) +
               formatGetRequest("/3", true));
  const std::string responses = client.readAll();
  const auto first = responses.find("[/1]");
  const auto second = responses.find("[/2]");
  const auto third = responses.find("[/3]");
  ASSERT_NE(third, std::string::npos) << responses;
  EXPECT_LT(first, second);
  EXPECT_LT(second, third);
}

TEST(HttpServer, TruncatedRequestIsNotHandled) {
  EchoServer server;
  RawClient client;
  client.write(
      "POST /cut HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nab");
  client.shutdownSend();
  client.readAll();
  EXPECT_TRUE(server.targets().empty());
}

TEST(HttpServer, OversizedBodyIsRefusedAndNotHandled) {
  EchoServer server;
  RawClient client;
  client.write("POST /big HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" +
               std::string(5000, 'x'));
  client.shutdownSend();
  EXPECT_EQ(client.readAll().substr(0, 12), "HTTP/1.1 413");
  EXPECT_TRUE(server.targets().empty());
}

TEST(HttpServer, MalformedRequestIsRefused) {
  EchoServer server;
  RawClient client;
  client.write("GET\x01 nonsense\r\n\r\n");
  client.shutdownSend();
  EXPECT_EQ(client.readAll().substr(0, 12), "HTTP/1.1 400");
  EXPECT_TRUE(server.targets().empty());
}

} // namespace
} // namespace waxwing
