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
};

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
