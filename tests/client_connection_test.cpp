/**
 * @file client_connection_test.cpp
 * Connections to upstreams that stop at any byte of a response, or send a
 * response before its request.
 */
#include "node/client_connection.h"
#include "node/node_clock.h"
#include "support/threaded_tcp_server.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <gtest/gtest.h>

namespace waxwing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint16_t Port = 27490;
constexpr const char *Request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char *HeadRequest = "HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n";

Endpoint serverAddress() { return {"127.0.0.1", Port}; }

/// Reads one request without a body.
/// @return false at the end of the stream
bool readRequest(tcp::socket &socket) {
  std::string input;
  error_code ec;
  asio::read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n", ec);
  return !ec;
}

void write(tcp::socket &socket, std::string_view bytes) {
  error_code ec;
  asio::write(socket, asio::buffer(bytes.data(), bytes.size()), ec);
}

/// How a connection ends.
enum class ConnectionClose : std::uint8_t {
  Orderly, ///< FIN
  Reset,
};

void end(tcp::socket &socket, ConnectionClose how) {
  error_code ec;
  if (how == ConnectionClose::Reset)
    socket.set_option(asio::socket_base::linger(true, 0), ec);
  socket.close(ec);
}

/// Records the response to one request.
class Recorder : public ResponseObserver {
public:
  /// Responses with this status belong to another request.
  static constexpr int OtherRequestStatus = 599;

  bool onResponseHead(http::ResponseHead &head) override {
    if (head.Status == OtherRequestStatus)
      return false;
    Status = head.Status;
    return true;
  }
  void onResponseBody(std::string bytes) override { Body += bytes; }
  void onResponseEnd() override { IsWhole = true; }
  void onConnectionLost(const std::string & /*why*/, bool isSent) override {
    IsLost = true;
    WasSent = isSent;
  }
  bool hasEnded() const { return IsWhole || IsLost; }

  int Status = 0;
  std::string Body;
  bool IsWhole = false;
  bool IsLost = false;
  bool WasSent = false;
};

/// Runs @p loop until @p recorder has ended, or for 5 s.
void runUntilEnd(asio::io_context &loop, const Recorder &recorder) {
  const auto endAt = std::chrono::steady_clock::now() + seconds(5);
  while (!recorder.hasEnded() && std::chrono::steady_clock::now() < endAt) {
    loop.restart();
    loop.run_one_for(milliseconds(50));
  }
}

struct CutResponse {
  const char *Name;
  std::string Head;
  std::string Rest;
  std::string Body;
  /// The body has no length and ends with the connection.
  bool EndsWithConnection = false;
  bool IsHeadMethod = false;
};

std::vector<CutResponse> cutResponses() {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
  const std::string other = "HTTP/1.1 599 X\r\nContent-Length: 3\r\n\r\nabc";
  const std::string length =
      "HTTP/1.1 200 OK\r\nBackend-Signature: s\r\nContent-Length: 5\r\n\r\n";
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string chunks = "2\r\nhe\r\n3;x=1\r\nllo\r\n0\r\nA: b\r\n\r\n";
  const std::string open = "HTTP/1.1 200 OK\r\nBackend-Signature: s\r\n\r\n";
  return {{"length", length, "hello", "hello"},
          {"chunks", chunked, chunks, "hello"},
          {"end of connection", open, "hello", "hello", true},
          {"HEAD", length, "", "", false, true},
          {"interim, length", interim + length, "hello", "hello"},
          {"interim, end", interim + open, "hello", "hello", true},
          {"other, length", other + length, "hello", "hello"},
          {"other, chunks", other + chunked, chunks, "hello"},
          {"other, end", other + open, "hello", "hello", true}};
}

class ClientConnectionTest : public testing::TestWithParam<ConnectionClose> {};

