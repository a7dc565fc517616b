/**
 * @file node_connection_process_test.cpp
 * Failures of single connections: callers that disconnect immediately, and
 * upstreams whose accept queue is full.
 */
#include "node_fixture.h"

namespace waxwing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Sends a request and disconnects without waiting for the response.
void sendAndDisconnect(int port, const std::string &id) {
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect(
      {asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)});
  asio::write(socket, asio::buffer(fmt::format(
                          "POST /book/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {}"
                          "\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n",
                          id)));
}

TEST_F(NodeProcessTest, RequestOfADisconnectedCallerIsNotSent) {
  ASSERT_TRUE(waitFor([&] { return sendPlainRequest(0) == 200; }));
  constexpr int requests = 40;
  // The node is stopped meanwhile, so that it reads each request together with
  // the end of its connection.
  Nodes[0]->signal(SIGSTOP);
  for (int n = 0; n < requests; ++n)
    sendAndDisconnect(callerPort(0), "left" + std::to_string(n));
  Nodes[0]->signal(SIGCONT);
  ASSERT_TRUE(waitFor([&] { return sendPlainRequest(0) == 200; }));
  int executions = 0;
  runOnPlatform([&] {
    for (const auto &upstream : Upstreams)
      for (const auto &[id, count] : upstream->executions())
        executions += id.starts_with("left") ? count : 0;
  });
  EXPECT_EQ(executions, 0);
}

/// Listens without accepting and keeps its accept queue full, so that the
/// kernel drops SYN packets, as at an overloaded upstream.
class ListenerWithFullQueue {
public:
  ListenerWithFullQueue(asio::io_context &io, const Endpoint &address)
      : Acceptor(io) {
    const tcp::endpoint endpoint(asio::ip::make_address(address.Address),
                                 address.Port);
    Acceptor.open(endpoint.protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Acceptor.bind(endpoint);
    Acceptor.listen(0);
    for (int n = 0; n < 4; ++n) {
      QueuedConnections.emplace_back(io);
      QueuedConnections.back().open(endpoint.protocol());
      QueuedConnections.back().native_non_blocking(true);
      // Asio's connect() would block until the connection is established.
      const int result = ::connect(QueuedConnections.back().native_handle(),
                                   endpoint.data(), endpoint.size());
      EXPECT_TRUE(result == 0 || errno == EINPROGRESS);
    }
  }

private:
  tcp::acceptor Acceptor;
  std::vector<tcp::socket> QueuedConnections;
};

TEST_F(NodeProcessTest, UpstreamWithFullAcceptQueueIsReplacedWithinASecond) {
  ASSERT_TRUE(waitFor([&] { return sendPlainRequest(0) == 200; }));
  asio::io_context io;
  StandinUpstreamSettings silent;
  silent.Id = "i-silent";
  silent.Service = "plain";
  silent.Domain = "d0";
  silent.Address = address(20);
  const std::string entry = makeStandinUpstreamEntry(silent, 1, false);
  const ListenerWithFullQueue listener(io, silent.Address);
  runOnPlatform([&] {
    Store->put("servers/i-silent", entry);
    for (const int n : {3, 4})
      Store->put("servers/i-" + std::to_string(n), Upstreams[n]->entry(true));
  });
  std::this_thread::sleep_for(seconds(1));
  // Enough concurrent callers that the responding upstream cannot serve all, so
  // that some requests are tried on the upstream with the full queue.
  constexpr int callers = 8;
  std::vector<std::future<void>> running;
  running.reserve(callers);
  for (int caller = 0; caller < callers; ++caller)
    running.push_back(std::async(std::launch::async, [caller] {
      for (int n = 0; n < 10; ++n) {
        const auto begin = std::chrono::steady_clock::now();
        EXPECT_EQ(sendRequest(callerPort(0), "POST", "/book/x",
                              fmt::format("p{}-{}", caller, n), ""),
                  200);
        // The kernel retransmits a SYN after 1 s; the request must have been
        // sent to another upstream by then.
        EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(950));
      }
    }));
  for (auto &result : running)
    result.get();
  EXPECT_GT(readMetric(0, "waxwing_upstream_connections_failed_total"), 0);
}

} // namespace
} // namespace waxwing
