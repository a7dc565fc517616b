/**
 * @file call_client_test.cpp
 * Orders to upstreams that send an earlier response once more: it is not taken
 * for the response to the next order.
 */
#include "key_orders.h"
#include "node/call_client.h"
#include "node/node_clock.h"
#include "support/threaded_tcp_server.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <optional>

namespace waxwing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint16_t Port = 27492;
constexpr Duration CallTimeout = seconds(3);
/// Time from a response that was sent again to the true one.
constexpr Duration ResponseDelay = milliseconds(100);
constexpr KeyRange Range{100, 200};

/// Reads one order.
/// @return its path, or "" at the end of the stream
std::string readOrder(tcp::socket &socket, std::string &input) {
  error_code ec;
  const std::size_t n =
      asio::read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n", ec);
  if (ec)
    return "";
  const std::string head = input.substr(0, n);
  input.erase(0, n);
  const auto at = head.find("Content-Length: ") + 16;
  const std::size_t size = std::stoul(head.substr(at));
  if (input.size() < size)
    asio::read(socket, asio::dynamic_buffer(input),
               asio::transfer_exactly(size - input.size()), ec);
  input.erase(0, size);
  return head.substr(5, head.find(" HTTP/") - 5);
}

void respond(tcp::socket &socket, int status, const std::string &fields) {
  error_code ec;
  asio::write(socket,
              asio::buffer(fmt::format("HTTP/1.1 {} X\r\n{}Content-Length: "
                                       "0\r\n\r\n",
                                       status, fields)),
              ec);
}

class CallClientTest : public testing::Test {
protected:
  HttpCallResult call(const platform::PlatformRequest &order) {
    std::optional<HttpCallResult> result;
    Calls.call({"127.0.0.1", Port}, order, "i-1", bootNow() + CallTimeout,
               [&](const HttpCallResult &it) { result = it; });
    const auto endAt = std::chrono::steady_clock::now() + 2 * CallTimeout;
    while (!result && std::chrono::steady_clock::now() < endAt) {
      Loop.restart();
      Loop.run_one_for(milliseconds(50));
    }
    EXPECT_TRUE(result.has_value());
    return result.value_or(HttpCallResult());
  }
  HttpCallResult grant(std::uint64_t fence) {
    return call(platform::buildGrantRequest(Range, fence, seconds(4), ""));
  }
  HttpCallResult release(std::uint64_t fence) {
    return call(platform::buildReleaseRequest(Range, fence));
  }

  asio::io_context Loop;
  HttpCallClient Calls{Loop};
};

/// OWNER: the response to a grant was sent again and taken for the response to
/// a release, whose keys then had another owner while the first still worked.
TEST_F(CallClientTest, ResponseToAGrantIsNotTakenForThatToARelease) {
  std::atomic<bool> isReleased = false;
  const ThreadedTcpServer server(Port, [&](tcp::socket &socket) {
    std::string input;
    for (std::string path; !(path = readOrder(socket, input)).empty();) {
      respond(socket, 200, "");
      if (path != "/v1/release")
        continue;
      std::this_thread::sleep_for(ResponseDelay); // its requests still run
      isReleased = true;
      respond(socket, 200, "Handover: h1\r\n");
    }
  });
  ASSERT_EQ(grant(1).Status, 200);
  const HttpCallResult result = release(1);
  EXPECT_EQ(result.Status, 200);
  EXPECT_TRUE(isReleased);
  EXPECT_EQ(platform::readHandoverToken(result.Headers), "h1");
}

/// OWNER: the response to a release was sent again and taken for the response
/// to the next release.
TEST_F(CallClientTest, ResponseToAReleaseIsNotTakenForThatToTheNext) {
  std::atomic<int> releases = 0;
  const ThreadedTcpServer server(Port, [&](tcp::socket &socket) {
    std::string input;
    std::string earlier;
    while (!readOrder(socket, input).empty()) {
      if (!earlier.empty())
        respond(socket, 200, earlier);
      std::this_thread::sleep_for(ResponseDelay); // its requests still run
      earlier = fmt::format("Handover: h{}\r\n", ++releases);
      respond(socket, 200, earlier);
    }
  });
  for (int n = 1; n <= 3; ++n) {
    EXPECT_EQ(platform::readHandoverToken(release(n).Headers),
              fmt::format("h{}", n));
    EXPECT_EQ(releases, n);
  }
}

class RefusedCallTest : public CallClientTest,
                        public testing::WithParamInterface<int> {};

/// OWNER: the refusal of an order was sent again and taken for the response to
/// a grant, which the upstream had accepted.
TEST_P(RefusedCallTest, RefusalIsNotTakenForTheResponseToTheNextOrder) {
  std::atomic<int> orders = 0;
  const ThreadedTcpServer server(Port, [&](tcp::socket &socket) {
    std::string input;
    bool wasRefused = false;
    while (!readOrder(socket, input).empty()) {
      const bool isRefused = ++orders == 1;
      if (isRefused || wasRefused)
        respond(socket, GetParam(), "");
      if (!isRefused)
        respond(socket, 200, "");
      wasRefused = isRefused;
    }
  });
  EXPECT_EQ(grant(1).Status, GetParam());
  EXPECT_EQ(grant(2).Status, 200);
}

INSTANTIATE_TEST_SUITE_P(Statuses, RefusedCallTest,
                         testing::Values(409, 421, 400, 503));

/// Accepted grants reuse their connection.
TEST_F(CallClientTest, GrantsShareAConnection) {
  const ThreadedTcpServer server(Port, [&](tcp::socket &socket) {
    std::string input;
    while (!readOrder(socket, input).empty())
      respond(socket, 200, "");
  });
  for (int n = 1; n <= 3; ++n)
    EXPECT_EQ(grant(n).Status, 200);
  EXPECT_EQ(server.connectionCount(), 1);
}

/// A release on a new connection is accepted without a handover token.
TEST_F(CallClientTest, ReleaseWithoutATokenIsAcceptedOnANewConnection) {
  const ThreadedTcpServer server(Port, [&](tcp::socket &socket) {
    std::string input;
    while (!readOrder(socket, input).empty())
      respond(socket, 200, "");
  });
  EXPECT_EQ(release(1).Status, 200);
}

} // namespace
} // namespace waxwing
