/**
 * @file upstream_port_test.cpp
 * Verdicts of attempts against an upstream that cuts off, crosses, delays
 * and doubles its answers on real sockets.
 */
#include "fake_tcp_upstream.h"
#include "router/upstream_port.h"

#include <algorithm>
#include <future>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwing {
namespace {

constexpr std::uint16_t FirstPort = 14000;
constexpr std::uint16_t UnusedPort = 14999;
constexpr Duration AttemptTimeout = milliseconds(200);

/// Drives a port as the decisions do.
class PortDriver {
public:
  explicit PortDriver(std::uint16_t port)
      : To{"127.0.0.1", port}, Port(8, [this] { wake(); }) {}
  ~PortDriver() { Port.stop(); }

  AttemptId start(const std::string &target, const std::string &method = "POST",
                  bool isForwarded = false, std::string body = "") {
    auto message = std::make_shared<HttpRequest>();
    message->Method = method;
    message->Target = target;
    message->Body = std::move(body);
    const AttemptId id(++LastAttempt);
    AttemptTarget to = UpstreamTarget{UpstreamId("u"), To, std::nullopt, {}};
    if (isForwarded)
      to = RouterTarget{VmId("vm2"), To, TierId("free")};
    Port.commands().push(StartAttempt{id, RequestId(id.Value), to,
                                      readClock() + AttemptTimeout, CallerId(),
                                      message});
    return id;
  }
  void cancel(AttemptId id) { Port.commands().push(CancelAttempt{id}); }

  /// @return the end of @p id
  AttemptEnded await(AttemptId id) {
    std::unique_lock lock(Mutex);
    Arrived.wait_for(lock, std::chrono::seconds(10), [&] {
      Port.ends().drain([&](AttemptEnded &&end) {
        const AttemptId key = end.Attempt;
        Ends[key] = std::move(end);
      });
      return Ends.contains(id);
    });
    return Ends.at(id);
  }

  AttemptEnded run(const std::string &target,
                   const std::string &method = "POST", bool isForwarded = false,
                   std::string body = "") {
    return await(start(target, method, isForwarded, std::move(body)));
  }

private:
  void wake() {
    const std::scoped_lock lock(Mutex);
    Arrived.notify_all();
  }