/// MIXED, ORDER: a response whose upstream stopped in the middle of its head,
/// or of its body, was taken for a complete one with an empty or short body.
TEST_P(ClientConnectionTest, ResponseCutAtAnyByteIsNotComplete) {
  std::string bytes;
  std::mutex mutex;
  const ThreadedTcpServer server(Port, [&](tcp::socket &socket) {
    readRequest(socket);
    {
      const std::scoped_lock lock(mutex);
      write(socket, bytes);
    }
    end(socket, GetParam());
  });
  for (const CutResponse &response : cutResponses()) {
    const std::string all = response.Head + response.Rest;
    for (std::size_t cut = 0; cut < all.size(); ++cut) {
      {
        const std::scoped_lock lock(mutex);
        bytes = all.substr(0, cut);
      }
      asio::io_context loop;
      Recorder recorder;
      const auto connection =
          std::make_shared<ClientConnection>(loop, serverAddress());
      connection->open();
      connection->beginRequest(&recorder,
                               response.IsHeadMethod ? HeadRequest : Request,
                               true, response.IsHeadMethod);
      runUntilEnd(loop, recorder);
      connection->close();
      const bool mayBeWhole = response.EndsWithConnection &&
                              cut >= response.Head.size() &&
                              GetParam() == ConnectionClose::Orderly;
      EXPECT_EQ(recorder.IsWhole, mayBeWhole)
          << response.Name << " cut at " << cut << ", status "
          << recorder.Status << ", body " << recorder.Body;
      EXPECT_TRUE(recorder.hasEnded()) << response.Name << " cut at " << cut;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Closes, ClientConnectionTest,
                         testing::Values(ConnectionClose::Orderly,
                                         ConnectionClose::Reset));

/// Whole responses of each framing are complete, so that the cuts above are
/// what makes the difference.
TEST(ClientConnection, WholeResponseIsComplete) {
  for (const CutResponse &response : cutResponses()) {
    const ThreadedTcpServer server(Port, [&](tcp::socket &socket) {
      readRequest(socket);
      write(socket, response.Head + response.Rest);
      end(socket, ConnectionClose::Orderly);
    });
    asio::io_context loop;
    Recorder recorder;
    const auto connection =
        std::make_shared<ClientConnection>(loop, serverAddress());
    connection->open();
    connection->beginRequest(&recorder,
                             response.IsHeadMethod ? HeadRequest : Request,
                             true, response.IsHeadMethod);
    runUntilEnd(loop, recorder);
    EXPECT_TRUE(recorder.IsWhole) << response.Name;
    EXPECT_EQ(recorder.Body, response.Body) << response.Name;
  }
}

/// REFUSED, OWNER: a response that was sent again on an idle connection, and
/// was not read before the next request, was taken for the response to that.
/// MIXED: a late response to another request, without a length, ended the
/// request as if it had got a response; the caller got a message with status 0.
TEST(ClientConnection, ResponseOfAnotherRequestEndsNoRequest) {
  const std::string all = "HTTP/1.1 599 X\r\nA: b\r\n\r\nhello";
  std::string bytes;
  std::mutex mutex;
  const ThreadedTcpServer server(Port, [&](tcp::socket &socket) {
    readRequest(socket);
    {
      const std::scoped_lock lock(mutex);
      write(socket, bytes);
    }
    end(socket, ConnectionClose::Orderly);
  });
  for (std::size_t cut = 0; cut <= all.size(); ++cut) {
    {
      const std::scoped_lock lock(mutex);
      bytes = all.substr(0, cut);
    }
    asio::io_context loop;
    Recorder recorder;
    const auto connection =
        std::make_shared<ClientConnection>(loop, serverAddress());
    connection->open();
    connection->beginRequest(&recorder, Request, true, false);
    runUntilEnd(loop, recorder);
    EXPECT_TRUE(recorder.IsLost) << cut;
    EXPECT_FALSE(recorder.IsWhole) << cut;
    connection->close();
  }
}

TEST(ClientConnection, BytesBeforeTheRequestAreNotItsResponse) {
  const std::string refusal =
      "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  std::promise<void> repeated;
  const ThreadedTcpServer server(Port, [&](tcp::socket &socket) {
    readRequest(socket);
    write(socket, refusal);
    std::this_thread::sleep_for(milliseconds(100));
    write(socket, refusal);
    std::this_thread::sleep_for(milliseconds(50));
    repeated.set_value();
    if (readRequest(socket))
      write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  asio::io_context loop;
  const auto connection =
      std::make_shared<ClientConnection>(loop, serverAddress());
  Recorder first;
  connection->open();
  connection->beginRequest(&first, Request, true, false);
  runUntilEnd(loop, first);
  ASSERT_EQ(first.Status, 503);
  repeated.get_future().wait(); // the loop does not run meanwhile
  ASSERT_TRUE(connection->isReusable());
  Recorder second;
  connection->beginRequest(&second, Request, true, false);
  runUntilEnd(loop, second);
  EXPECT_TRUE(second.IsLost) << "status " << second.Status;
  EXPECT_FALSE(second.WasSent);
}

/// Pauses reading when a body arrives, as for a caller that reads slowly.
class PausingRecorder : public Recorder {
public:
  explicit PausingRecorder(ClientConnection &connection)
      : Connection(connection) {}
  void onResponseBody(std::string bytes) override {
    Recorder::onResponseBody(std::move(bytes));
    Connection.setPaused(true);
  }

private:
  ClientConnection &Connection;
};

/// Timeouts: a connection that was paused when its response ended was reused
/// and never read again.
TEST(ClientConnection, ReadsTheNextResponseAfterAPause) {
  const ThreadedTcpServer server(Port, [&](tcp::socket &socket) {
    while (readRequest(socket))
      write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
  });
  asio::io_context loop;
  const auto connection =
      std::make_shared<ClientConnection>(loop, serverAddress());
  PausingRecorder first(*connection);
  connection->open();
  connection->beginRequest(&first, Request, true, false);
  runUntilEnd(loop, first);
  ASSERT_TRUE(first.IsWhole);
  ASSERT_TRUE(connection->isReusable());
  Recorder second;
  connection->beginRequest(&second, Request, true, false);
  runUntilEnd(loop, second);
  EXPECT_TRUE(second.IsWhole);
  connection->close();
}

} // namespace
} // namespace waxwing
