/**
 * @file broken_response_process_test.cpp
 * Upstreams that stop in the middle of a response: no caller gets a response
 * that looks complete and is not.
 */
#include "scripted_upstream_fixture.h"

namespace waxwing {
namespace {

/// Larger than what is buffered until a response is complete.
constexpr std::size_t LargeBodyBytes = 400000;

class BrokenResponseTest : public ScriptedUpstreamTest {
protected:
  /// Sends a request that may run once.
  /// @return everything received; @p ec is the end of the connection
  static std::string request(const std::string &path, const std::string &id,
                             const std::string &version,
                             boost::system::error_code &ec) {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                    static_cast<std::uint16_t>(callerPort(0))});
    const std::string head = fmt::format(
        "POST {} HTTP/{}\r\nHost: h\r\nRequest-Id: {}\r\nDeadline-Ms: 3000\r\n"
        "Content-Length: 0\r\nConnection: close\r\n\r\n",
        path, version, id);
    boost::asio::write(socket, boost::asio::buffer(head), ec);
    std::string received;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), ec);
    return received;
  }
};

/// MIXED, ORDER: an upstream stopped in the middle of a response's head and
/// closed; the caller got a 200 with an empty or short body.
TEST_F(BrokenResponseTest, HeadCutAtAnyByteIsNoSuccess) {
  addScripted(0, [](Peer &peer) {
    for (std::string head; !(head = peer.readHead()).empty();) {
      const std::string id = fieldOf(head, "Request-Id");
      const auto path = head.substr(0, head.find(" HTTP/"));
      const std::string response =
          path.ends_with("chunks")
              ? fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\n"
                            "Backend-Signature: s\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                            id)
              : makeSuccess(head, "hello");
      const std::size_t cut = std::stoul(id.substr(id.find('-') + 1));
      peer.write(response.substr(0, cut));
      if (cut < response.size()) {
        peer.end();
        return;
      }
    }
  });
  waitForUpstreams();
  int successes = 0;
  for (const char *framing : {"length", "chunks"})
    for (int cut = 1; cut < 150; cut += 4)
      for (const int size : {cut, 999}) {
        // A whole response in between ends the back-off of the upstream.
        boost::system::error_code ec;
        const std::string received =
            request(std::string("/bulk/") + framing,
                    fmt::format("{}-{:03}", framing, size), "1.1", ec);
        if (!received.starts_with("HTTP/1.1 200"))
          continue;
        ++successes;
        EXPECT_TRUE(received.ends_with("\r\n\r\nhello"))
            << framing << " cut at " << size << ": " << received;
      }
  EXPECT_GT(successes, 60);
}

/// MIXED: a response without a length for an HTTP/1.0 caller ended as if it
/// were complete when its upstream broke off.
TEST_F(BrokenResponseTest, ConnectionOfAnHttp10CallerIsReset) {
  addScripted(0, [](Peer &peer) {
    const std::string head = peer.readHead();
    peer.write(fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\n"
                           "Backend-Signature: s\r\nTransfer-Encoding: "
                           "chunked\r\n\r\n{:x}\r\n{}\r\n",
                           fieldOf(head, "Request-Id"), LargeBodyBytes,
                           std::string(LargeBodyBytes, 'x')));
    // The connection is reset, which would drop what the node has not read.
    std::this_thread::sleep_for(milliseconds(300));
  });
  waitForUpstreams();
  boost::system::error_code ec;
  const std::string received = request("/bulk/x", "old", "1.0", ec);
  EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received.substr(0, 60);
  EXPECT_EQ(ec, boost::asio::error::connection_reset) << ec.message();
}

} // namespace
} // namespace waxwing
