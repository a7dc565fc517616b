/**
 * @file node_connection_process_test.cpp
 * Troubles of single connections: callers that leave at once, upstreams whose
 * queue of new connections is full.
 */
#include "node_fixture.h"

namespace waxwing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Sends a request and leaves without waiting for the answer.
void sendAndLeave(int port, const std::string &id) {
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect(
      {asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)});
  asio::write(socket, asio::buffer(fmt::format(
                          "POST /book/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {}"
                          "\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n",
                          id)));
}

TEST_F(NodeProcessTest, RequestWhoseCallerHasLeftIsNotSent) {
  ASSERT_TRUE(waitFor([&] { return requestPlain(0) == 200; }));
  constexpr int requests = 40;
  // The node stands still meanwhile, so that it finds each request together
  // with the end of its connection.
  Nodes[0]->signal(SIGSTOP);
  for (int n = 0; n < requests; ++n)
    sendAndLeave(callerPort(0), "left" + std::to_string(n));
  Nodes[0]->signal(SIGCONT);
  ASSERT_TRUE(waitFor([&] { return requestPlain(0) == 200; }));
  int runs = 0;
  runOnPlatform([&] {
    for (const auto &upstream : Upstreams)
      for (const auto &[id, count] : upstream->runs())
        runs += id.starts_with("left") ? count : 0;
  });
  EXPECT_EQ(runs, 0);
}

/// Listens without accepting, with its queue of new connections full: opening
/// packets are dropped, as at a busy upstream.
class FullListener {
public:
  FullListener(asio::io_context &io, const Endpoint &address) : Acceptor(io) {
    const tcp::endpoint endpoint(asio::ip::make_address(address.Address),
                                 address.Port);
    Acceptor.open(endpoint.protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Acceptor.bind(endpoint);
    Acceptor.listen(0);
    for (int n = 0; n < 4; ++n) {
      Fillers.emplace_back(io);
      Fillers.back().open(endpoint.protocol());
      Fillers.back().native_non_blocking(true);
      // Asio's own call would wait until the connection stands.
      const int result = ::connect(Fillers.back().native_handle(),
                                   endpoint.data(), endpoint.size());
      EXPECT_TRUE(result == 0 || errno == EINPROGRESS);
    }
  }

private:
  tcp::acceptor Acceptor;
  std::vector<tcp::socket> Fillers;
};

TEST_F(NodeProcessTest, UpstreamThatTakesNoConnectionsIsLeftWithinTheTarget) {
  ASSERT_TRUE(waitFor([&] { return requestPlain(0) == 200; }));
  asio::io_context io;
  StandinPlatformUpstream silent;
  silent.Id = "i-silent";
  silent.Service = "plain";
  silent.Domain = "d0";
  silent.Address = address(20);
  std::string entry;
  {
    asio::io_context unused;
    entry = StandinUpstreamHost(unused, silent).entry(false);
  }
  const FullListener listener(io, silent.Address);
  runOnPlatform([&] {
    Store->put("servers/i-silent", entry);
    for (const int n : {3, 4})
      Store->put("servers/i-" + std::to_string(n), Upstreams[n]->entry(true));
  });
  std::this_thread::sleep_for(seconds(1));
  // So many at a time that the upstream that answers cannot take all.
  constexpr int callers = 8;
  std::vector<std::future<void>> running;
  running.reserve(callers);
  for (int caller = 0; caller < callers; ++caller)
    running.push_back(std::async(std::launch::async, [caller] {
      for (int n = 0; n < 10; ++n) {
        const auto begin = std::chrono::steady_clock::now();
        EXPECT_EQ(requestStatus(callerPort(0), "POST", "/book/x",
                                fmt::format("p{}-{}", caller, n), ""),
                  200);
        // An opening packet is sent again after 1 s: the request must have
        // gone elsewhere by then.
        EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(950));
      }
    }));
  for (auto &result : running)
    result.get();
  EXPECT_GT(metric(0, "waxwing_upstream_connections_failed_total"), 0);
}

} // namespace
} // namespace waxwing
