/**
 * @file second_response_process_test.cpp
 * Upstreams that send a response once more, in the same segment, on the idle
 * connection or in front of the next response: no caller gets a response that
 * is not its own.
 */
#include "scripted_upstream_fixture.h"

#include <random>

namespace waxwing {
namespace {

constexpr int CallerCount = 4;
constexpr int RequestsPerCaller = 150;

TEST_F(ScriptedUpstreamTest, NoCallerGetsTheResponseOfAnother) {
  std::atomic<unsigned> nextSeed = 20261204;
  std::atomic<int> copies = 0;
  for (const int n : {0, 1})
    addScripted(n, [&](Peer &peer) {
      std::mt19937 random(nextSeed++);
      std::string previous;
      for (std::string head; !(head = peer.readHead()).empty();) {
        const std::string response =
            makeSuccess(head, "for " + fieldOf(head, "Request-Id"));
        const unsigned kind = random() % 8;
        copies += kind < 3 ? 1 : 0;
        bool isOpen = true;
        if (kind == 0) // in front of the response
          isOpen = peer.write(previous + response);
        else if (kind == 1) // in the same segment
          isOpen = peer.write(response + response);
        else if (kind == 2) { // on the idle connection, or behind the next head
          isOpen = peer.write(response);
          std::this_thread::sleep_for(milliseconds(random() % 12));
          isOpen = isOpen && peer.write(response.substr(0, random() % 90)) &&
                   peer.write(response);
        } else {
          isOpen = peer.write(response);
        }
        if (!isOpen)
          return;
        previous = response;
      }
    });
  waitForUpstreams();
  std::atomic<int> served = 0;
  std::vector<std::future<void>> callers;
  callers.reserve(CallerCount);
  for (int c = 0; c < CallerCount; ++c)
    callers.push_back(std::async(std::launch::async, [c, &served] {
      boost::asio::io_context io;
      boost::asio::ip::tcp::socket socket(io);
      socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                      static_cast<std::uint16_t>(callerPort(0))});
      Peer peer(socket);
      for (int n = 0; n < RequestsPerCaller; ++n) {
        const std::string id = fmt::format("c{}-{}", c, n);
        ASSERT_TRUE(peer.write(
            fmt::format("GET /lookup/x HTTP/1.1\r\nHost: h\r\nRequest-Id: "
                        "{}\r\nDeadline-Ms: 3000\r\n\r\n",
                        id)));
        const std::string head = peer.readHead();
        ASSERT_FALSE(head.empty());
        EXPECT_EQ(fieldOf(head, "Request-Id"), id);
        const std::string body =
            peer.readBytes(std::stoul(fieldOf(head, "Content-Length")));
        if (head.starts_with("HTTP/1.1 200")) {
          EXPECT_EQ(body, "for " + id);
          ++served;
        }
      }
    }));
  for (auto &caller : callers)
    caller.get();
  EXPECT_GT(copies, 50);
  EXPECT_GT(served, CallerCount * RequestsPerCaller / 2);
}

} // namespace
} // namespace waxwing
