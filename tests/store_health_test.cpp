/**
 * @file store_health_test.cpp
 * Which failed calls show that the store was away.
 */
#include "node/node_clock.h"
#include "node/store_client.h"
#include "scripted_upstream_fixture.h"

#include <gtest/gtest.h>

namespace waxwing {
namespace {

constexpr std::uint16_t StorePort = NodeBasePort + 90;

class StoreHealthTest : public testing::Test {
protected:
  /// Records a call that failed after @p wait.
  void fail(CallLoss loss, bool isFirstCall, int status = 0,
            StoreCallKind kind = StoreCallKind::Prompt,
            Duration wait = milliseconds(10)) {
    HttpCallResult result;
    result.BegunAt = Now;
    result.Loss = loss;
    result.IsFirstCall = isFirstCall;
    result.Status = status;
    Now += wait;
    Health.recordFailure(result, kind, "test", Now);
  }
  void answer() {
    const Time begunAt = Now;
    Now += milliseconds(5);
    Health.recordAnswer(begunAt, Now);
  }

  StoreHealth Health;
  Time Now = Time(seconds(1000));
};

// DRAIN: a VM whose link was cut or slow put off the removal of upstreams by
// 2.2 s, although the store had served all other VMs.
TEST_F(StoreHealthTest, OutageInWhichOthersWereAnsweredIsWithdrawn) {
  answer();
  const Time before = Now;
  fail(CallLoss::NotConnected, true, 0, StoreCallKind::Prompt, seconds(1));
  EXPECT_TRUE(Health.isUnavailable());
  answer();
  EXPECT_EQ(Health.recoveredAt(), Now);
  int withdrawn = 0;
  Health.OnOutageWithdrawn = [&] { ++withdrawn; };
  Health.recordPeerService({before - seconds(9), Now - milliseconds(100)}, Now);
  EXPECT_EQ(withdrawn, 1);
  EXPECT_EQ(Health.recoveredAt(), Time());
  // Known before the link is back: the outage is not noticed at all.
  fail(CallLoss::NotConnected, true, 0, StoreCallKind::Prompt, seconds(1));
  Health.recordPeerService({before, Now}, Now);
  answer();
  EXPECT_EQ(Health.recoveredAt(), Time());
  EXPECT_EQ(Health.ownOutageCount(), 2U);
}

// DRAIN: outages that came one after the other put the removals off each time.
TEST_F(StoreHealthTest, ConsecutiveOwnOutagesAreWithdrawnTogether) {
  answer();
  const Time before = Now;
  for (int n = 0; n < 3; ++n) {
    fail(CallLoss::NotConnected, true, 0, StoreCallKind::Prompt, seconds(1));
    answer();
  }
  Health.recordPeerService({before, Now}, Now);
  EXPECT_EQ(Health.recoveredAt(), Time());
}

// Guards against removals of entries that expired while the store was away,
// since others were answered before and after.
TEST_F(StoreHealthTest, OutageOfAllVmsIsNotWithdrawn) {
  answer();
  const Time before = Now;
  Health.recordPeerService({before - seconds(9), Now}, Now);
  fail(CallLoss::NotConnected, true, 0, StoreCallKind::Prompt,
       milliseconds(700));
  answer();
  const Time recoveredAt = Now;
  Health.recordPeerService({before - seconds(9), before + milliseconds(10)},
                           Now);
  Health.recordPeerService({recoveredAt - milliseconds(20), Now}, Now);
  Now += seconds(1);
  Health.recordPeerService({recoveredAt - milliseconds(20), Now}, Now);
  EXPECT_EQ(Health.recoveredAt(), recoveredAt);
}

// Guards against a VM that was stopped while the store was away, and would tell
// the others that it served all the while.
TEST_F(StoreHealthTest, StoppedVmDoesNotKnowOfTheStoreMeanwhile) {
  answer();
  Now += seconds(1);
  answer();
  ASSERT_TRUE(Health.knownService());
  EXPECT_EQ(Health.knownService()->Since, Time(seconds(1000)));
  Now += seconds(8);
  const Time continuedAt = Now;
  Health.recordPeerService({Now - seconds(3), Now}, Now);
  EXPECT_EQ(Health.knownService()->Since, continuedAt - seconds(3));
  answer();
  EXPECT_EQ(Health.knownService()->Since, continuedAt - seconds(3));
}

// Guards against the removal of entries that a restored store lacks.
TEST_F(StoreHealthTest, RestorationIsNotWithdrawn) {
  answer();
  const Time before = Now;
  fail(CallLoss::NotConnected, true, 0, StoreCallKind::Prompt, seconds(1));
  answer();
  Health.noteRestored(Now);
  const Time restoredAt = Now;
  Health.recordPeerService({before - seconds(9), Now}, Now);
  EXPECT_EQ(Health.recoveredAt(), restoredAt);
}

// DRAIN: each watch that the store cut counted as an outage, which put off the
// removal of upstreams that had left.
TEST_F(StoreHealthTest, CutWatchesAreNoOutage) {
  for (int n = 0; n < 5; ++n) {
    fail(CallLoss::Ended, n % 2 == 0, 0, StoreCallKind::Waiting);
    fail(CallLoss::Silent, n % 2 == 0, 0, StoreCallKind::Waiting, seconds(4));
    EXPECT_FALSE(Health.isUnavailable());
    answer();
  }
  EXPECT_EQ(Health.recoveredAt(), Time());
  EXPECT_EQ(Health.lostCallCount(), 10U);
}

// DRAIN: a reset of one connection counted as an outage.
TEST_F(StoreHealthTest, EndOfAConnectionIsNoOutage) {
  for (int n = 0; n < 3; ++n) {
    fail(CallLoss::Ended, false);
    fail(CallLoss::Ended, true);
    EXPECT_FALSE(Health.isUnavailable());
    answer();
  }
  EXPECT_EQ(Health.recoveredAt(), Time());
}

// Guards against removals of entries that expired while the store reset all
// connections.
TEST_F(StoreHealthTest, EndsOfNewConnectionsAreAnOutage) {
  fail(CallLoss::Ended, true);
  fail(CallLoss::Ended, true);
  EXPECT_EQ(Health.state(), StoreState::Away);
  answer();
  EXPECT_EQ(Health.recoveredAt(), Now);
}

// Guards against removals of entries that expired while the store could not be
// reached or served nobody.
TEST_F(StoreHealthTest, UnreachableOrUnservingStoreIsAnOutage) {
  for (const auto &[loss, status] :
       {std::pair(CallLoss::NotConnected, 0), std::pair(CallLoss::None, 503),
        std::pair(CallLoss::Silent, 0)}) {
    fail(loss, true, status);
    EXPECT_EQ(Health.state(), StoreState::Away) << callLossName(loss);
    answer();
    EXPECT_FALSE(Health.isUnavailable());
    EXPECT_EQ(Health.recoveredAt(), Now) << callLossName(loss);
  }
  EXPECT_EQ(Health.outageCount(), 3U);
}

// DRAIN: a refusal for too many calls counted as an outage, although the store
// serves others.
TEST_F(StoreHealthTest, RefusalOfThisVmIsNoOutage) {
  fail(CallLoss::None, false, 429);
  EXPECT_TRUE(Health.isUnavailable());
  answer();
  EXPECT_FALSE(Health.isUnavailable());
  EXPECT_EQ(Health.recoveredAt(), Time());
}

// DRAIN: a connection on which nothing arrived any more counted as an outage
// while the store answered other calls.
TEST_F(StoreHealthTest, SilentConnectionBesideAnswersIsNoOutage) {
  int silent = 0;
  Health.OnConnectionSilent = [&silent] { ++silent; };
  HttpCallResult result;
  result.BegunAt = Now;
  result.Loss = CallLoss::Silent;
  Now += milliseconds(400);
  answer();
  Now += milliseconds(800);
  Health.recordFailure(result, StoreCallKind::Prompt, "test", Now);
  EXPECT_FALSE(Health.isUnavailable());
  EXPECT_EQ(silent, 1); // other watches may be silent too
}

// DRAIN: a lost opening packet counted as an outage while the store answered
// other calls.
TEST_F(StoreHealthTest, LostOpeningPacketBesideAnswersIsNoOutage) {
  HttpCallResult result;
  result.BegunAt = Now;
  result.Loss = CallLoss::NotConnected;
  result.IsFirstCall = true;
  Now += milliseconds(300);
  Health.recordAnswer(Now - seconds(2), Now);
  Now += milliseconds(100);
  Health.recordFailure(result, StoreCallKind::Prompt, "test", Now);
  EXPECT_FALSE(Health.isUnavailable());
}

// DRAIN: VMs whose reader had lost only its own link put off removals after its
// return.
TEST_F(StoreHealthTest, OutageOfTheReaderAloneEndsWithTheFirstOwnAnswer) {
  Health.recordRelayedAnswer(Now, Time(), Now);
  Now += milliseconds(1400);
  answer();
  const Time servedAt = Now;
  Now += seconds(4);
  answer();
  const Time readerRecoveredAt = Now;
  for (int n = 0; n < 3; ++n) { // stated with each report
    Now += milliseconds(400);
    Health.recordRelayedAnswer(Now, readerRecoveredAt, Now);
    EXPECT_EQ(Health.recoveredAt(), servedAt);
  }
}

// Guards against removals of entries that expired in an outage which only the
// reader has noticed.
TEST_F(StoreHealthTest, OutageThatTheReaderNoticedCounts) {
  Health.recordRelayedAnswer(Now, Time(), Now);
  Now += milliseconds(1000);
  const Time readerRecoveredAt = Now;
  Health.recordRelayedAnswer(Now, readerRecoveredAt, Now);
  EXPECT_EQ(Health.recoveredAt(), readerRecoveredAt);
}

// Guards against an own answer from before an outage that rules out the outage.
TEST_F(StoreHealthTest, OwnAnswersBeforeAnOutageDoNotRuleItOut) {
  answer();
  Now += seconds(1);
  fail(CallLoss::NotConnected, true);
  Now += seconds(3);
  const Time readerRecoveredAt = Now;
  Health.recordRelayedAnswer(Now, readerRecoveredAt, Now);
  EXPECT_EQ(Health.recoveredAt(), readerRecoveredAt);
}

/// Calls to a store whose first connection becomes silent, or slow, after an
/// answer.
class StoreCheckTest : public testing::Test {
protected:
  /// @param isServingOthers false if further connections are silent, too
  /// @param delay time until the second response on the first connection
  void run(bool isServingOthers, Duration delay = seconds(60)) {
    std::atomic<int> connections = 0;
    std::atomic<bool> isEnded = false;
    ThreadedTcpServer server(StorePort, [&](auto &socket) {
      Peer peer(socket);
      const bool isFirst = ++connections == 1;
      for (int n = 0; !peer.readHead().empty(); ++n) {
        const Time answerAt = bootNow() + (isFirst ? delay : seconds(60));
        while (bootNow() < answerAt && (isFirst ? n > 0 : !isServingOthers) &&
               !isEnded)
          std::this_thread::sleep_for(milliseconds(5));
        const std::string body =
            R"({"items":[],"has_more":false,"store_revision":5})";
        peer.write(fmt::format("HTTP/1.1 200 X\r\nStore-Era: 1\r\n"
                               "Content-Length: {}\r\n\r\n{}",
                               body.size(), body));
      }
    });
    boost::asio::io_context loop;
    HttpCallClient calls(loop);
    NodeStoreClient store(loop, calls, Health, {"127.0.0.1", StorePort}, true);
    const auto request = platform::buildListRequest("op/", "");
    store.call(request, bootNow() + seconds(1), [&](const auto &first) {
      ASSERT_EQ(first.Status, 200);
      Health.recordAnswer(first.BegunAt, bootNow());
      store.call(request, bootNow() + CallTimeout, [&](const auto &second) {
        EXPECT_EQ(second.Loss == CallLoss::None, delay < CallTimeout);
        EXPECT_FALSE(second.IsFirstCall);
        Health.recordCall(second, second.Status == 200, bootNow());
      });
    });
    boost::asio::steady_timer end(loop, CallTimeout + seconds(1));
    end.async_wait([&loop](const auto & /*ec*/) { loop.stop(); });
    const std::size_t events = loop.run_for(std::chrono::seconds(10));
    EXPECT_LT(events, 200U); // no timer fires again and again meanwhile
    EXPECT_GE(store.checkCount(), 1U);
    isEnded = true;
  }

  static constexpr Duration CallTimeout = seconds(2);
  StoreHealth Health;
};

// DRAIN: on a congested link, a check without a response counted as an outage
// although the call that it was sent for got one.
TEST_F(StoreCheckTest, CheckWithoutAResponseIsNoOutage) {
  run(false, milliseconds(900));
  EXPECT_EQ(Health.state(), StoreState::Serving);
  EXPECT_EQ(Health.recoveredAt(), Time());
}

// DRAIN: a call on a connection that had become silent counted as an outage,
// since no other call showed that the store served.
TEST_F(StoreCheckTest, SilentConnectionIsToldFromAnOutage) {
  run(true);
  EXPECT_EQ(Health.state(), StoreState::Serving);
  EXPECT_EQ(Health.recoveredAt(), Time());
}

// Guards against a store that accepts connections and answers nobody, which
// would be taken for a silent connection.
TEST_F(StoreCheckTest, StoreThatAnswersNobodyIsAway) {
  run(false);
  EXPECT_EQ(Health.state(), StoreState::Away);
}

} // namespace
} // namespace waxwing
