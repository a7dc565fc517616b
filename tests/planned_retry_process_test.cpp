/**
 * @file planned_retry_process_test.cpp
 * Requests that are sent, or sent again, late in the grace period of a stop:
 * the end of the process must not cut them.
 */
#include "scripted_upstream_fixture.h"

namespace waxwing {
namespace {

/// Requests are refused from a little before this time after SIGTERM; the grace
/// period ends at twice this time.
constexpr Duration AcceptanceTime = seconds(3);

class PlannedRetryTest : public ScriptedUpstreamTest {
protected:
  /// Connects a caller to node 0, before it stops.
  static std::unique_ptr<boost::asio::ip::tcp::socket>
  connect(boost::asio::io_context &io) {
    auto socket = std::make_unique<boost::asio::ip::tcp::socket>(io);
    socket->connect({boost::asio::ip::make_address("127.0.0.1"),
                     static_cast<std::uint16_t>(callerPort(0))});
    return socket;
  }
  /// @return a request that may run once and has @p deadline
  static std::string makeRequest(const std::string &id, Duration deadline) {
    return fmt::format("POST /bulk/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {}\r\n"
                       "Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                       id, toMilliseconds(deadline));
  }
  /// Adds two upstreams that refuse the first delivery of a request after
  /// @p refusalDelay and serve the second after @p delay.
  void addRefusingUpstreams(Duration refusalDelay, Duration delay) {
    for (const int n : {0, 1})
      addScripted(n, [this, refusalDelay, delay](Peer &peer) {
        for (std::string head; !(head = peer.readHead()).empty();) {
          const bool isFirst = Deliveries++ == 0;
          std::this_thread::sleep_for(isFirst ? refusalDelay : delay);
          peer.write(isFirst
                         ? makeResponse(head, 503, "Not-Executed: 1\r\n", "")
                         : makeSuccess(head, "x"));
        }
      });
    waitForUpstreams();
  }

  std::atomic<int> Deliveries = 0;
};

/// LOST at a planned stop: a request that an upstream had refused late in the
/// grace period was sent to another one and cut at the end of the period.
TEST_F(PlannedRetryTest, RequestRefusedLateIsNotSentAgain) {
  addRefusingUpstreams(AcceptanceTime + milliseconds(400), AcceptanceTime);
  boost::asio::io_context io;
  const auto socket = connect(io);
  Peer caller(*socket);
  Nodes[0]->signal(SIGTERM);
  caller.write(makeRequest("late", seconds(20)));
  const std::string head = caller.readHead();
  EXPECT_TRUE(head.starts_with("HTTP/1.1 503")) << head;
  EXPECT_EQ(Deliveries, 1);
}

/// A request whose deadline is before the end of the grace period cannot be cut
/// by it, so it is sent again.
TEST_F(PlannedRetryTest, RequestWithAnEarlyDeadlineIsSentAgain) {
  addRefusingUpstreams(AcceptanceTime + milliseconds(400), milliseconds(200));
  boost::asio::io_context io;
  const auto socket = connect(io);
  Peer caller(*socket);
  Nodes[0]->signal(SIGTERM);
  caller.write(makeRequest("late", 2 * AcceptanceTime - milliseconds(600)));
  const std::string head = caller.readHead();
  EXPECT_TRUE(head.starts_with("HTTP/1.1 200")) << head;
  EXPECT_EQ(Deliveries, 2);
}

/// LOST at a planned stop: requests that the node read after a stall, later
/// than it accepts requests, were sent and cut at the end of the grace period.
TEST_F(PlannedRetryTest, RequestsReadAfterTheEndOfAcceptanceAreRefused) {
  for (const int n : {0, 1})
    addScripted(n, [](Peer &peer) {
      for (std::string head; !(head = peer.readHead()).empty();) {
        std::this_thread::sleep_for(AcceptanceTime);
        peer.write(makeSuccess(head, "x"));
      }
    });
  waitForUpstreams();
  boost::asio::io_context io;
  std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> sockets;
  std::vector<Peer> callers;
  for (int n = 0; n < 12; ++n) {
    sockets.push_back(connect(io));
    callers.emplace_back(*sockets.back());
  }
  Nodes[0]->signal(SIGTERM);
  // Keeps the node from closing its idle connections.
  callers.front().write(makeRequest("long", seconds(20)));
  std::this_thread::sleep_for(AcceptanceTime - milliseconds(700));
  Nodes[0]->signal(SIGSTOP);
  for (std::size_t n = 1; n < callers.size(); ++n)
    callers[n].write(makeRequest(fmt::format("late{}", n), seconds(20)));
  std::this_thread::sleep_for(seconds(1));
  Nodes[0]->signal(SIGCONT);
  for (std::size_t n = 0; n < callers.size(); ++n)
    EXPECT_FALSE(callers[n].readHead().empty()) << n;
}

} // namespace
} // namespace waxwing
