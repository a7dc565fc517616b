/**
 * @file http_server_test.cpp
 * Callers that pipeline, cut off or oversize their requests on real sockets.
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

/// A server that answers each request with its target, the first one late.
class EchoServer {
public:
  EchoServer()
      : Server(Io, limits(), [this](const HttpExchange &it) { take(it); }) {
    EXPECT_TRUE(Server.listen({"127.0.0.1", Port}).ok());
  }
  ~EchoServer() { Io.stop(); }

  std::vector<std::string> targets() {
    const std::scoped_lock lock(Guard);
    return Targets;
  }

private:
  static HttpServerLimits limits() {
    HttpServerLimits limits;
    limits.BodyBytes = 1000;
    return limits;
  }

  void take(const HttpExchange &exchange) {
    const std::scoped_lock lock(Guard);
    Targets.push_back(exchange.Request.Target);
    const Duration delay = Targets.size() == 1 ? milliseconds(50) : Duration();
    Io.runAt(readClock() + delay, [exchange] {
      HttpResponse response;
      response.Body = "[" + exchange.Request.Target + "]";
      exchange.Reply(std::move(response));
    });
  }

  std::mutex Guard;
  std::vector<std::string> Targets;
  IoThread Io{"echo"};
  HttpServer Server;
};

/// A caller that writes bytes as they are.
class RawCaller {
public:
  RawCaller() { Socket.connect({asio::ip::make_address("127.0.0.1"), Port}); }

  void write(const std::string &bytes) {
    asio::write(Socket, asio::buffer(bytes));
  }
  void endWriting() { Socket.shutdown(asio::ip::tcp::socket::shutdown_send); }

  /// @return all that the server sent until it closed
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

std::string get(const std::string &target, bool isLast) {
  return "GET " + target + " HTTP/1.1\r\nHost: a\r\n" +
         (isLast ? "Connection: close\r\n" : "") + "\r\n";
}

TEST(HttpServer, PipelinedRequestsGetTheirOwnAnswersInOrder) {
  EchoServer server;
  RawCaller caller;
  caller.write(get("/1", false) + get("/2", false) + get("/3", true));
  const std::string answers = caller.readAll();
  const auto first = answers.find("[/1]");
  const auto second = answers.find("[/2]");
  const auto third = answers.find("[/3]");
  ASSERT_NE(third, std::string::npos) << answers;
  EXPECT_LT(first, second);
  EXPECT_LT(second, third);
}

TEST(HttpServer, CutOffRequestIsNotTaken) {
  EchoServer server;
  RawCaller caller;
  caller.write(
      "POST /cut HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nab");
  caller.endWriting();
  caller.readAll();
  EXPECT_TRUE(server.targets().empty());
}

TEST(HttpServer, OversizedBodyIsRefusedAndNotTaken) {
  EchoServer server;
  RawCaller caller;
  caller.write("POST /big HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" +
               std::string(5000, 'x'));
  caller.endWriting();
  EXPECT_EQ(caller.readAll().substr(0, 12), "HTTP/1.1 413");
  EXPECT_TRUE(server.targets().empty());
}

TEST(HttpServer, MalformedRequestIsRefused) {
  EchoServer server;
  RawCaller caller;
  caller.write("GET\x01 nonsense\r\n\r\n");
  caller.endWriting();
  EXPECT_EQ(caller.readAll().substr(0, 12), "HTTP/1.1 400");
  EXPECT_TRUE(server.targets().empty());
}

} // namespace
} // namespace waxwing
