/**
 * @file attempt_test.cpp
 * Attempts whose upstream leaves while their connection is established.
 */
#include "node/attempt.h"
#include "node/node_clock.h"
#include "support/threaded_tcp_server.h"

#include <gtest/gtest.h>

namespace waxwing {
namespace {

constexpr std::uint16_t Port = 27493;

class AttemptTest : public testing::Test, public AttemptHandler {
protected:
  AttemptTest()
      : Server(Port, [this](boost::asio::ip::tcp::socket &socket) {
          std::array<char, 1024> buffer{};
          boost::system::error_code ec;
          Received += socket.read_some(boost::asio::buffer(buffer), ec);
        }) {}

  /// Sends a request over a new connection.
  /// @return how the attempt ended, if it did within 0.5 s
  std::optional<AttemptResult> send() {
    const auto exchange = std::make_shared<Exchange>();
    exchange->Head.Method = "GET";
    exchange->Head.Target = "/";
    exchange->Body.markWhole();
    exchange->TimeoutAt = bootNow() + seconds(2);
    UpstreamEntry upstream;
    upstream.Id = UpstreamId("i-1");
    const auto connection =
        std::make_shared<ClientConnection>(Loop, Endpoint{"127.0.0.1", Port});
    connection->open();
    const auto attempt =
        std::make_shared<Attempt>(*this, exchange, upstream, connection, true);
    attempt->start(bootNow());
    Loop.run_for(std::chrono::milliseconds(500));
    connection->close();
    return Result;
  }

  void onAttemptEnd(const std::shared_ptr<Exchange> & /*exchange*/,
                    Attempt & /*attempt*/,
                    const AttemptResult &result) override {
    Result = result;
  }
  bool hasLeft(const UpstreamProcess & /*process*/) const override {
    return HasLeft;
  }
  void onLoadReport(const UpstreamId & /*upstream*/,
                    const platform::LoadReport & /*report*/) override {}
  void onLeavingAnnounced(const UpstreamProcess & /*process*/) override {}
  void onPauseAsked(const UpstreamEntry & /*upstream*/,
                    std::chrono::duration<double> /*pause*/) override {}
  void onLimitNamed(const UpstreamProcess & /*process*/,
                    std::optional<double> /*perS*/) override {}
  bool wouldRetry(const Exchange & /*exchange*/) const override {
    return false;
  }
  bool isDraining() const override { return false; }

  boost::asio::io_context Loop;
  std::atomic<std::size_t> Received = 0; ///< bytes at the upstream
  bool HasLeft = false;
  std::optional<AttemptResult> Result;
  ThreadedTcpServer Server;
};

// DRAIN: a request that waited for its connection was sent to an upstream that
// had left meanwhile.
TEST_F(AttemptTest, UpstreamThatHasLeftMeanwhileGetsNoRequest) {
  HasLeft = true;
  const auto result = send();
  ASSERT_TRUE(result);
  EXPECT_FALSE(result->IsDelivered);
  EXPECT_TRUE(result->IsNotExecuted);
  EXPECT_EQ(Received, 0U);
}

TEST_F(AttemptTest, UpstreamThatStaysGetsTheRequest) {
  send();
  EXPECT_GT(Received, 0U);
}

} // namespace
} // namespace waxwing
