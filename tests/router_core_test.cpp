/**
 * @file router_core_test.cpp
 * The request lifecycle against upstreams that refuse, run, fail and stay
 * silent; their record of executions is the oracle.
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

/// What an upstream does with an attempt.
enum class Fate : std::uint8_t {
  Answer,      ///< runs, answers
  Refuse,      ///< refuses before it runs
  Unreachable, ///< no connection
  LoseAnswer,  ///< runs, the answer is lost
  LoseRequest, ///< does not run, which nobody can know
  RunLate,     ///< runs after the router gave it up
};

/// Upstreams, callers and the router between them.
class World {
public:
  World() : Core(VmId("vm1"), 7) {
    auto config = std::make_shared<Configuration>();
    EXPECT_TRUE(config->apply({TeamId("t"), Revision(1), Document}).ok());
    take(ConfigurationChanged{config});
  }

  RequestId request(bool isIdempotent) {
    const RequestId id(++LastRequest);
    CallerRequest it;
    it.Id = id;
    it.Team = TeamId("t");
    it.Service = Service;
    it.CallerKeySha256 = std::string(64, '0');
    it.IsIdempotent = isIdempotent;
    it.Message = std::make_shared<HttpRequest>();
    Idempotent[id] = isIdempotent;
    take(std::move(it));
    return id;
  }

  void lose(RequestId id) { take(CallerDisconnected{id}); }

  /// The oldest attempt in flight meets its fate.
  void meet(Fate fate) {
    if (InFlight.empty())
      return;
    const StartAttempt attempt = InFlight.begin()->second;
    InFlight.erase(InFlight.begin());
    const bool isRun = fate == Fate::Answer || fate == Fate::LoseAnswer ||
                       fate == Fate::RunLate;
    if (isRun)
      ++Executions[attempt.Request];
    AttemptEnded end{attempt.Attempt};
    if (fate == Fate::Refuse)
      end = {attempt.Attempt, Reason::UpstreamShed, Verdict::NotRun};
    else if (fate == Fate::Unreachable)
      end = {attempt.Attempt, Reason::ConnectFailed, Verdict::NotRun};
    else if (fate == Fate::RunLate)
      end = {attempt.Attempt, Reason::UpstreamTimeout, Verdict::MayHaveRun};
    else if (fate != Fate::Answer)
      end = {attempt.Attempt, Reason::ConnectionLost, Verdict::MayHaveRun};
    if (isRun)
      RC_ASSERT(!ToldNotRun.contains(attempt.Request));
    take(std::move(end));
  }

  void pass(Duration span) {
    Now += span;
    take(RouterTick());
  }

  void finish() {
    while (!InFlight.empty() || Core.requestsInFlight() > 0) {
      meet(Fate::Answer);
      pass(milliseconds(200));
    }
    RC_ASSERT(Answered.size() == LastRequest);
    std::uint64_t retries = 0;
    for (std::size_t n = 0; n < ReasonCount; ++n)
      retries += Core.retryCounters().count(static_cast<Reason>(n));
    RC_ASSERT(retries <= LastRequest / 10 + 10);
  }

private:
  void take(RouterEvent event) {
    for (RouterAction &action : Core.handle(std::move(event), Now))
      std::visit([this](auto &it) { on(it); }, action);
  }

  void on(StartAttempt &action) {
    RC_ASSERT(action.Deadline > Now);
    RC_ASSERT(!Answered.contains(action.Request));
    // Without an idempotency key a request is sent once more only while it
    // is proven not to have run.
    if (!Idempotent[action.Request])
      RC_ASSERT(Executions[action.Request] == 0 &&
                !MaybeRun.contains(action.Request));
    InFlight[action.Attempt] = action;
  }
  template <class T> void on(T &) {}
  void on(SendResponse &action) {
    RC_ASSERT(Answered.insert(action.Request).second);
    if (action.ExecutionVerdict == Verdict::NotRun) {
      RC_ASSERT(Executions[action.Request] == 0);
      ToldNotRun.insert(action.Request);
    }
    if (action.ExecutionVerdict == Verdict::Ran)
      RC_ASSERT(Executions[action.Request] > 0);
  }

public:
  std::set<RequestId> MaybeRun;
  std::map<AttemptId, StartAttempt> InFlight;

private:
  RouterCore Core;
  Time Now{seconds(1000)};
  std::uint64_t LastRequest = 0;
  std::map<RequestId, bool> Idempotent;
  std::map<RequestId, int> Executions;
  std::set<RequestId> Answered;
  std::set<RequestId> ToldNotRun;
};

/// One step of the fuzzing.
struct Step {
  int Kind;
  int Choice;
};

RC_GTEST_PROP(RouterCore, VerdictsAreTrueAndRetriesBounded, ()) {
  World world;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 100)));
  std::uint64_t requests = 0;
  for (const auto &[kind, choice] : steps) {
    if (kind < 3) {
      world.request(choice % 2 == 0);
      ++requests;
    } else if (kind == 3 && requests > 0) {
      world.lose(RequestId(1 + static_cast<std::uint64_t>(choice) % requests));
    } else if (kind == 4) {
      world.pass(milliseconds(choice));
    } else {
      const auto fate = static_cast<Fate>(choice % 6);
      if (!world.InFlight.empty() &&
          (fate == Fate::LoseRequest || fate == Fate::LoseAnswer))
        world.MaybeRun.insert(world.InFlight.begin()->second.Request);
      world.meet(fate);
    }
  }
  world.finish();
}

TEST(RouterCore, RetriesAProvenRefusalOfANonIdempotentRequest) {
  World world;
  world.request(false);
  world.meet(Fate::Refuse);
  EXPECT_EQ(world.InFlight.size(), 1u);
  world.meet(Fate::LoseAnswer);
  EXPECT_TRUE(world.InFlight.empty());
}

} // namespace
} // namespace waxwing
