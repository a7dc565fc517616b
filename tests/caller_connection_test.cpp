/**
 * @file caller_connection_test.cpp
 * What a caller's connection does with requests in progress and with a head
 * that has arrived in part, when its time-outs are checked.
 */
#include "node/caller_connection.h"
#include "node/node_clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace waxwing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Leaves all requests at their upstreams.
class WaitingHandler : public ExchangeHandler {
public:
  void beginExchange(const std::shared_ptr<Exchange> &exchange) override {
    Begun.push_back(exchange);
  }
  void continueExchange(const std::shared_ptr<Exchange> & /*it*/) override {}
  void cancelExchange(const std::shared_ptr<Exchange> & /*it*/,
                      ConnectionEnd why) override {
    Cancelled.push_back(why);
  }
  const CallerLimits &callerLimits() const override { return Limits; }
  BodyMemory &bodyMemory() override { return Bodies; }
  void onCallerClosed(const void * /*it*/) override { IsClosed = true; }

  CallerLimits Limits;
  BodyMemory Bodies{1U << 20};
  std::vector<std::shared_ptr<Exchange>> Begun;
  std::vector<ConnectionEnd> Cancelled;
  bool IsClosed = false;
};

class CallerConnectionTest : public testing::Test {
protected:
  CallerConnectionTest() {
    tcp::acceptor acceptor(Loop, {asio::ip::make_address("127.0.0.1"), 0});
    Caller.connect(acceptor.local_endpoint());
    Connection = std::make_shared<CallerConnection>(acceptor.accept(), Handler);
    Connection->start();
  }
  void send(const std::string &bytes) {
    asio::write(Caller, asio::buffer(bytes));
    Loop.run_for(std::chrono::milliseconds(50));
  }
  bool isEnded() {
    Caller.non_blocking(true);
    char next = 0;
    boost::system::error_code ec;
    Caller.read_some(asio::buffer(&next, 1), ec);
    return ec != asio::error::would_block;
  }

  asio::io_context Loop;
  tcp::socket Caller{Loop};
  WaitingHandler Handler;
  std::shared_ptr<CallerConnection> Connection;
};

const std::string Request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string HalfRequest = "GET /b HTTP/1.1\r\nHo";

// LOST: the time-out of the next request's head cancelled a request that was at
// its upstream.
TEST_F(CallerConnectionTest, SlowNextHeadDoesNotCutARequestInProgress) {
  send(Request + HalfRequest);
  ASSERT_EQ(Handler.Begun.size(), 1U);
  Connection->closeIfTimedOut(bootNow() + Handler.Limits.HeaderTimeout +
                              seconds(1));
  EXPECT_TRUE(Handler.Cancelled.empty());
  EXPECT_FALSE(Handler.IsClosed);
}

// A connection counted as idle while the head of a request was arriving: it was
// ended at a planned stop.
TEST_F(CallerConnectionTest, HeadThatArrivesIsNotEndedAsIdle) {
  send(HalfRequest);
  EXPECT_FALSE(Connection->isIdle());
  Connection->endIfIdle();
  EXPECT_FALSE(isEnded());
}

// The same at the idle time-out: the head has its own time-out, which has just
// begun.
TEST_F(CallerConnectionTest, HeadThatArrivesIsNotClosedAsUnused) {
  Handler.Limits.IdleTimeout = milliseconds(200);
  Loop.run_for(std::chrono::milliseconds(190));
  Loop.restart();
  send(HalfRequest);
  Connection->closeIfTimedOut(bootNow());
  EXPECT_FALSE(Handler.IsClosed);
}

// DENIED: the first request of each kept connection was checked against the
// limits that were in force when the one before it ended.
TEST_F(CallerConnectionTest, ChangedLimitsHoldFromTheNextRequestOn) {
  const auto requestOf = [](std::size_t size) {
    return "GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(size, 'x') +
           "\r\n\r\n";
  };
  Handler.Limits.HeaderBytes = 1000;
  send(requestOf(500));
  ASSERT_EQ(Handler.Begun.size(), 1U);
  Handler.Limits.HeaderBytes = 4000;
  send(requestOf(2000));
  ASSERT_EQ(Handler.Begun.size(), 2U);
  EXPECT_FALSE(isEnded());
  Handler.Limits.HeaderBytes = 1000;
  send(requestOf(2000));
  EXPECT_EQ(Handler.Begun.size(), 2U);
}

} // namespace
} // namespace waxwing
