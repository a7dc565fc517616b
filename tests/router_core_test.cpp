/**
 * @file router_core_test.cpp
 * Tests RouterCore against simulated upstreams that refuse, execute, fail and
 * time out. Verdicts are checked against the executions that the upstreams
 * count.
 */
#include "traffic/router_core_base.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwing {
namespace {

constexpr const char *Document = R"(
[domain a]
taken_out = false
[tier paying]
weight = 8
[caller demo]
tier = paying
key_sha256 = 0000000000000000000000000000000000000000000000000000000000000000
[service plain]
divided_by_key = false
slots = 100
cold_slots = 100
warm_up = 0
[upstream u1]
service = plain
address = 127.0.0.1:1
domain = a
[upstream u2]
service = plain
address = 127.0.0.1:2
domain = a
[upstream u3]
service = plain
address = 127.0.0.1:3
domain = a
)";

const ServiceId Service("t/plain");

/// Simulated outcome of an attempt.
enum class AttemptOutcome : std::uint8_t {
  Respond,      ///< executed, response arrives
  Refuse,       ///< refused before execution
  Unreachable,  ///< connection refused
  LoseResponse, ///< executed, response lost
  LoseRequest,  ///< lost before execution; looks like LoseResponse
  RunLate,      ///< executed after the attempt's timeout
};

/// Simulates the callers and upstreams of one router.
class RouterFixture {
public:
  RouterFixture() : Core(VmId("vm1"), 7) {
    auto config = std::make_shared<Configuration>();
    EXPECT_TRUE(config->apply({TeamId("t"), Revision(1), Document}).ok());
    handle(ConfigurationChanged{config});
  }

  RequestId submit(bool isIdempotent) {
    const RequestId id(++LastRequest);
    CallerRequest it;
    it.Id = id;
    it.Team = TeamId("t");
    it.Service = Service;
    it.CallerKeySha256 = std::string(64, '0');
    it.IsIdempotent = isIdempotent;
    it.Message = std::make_shared<HttpRequest>();
    Idempotent[id] = isIdempotent;
    handle(std::move(it));
    return id;
  }

  void disconnectCaller(RequestId id) { handle(CallerDisconnected{id}); }

  /// Ends the oldest attempt in flight with the given outcome.
  void endOldestAttempt(AttemptOutcome outcome) {
    if (InFlight.empty())
      return;
    const StartAttempt attempt = InFlight.begin()->second;
    InFlight.erase(InFlight.begin());
    const bool isExecuted = outcome == AttemptOutcome::Respond ||
                            outcome == AttemptOutcome::LoseResponse ||
                            outcome == AttemptOutcome::RunLate;
    if (isExecuted)
      ++Executions[attempt.Request];
    AttemptEnded end{attempt.Attempt};
    if (outcome == AttemptOutcome::Refuse)
      end = {attempt.Attempt, Reason::UpstreamShed, Verdict::NotRun};
    else if (outcome == AttemptOutcome::Unreachable)
      end = {attempt.Attempt, Reason::ConnectFailed, Verdict::NotRun};
    else if (outcome == AttemptOutcome::RunLate)
      end = {attempt.Attempt, Reason::UpstreamTimeout, Verdict::MayHaveRun};
    else if (outcome != AttemptOutcome::Respond)
      end = {attempt.Attempt, Reason::ConnectionLost, Verdict::MayHaveRun};
    if (isExecuted)
      RC_ASSERT(!ReportedNotRun.contains(attempt.Request));
    handle(std::move(end));
  }

  void advance(Duration span) {
    Now += span;
    handle(RouterTick());
  }

  void completeAll() {
    while (!InFlight.empty() || Core.requestsInFlight() > 0) {
      endOldestAttempt(AttemptOutcome::Respond);
      advance(milliseconds(200));
    }
    RC_ASSERT(Responded.size() == LastRequest);
    std::uint64_t retries = 0;
    for (std::size_t n = 0; n < ReasonCount; ++n)
      retries += Core.retryCounters().count(static_cast<Reason>(n));
    RC_ASSERT(retries <= LastRequest / 10 + 10);
  }

private:
  void handle(RouterEvent event) {
    for (RouterAction &action : Core.handle(std::move(event), Now))
      std::visit([this](auto &it) { on(it); }, action);
  }

  void on(StartAttempt &action) {
    RC_ASSERT(action.Deadline > Now);
    RC_ASSERT(!Responded.contains(action.Request));
    // A request that is not idempotent may be sent again only if all earlier
    // attempts are proven not to have run.
    if (!Idempotent[action.Request])
      RC_ASSERT(Executions[action.Request] == 0 &&
                !PossiblyExecuted.contains(action.Request));
    InFlight[action.Attempt] = action;
  }
  template <class T> void on(T &) {}
  void on(SendResponse &action) {
    RC_ASSERT(Responded.insert(action.Request).second);
    if (action.ExecutionVerdict == Verdict::NotRun) {
      RC_ASSERT(Executions[action.Request] == 0);
      ReportedNotRun.insert(action.Request);
    }
    if (action.ExecutionVerdict == Verdict::Ran)
      RC_ASSERT(Executions[action.Request] > 0);
  }

public:
  /// Requests with an attempt that ended with a lost connection.
  std::set<RequestId> PossiblyExecuted;
  std::map<AttemptId, StartAttempt> InFlight;

private:
  RouterCore Core;
  Time Now{seconds(1000)};
  std::uint64_t LastRequest = 0;
  std::map<RequestId, bool> Idempotent;
  std::map<RequestId, int> Executions;
  std::set<RequestId> Responded;
  std::set<RequestId> ReportedNotRun;
};

/// A random step of the property test.
struct Step {
  int Kind;
  int Choice;
};

RC_GTEST_PROP(RouterCore, VerdictsAreTrueAndRetriesBounded, ()) {
  RouterFixture fixture;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 100)));
  std::uint64_t requests = 0;
  for (const auto &[kind, choice] : steps) {
    if (kind < 3) {
      fixture.submit(choice % 2 == 0);
      ++requests;
    } else if (kind == 3 && requests > 0) {
      fixture.disconnectCaller(
          RequestId(1 + static_cast<std::uint64_t>(choice) % requests));
    } else if (kind == 4) {
      fixture.advance(milliseconds(choice));
    } else {
      const auto outcome = static_cast<AttemptOutcome>(choice % 6);
      if (!fixture.InFlight.empty() &&
          (outcome == AttemptOutcome::LoseRequest ||
           outcome == AttemptOutcome::LoseResponse))
        fixture.PossiblyExecuted.insert(
            fixture.InFlight.begin()->second.Request);
      fixture.endOldestAttempt(outcome);
    }
  }
  fixture.completeAll();
}

TEST(RouterCore, RetriesAProvenRefusalOfANonIdempotentRequest) {
  RouterFixture fixture;
  fixture.submit(false);
  fixture.endOldestAttempt(AttemptOutcome::Refuse);
  EXPECT_EQ(fixture.InFlight.size(), 1u);
  fixture.endOldestAttempt(AttemptOutcome::LoseResponse);
  EXPECT_TRUE(fixture.InFlight.empty());
}

} // namespace
} // namespace waxwing