  Endpoint To;
  std::mutex Mutex;
  std::condition_variable Arrived;
  std::map<AttemptId, AttemptEnded> Ends;
  std::uint64_t LastAttempt = 0;
  UpstreamPort Port;
};

struct FaultCase {
  const char *Fault;
  Reason Cause;
  Verdict ExecutionVerdict;
  bool IsForwarded = false;
  const char *Method = "POST";
};

constexpr FaultCase FaultCases[] = {
    {"whole", Reason::None, Verdict::Ran},
    {"said-close", Reason::None, Verdict::Ran},
    {"interim", Reason::None, Verdict::Ran},
    {"head", Reason::None, Verdict::Ran, false, "HEAD"},
    {"close", Reason::ConnectionLost, Verdict::MayHaveRun},
    {"garbage", Reason::CutOffAnswer, Verdict::MayHaveRun},
    {"cut-off", Reason::CutOffAnswer, Verdict::MayHaveRun},
    {"cut-off-head", Reason::CutOffAnswer, Verdict::MayHaveRun},
    {"cut-off-chunk", Reason::CutOffAnswer, Verdict::MayHaveRun},
    {"unframed", Reason::CutOffAnswer, Verdict::MayHaveRun},
    {"oversize", Reason::CutOffAnswer, Verdict::MayHaveRun},
    {"crossed", Reason::CrossedAnswer, Verdict::MayHaveRun},
    {"crossed-late", Reason::CrossedAnswer, Verdict::MayHaveRun},
    {"late", Reason::UpstreamTimeout, Verdict::MayHaveRun},
    {"silent", Reason::UpstreamTimeout, Verdict::MayHaveRun},
    {"shed", Reason::UpstreamShed, Verdict::NotRun},
    {"router-refused", Reason::QueueFull, Verdict::NotRun, true},
    {"router-unknown", Reason::UpstreamTimeout, Verdict::MayHaveRun, true},
    {"whole", Reason::CutOffAnswer, Verdict::MayHaveRun, true},
    // An upstream can't speak for a router.
    {"router-refused", Reason::None, Verdict::Ran, false},
};

TEST(UpstreamPort, ProvesWhatEachFaultLeavesKnown) {
  FakeTcpUpstream upstream(FirstPort);
  PortDriver port(FirstPort);
  for (const FaultCase &it : FaultCases) {
    SCOPED_TRACE(it.Fault);
    const std::string target = std::string("/1/") + it.Fault;
    const AttemptEnded end = port.run(target, it.Method, it.IsForwarded);
    EXPECT_EQ(end.Cause, it.Cause);
    EXPECT_EQ(end.ExecutionVerdict, it.ExecutionVerdict);
    // What an earlier fault left on a connection reaches no other request.
    const AttemptEnded next = port.run("/2/whole");
    EXPECT_EQ(next.Cause, Reason::None);
    EXPECT_EQ(next.Response.Body, "/2/whole");
  }
}

TEST(UpstreamPort, PassesARoutersRetryAfterOn) {
  FakeTcpUpstream upstream(FirstPort + 1);
  PortDriver port(FirstPort + 1);
  EXPECT_EQ(port.run("/1/router-refused", "POST", true).RetryAfter,
            Duration(seconds(3)));
}

TEST(UpstreamPort, SaysNotRunWithoutAConnection) {
  PortDriver port(UnusedPort);
  const AttemptEnded end = port.run("/1/whole");
  EXPECT_EQ(end.Cause, Reason::ConnectFailed);
  EXPECT_EQ(end.ExecutionVerdict, Verdict::NotRun);
}

TEST(UpstreamPort, SaysNotRunWhenThePoolIsFull) {
  FakeTcpUpstream upstream(FirstPort + 2);
  PortDriver port(FirstPort + 2);
  std::vector<AttemptId> held(8);
  std::ranges::generate(held, [&, n = 0]() mutable {
    return port.start("/" + std::to_string(n++) + "/late");
  });
  const AttemptEnded end = port.run("/9/whole");
  EXPECT_EQ(end.Cause, Reason::SendFailed);
  EXPECT_EQ(end.ExecutionVerdict, Verdict::NotRun);
  EXPECT_FALSE(upstream.hasReceived("/9/whole"));
  for (const AttemptId &id : held)
    port.await(id);
}

TEST(UpstreamPort, DoesNotUseAConnectionThatWasClosedMeanwhile) {
  FakeTcpUpstream upstream(FirstPort + 3);
  PortDriver port(FirstPort + 3);
  EXPECT_EQ(port.run("/1/whole").Cause, Reason::None);
  EXPECT_EQ(port.run("/2/stray").Cause, Reason::None);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  const AttemptEnded end = port.run("/3/whole");
  EXPECT_EQ(end.Response.Body, "/3/whole");
  EXPECT_EQ(upstream.connections(), 2);
}

TEST(UpstreamPort, NeverSaysNotRunWhenAnOpenConnectionIsClosed) {
  FakeTcpUpstream upstream(FirstPort + 7);
  PortDriver port(FirstPort + 7);
  for (int n = 0; n < 50; ++n) {
    EXPECT_EQ(port.run("/" + std::to_string(n) + "/answer-close").Cause ==
                  Reason::None,
              true);
    // The close may come before or after the next request is written.
    const std::string target = "/" + std::to_string(n) + "/whole";
    const AttemptEnded end = port.run(target);
    EXPECT_NE(end.ExecutionVerdict, Verdict::NotRun);
    if (end.Cause != Reason::None) {
      EXPECT_EQ(end.Cause, Reason::ConnectionLost);
    }
  }
}

TEST(UpstreamPort, NeverSaysNotRunWhenTheAnswerOvertakesTheRequest) {
  FakeTcpUpstream upstream(FirstPort + 4);
  PortDriver port(FirstPort + 4);
  const AttemptEnded end =
      port.run("/1/early-close", "POST", false, std::string(16u << 20, 'x'));
  EXPECT_NE(end.ExecutionVerdict, Verdict::NotRun);
}

TEST(UpstreamPort, CancellationReachesTheUpstream) {
  FakeTcpUpstream upstream(FirstPort + 5);
  PortDriver port(FirstPort + 5);
  const AttemptId id = port.start("/1/late");
  while (!upstream.hasReceived("/1/late"))
    std::this_thread::yield();
  port.cancel(id);
  const AttemptEnded end = port.await(id);
  EXPECT_EQ(end.Cause, Reason::Cancelled);
  EXPECT_EQ(end.ExecutionVerdict, Verdict::MayHaveRun);
  for (int n = 0; n < 200 && !upstream.hasReceived("/waxwing/cancel"); ++n)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  EXPECT_TRUE(upstream.hasReceived("/waxwing/cancel"));
}

/// Requests at once, each with a fault: none gets another's answer, and
/// "not run" is said only of those that the upstream never received.
RC_GTEST_PROP(UpstreamPort, NeverCrossesAnswersNorDeniesAnExecution, ()) {
  static FakeTcpUpstream upstream(FirstPort + 6);
  static PortDriver port(FirstPort + 6);
  static int round = 0;
  const auto faults = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("whole", "answer-close", "interim", "close",
                                    "garbage", "cut-off", "cut-off-head",
                                    "unframed", "crossed", "crossed-late",
                                    "twice", "stray", "shed", "oversize"));
  std::vector<std::pair<std::string, AttemptId>> started;
  ++round;
  for (std::size_t n = 0; n < faults.size(); ++n) {
    const std::string target =
        "/" + std::to_string(round) + "-" + std::to_string(n) + "/" + faults[n];
    started.emplace_back(target, port.start(target));
  }
  for (const auto &[target, id] : started) {
    const AttemptEnded end = port.await(id);
    if (end.Cause == Reason::None)
      RC_ASSERT(end.Response.Body == target);
    if (end.ExecutionVerdict == Verdict::NotRun &&
        end.Cause != Reason::UpstreamShed)
      RC_ASSERT(!upstream.hasReceived(target));
  }
}

} // namespace
} // namespace waxwing
