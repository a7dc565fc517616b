/**
 * @file idempotency_test.cpp
 * Tests that requests with one idempotency key run at most once over several
 * routers, while requests are resent, routers restart, leases move, and
 * responses are lost or late. Upstreams count the executions of each key.
 */
#include "traffic/idempotency_func.h"
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
idempotency_lifetime = 10000
[upstream u1]
service = plain
address = 127.0.0.1:1
domain = a
[upstream u2]
service = plain
address = 127.0.0.1:2
domain = a
)";

constexpr std::size_t RouterCount = 3;
const ServiceId Service("t/plain");

/// One home lease for all partitions of idempotency keys: its holder is the
/// only router that executes requests with such keys.
struct Lease {
  std::size_t Holder = 0;
  Time Since;
  Time Until; ///< end of the lease; Time::max() while no move is scheduled
};

/// Looks up the home lease of all partitions for one router.
class HomeLeaseLookup : public IdempotencyHomes {
public:
  HomeLeaseLookup(const Lease &lease, std::size_t self)
      : Current(lease), Self(self) {}
  std::optional<Time> leasedSince(const ServiceId &, PartitionId,
                                  Time now) const override {
    const bool isHeld =
        Current.Holder == Self && now >= Current.Since && now < Current.Until;
    return isHeld ? std::optional(Current.Since) : std::nullopt;
  }
  std::optional<RouterTarget> homeOf(const ServiceId &,
                                     PartitionId) const override {
    if (Current.Holder == Self)
      return std::nullopt;
    return RouterTarget{VmId(std::to_string(Current.Holder)), {}, {}};
  }

private:
  const Lease &Current;
  std::size_t Self;
};

/// One process of a router; a process after a restart has a higher Number.
struct Process {
  std::size_t Router = 0;
  std::uint64_t Number = 0;
  auto operator<=>(const Process &) const = default;
};

/// A forwarded request in transit between two routers.
struct ForwardedRequest {
  Process From;
  StartAttempt Attempt;
  std::string Key;
};

/// Destination of the response to a forwarded request.
struct ReturnAddress {
  Process From; ///< process that serves the request
  Process To;   ///< process that forwarded the request
  AttemptId Attempt;
};

/// An attempt in flight at an upstream.
struct UpstreamAttempt {
  Process From;
  StartAttempt Attempt;
  std::string Key;
};

/// Simulates routers, upstreams, the executions of each idempotency key,
/// and a network that loses messages between the routers.
class RouterFleet {
public:
  RouterFleet() {
    HomeLease = {0, Now, Time::max()};
    for (std::size_t n = 0; n < RouterCount; ++n)
      start(n);
    advance(seconds(10));
  }

  void submitNew(std::size_t router, int issueTimeOffsetMs) {
    const auto issued = toWallTime(Now) + milliseconds(issueTimeOffsetMs);
    const auto ms =
        std::chrono::duration_cast<milliseconds>(issued.time_since_epoch());
    Keys.push_back(std::to_string(ms.count()) + "-random" +
                   std::to_string(1000 + Keys.size()));
    submit(Keys.back(), router);
  }

  void resend(std::size_t key, std::size_t router) {
    if (!Keys.empty())
      submit(Keys[key % Keys.size()], router);
  }

  /// Ends an attempt at an upstream.
  /// @param outcome modulo 5: 0 executed and answered, 1 executed and response
  ///   lost, 2 lost before execution, 3 shed, 4 refused for its deadline
  void endUpstreamAttempt(std::size_t which, int outcome) {
    if (AttemptsAtUpstreams.empty())
      return;
    const std::size_t n = which % AttemptsAtUpstreams.size();
    const UpstreamAttempt it = AttemptsAtUpstreams[n];
    AttemptsAtUpstreams.erase(AttemptsAtUpstreams.begin() +
                              static_cast<std::ptrdiff_t>(n));
    const bool isExecuted = outcome % 5 < 2;
    if (isExecuted)
      RC_ASSERT(++ExecutionsOfKey[it.Key] <= 1);
    AttemptEnded end{it.Attempt.Attempt};
    if (outcome % 5 == 0)
      end.Response.Body = "booked " + it.Key;
    else if (outcome % 5 == 3)
      end = {it.Attempt.Attempt, Reason::UpstreamShed, Verdict::NotRun};
    else if (outcome % 5 == 4)
      end = {it.Attempt.Attempt, Reason::DeadlinePassed, Verdict::NotRun};
    else
      end = {it.Attempt.Attempt, Reason::ConnectionLost, Verdict::MayHaveRun};
    endAttempt(it.From, std::move(end));
  }

  /// Delivers or drops a forwarded request.
  /// @param outcome modulo 4: 0 delivered, 1 delivered but the response is
  ///   lost, 2 dropped and the forwarding router can't know, 3 dropped and it
  ///   knows
  void deliverOrDropForward(std::size_t which, int outcome) {
    if (ForwardsInTransit.empty())
      return;
    const std::size_t n = which % ForwardsInTransit.size();
    const ForwardedRequest it = ForwardsInTransit[n];
    ForwardsInTransit.erase(ForwardsInTransit.begin() +
                            static_cast<std::ptrdiff_t>(n));
    const bool isDelivered = outcome % 4 < 2;
    const bool isKnownLost = outcome % 4 == 3;
    if (isDelivered)
      deliver(it, outcome % 4 == 0);
    if (isKnownLost)
      endAttempt(it.From,
                 {it.Attempt.Attempt, Reason::ConnectFailed, Verdict::NotRun});
    else if (outcome % 4 != 0)
      endAttempt(it.From, {it.Attempt.Attempt, Reason::ConnectionLost,
                           Verdict::MayHaveRun});
  }

  /// Restarts a router. Its connections break, but attempts that it started
  /// may still run.
  void restart(std::size_t router) {
    const Process lost = Processes[router];
    start(router);
    std::vector<ReturnAddress> broken;
    for (const auto &[request, address] : Returns)
      if (address.From == lost)
        broken.push_back(address);
    std::erase_if(Returns,
                  [&](const auto &it) { return it.second.From == lost; });
    for (const ReturnAddress &it : broken)
      endAttempt(it.To,
                 {it.Attempt, Reason::ConnectionLost, Verdict::MayHaveRun});
  }

  /// Ends the lease and grants it to another router after a gap.
  void moveLease(std::size_t router, Duration gap) {
    if (HomeLease.Until != Time::max())
      return;
    HomeLease.Until = Now;
    NextHolder = {router, Now + gap};
  }

  void disconnectCaller(std::size_t which) {
    if (Waiting.empty())
      return;
    auto it = Waiting.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(which % Waiting.size()));
    const auto [process, request] = *it;
    if (isAlive(process))
      handle(process.Router, CallerDisconnected{request});
  }

  void advance(Duration span) {
    Now += span;
    if (HomeLease.Until != Time::max() && Now >= NextHolder.second)
      HomeLease = {NextHolder.first, Now, Time::max()};
    for (std::size_t n = 0; n < RouterCount; ++n)
      handle(n, RouterTick{routerWallClock(n)});
  }

  void finish() {
    for (int n = 0; n < 200; ++n) {
      endUpstreamAttempt(0, 0);
      deliverOrDropForward(0, 0);
      advance(milliseconds(100));
    }
    for (const auto &[process, request] : Waiting)
      RC_ASSERT(!isAlive(process));
    for (const auto &[key, count] : Submissions)
      if (count == 1 && ReportedNotRun.contains(key))
        RC_ASSERT(ExecutionsOfKey[key] == 0);
  }

  /// @return number of keys with a response
  std::size_t answered() const { return ResponsesOfKey.size(); }
  int replays() const { return Replays; }

private:
  bool isAlive(const Process &process) const {
    return Processes[process.Router].Number == process.Number;
  }

  static WallTime toWallTime(Time now) {
    return WallTime(now.time_since_epoch());
  }
  /// @return wall-clock time of a router; each router's clock has a different
  ///   error
  WallTime routerWallClock(std::size_t router) const {
    constexpr std::array offsets{-100, 0, 100};
    return toWallTime(Now) + milliseconds(offsets.at(router));
  }

  void start(std::size_t router) {
    Processes[router] = {router, ++LastProcess};
    Cores[router] =
        std::make_unique<RouterCore>(VmId(std::to_string(router)), LastProcess);
    LeaseLookups[router] = std::make_unique<HomeLeaseLookup>(HomeLease, router);
    Cores[router]->enableIdempotencyKeys(*LeaseLookups[router]);
    // The lease belongs to a process, so a restarted home gets a new one.
    if (HomeLease.Holder == router && HomeLease.Until == Time::max())
      HomeLease.Since = Now;
    auto config = std::make_shared<Configuration>();
    RC_ASSERT(config->apply({TeamId("t"), Revision(1), Document}).ok());
    handle(router, ConfigurationChanged{config});
    handle(router, RouterTick{routerWallClock(router)});
  }

  CallerRequest prepare(const std::string &key, std::size_t router) {
    CallerRequest it;
    it.Id = RequestId(++LastRequest);
    it.Team = TeamId("t");
    it.Service = Service;
    it.CallerKeySha256 = std::string(64, '0');
    it.IdempotencyKey = key;
    it.ContentHash = 1;
    it.ArrivedAt = routerWallClock(router);
    it.Message = std::make_shared<HttpRequest>();
    return it;
  }

  void submit(const std::string &key, std::size_t router) {
    CallerRequest it = prepare(key, router);
    ++Submissions[key];
    KeyOf[it.Id] = key;
    Waiting.insert({Processes[router], it.Id});
    handle(router, std::move(it));
  }

  void deliver(const ForwardedRequest &message, bool isResponseDelivered) {
    const auto router = static_cast<std::size_t>(std::stoul(
        std::get<RouterTarget>(message.Attempt.Target).Router.Value));
    CallerRequest it = prepare(message.Key, router);
    it.ForwardedTier = TierId("paying");
    it.ForwardedFor = ForwardPurpose::IdempotencyHome;
    it.ForwardedCaller = message.Attempt.Caller;
    it.Deadline = message.Attempt.Deadline;
    KeyOf[it.Id] = message.Key;
    if (isResponseDelivered)
      Returns[it.Id] = {Processes[router], message.From,
                        message.Attempt.Attempt};
    handle(router, std::move(it));
  }

  void endAttempt(const Process &process, AttemptEnded end) {
    if (isAlive(process))
      handle(process.Router, std::move(end));
  }

  void handle(std::size_t router, RouterEvent event) {
    const Process process = Processes[router];
    for (RouterAction &action : Cores[router]->handle(std::move(event), Now))
      std::visit([&](auto &it) { on(process, it); }, action);
  }

  void on(const Process &process, StartAttempt &action) {
    const std::string key = KeyOf.at(action.Request);
    if (std::holds_alternative<RouterTarget>(action.Target))
      ForwardsInTransit.push_back({process, action, key});
    else
      AttemptsAtUpstreams.push_back({process, action, key});
  }
  void on(const Process &, CancelAttempt &) {}
  template <class T> void on(const Process &, T &) {}

  void on(const Process &process, SendResponse &action) {
    const std::string &key = KeyOf.at(action.Request);
    if (action.ExecutionVerdict == Verdict::Ran) {
      RC_ASSERT(ExecutionsOfKey[key] == 1);
      RC_ASSERT(action.Response.Body == "booked " + key);
      Replays += ResponsesOfKey[key]++ > 0 ? 1 : 0;
    }
    if (Waiting.erase({process, action.Request}) > 0) {
      if (action.ExecutionVerdict == Verdict::NotRun)
        ReportedNotRun.insert(key);
      return;
    }
    const auto it = Returns.find(action.Request);
    if (it == Returns.end())
      return;
    AttemptEnded end{it->second.Attempt, action.Cause, action.ExecutionVerdict};
    end.Response = action.Response;
    endAttempt(it->second.To, std::move(end));
    Returns.erase(it);
  }

  Time Now{seconds(1'000'000)};
  Lease HomeLease;
  std::pair<std::size_t, Time> NextHolder;
  std::array<Process, RouterCount> Processes;
  std::array<std::unique_ptr<RouterCore>, RouterCount> Cores;
  std::array<std::unique_ptr<HomeLeaseLookup>, RouterCount> LeaseLookups;
  std::uint64_t LastProcess = 0;
  std::uint64_t LastRequest = 0;
  std::vector<std::string> Keys;
  std::map<RequestId, std::string> KeyOf;
  std::set<std::pair<Process, RequestId>> Waiting;
  std::vector<ForwardedRequest> ForwardsInTransit;
  std::map<RequestId, ReturnAddress> Returns;
  std::vector<UpstreamAttempt> AttemptsAtUpstreams;
  std::map<std::string, int> ExecutionsOfKey;
  std::map<std::string, int> Submissions;
  std::map<std::string, int> ResponsesOfKey;
  std::set<std::string> ReportedNotRun;
  int Replays = 0;
};

/// A random step of the property test.
struct Step {
  int Kind = 0;   ///< selects the action in runStep()
  int First = 0;  ///< first argument of the action
  int Second = 0; ///< second argument of the action
};

void showValue(const Step &step, std::ostream &os) {
  os << "{" << step.Kind << "," << step.First << "," << step.Second << "}";
}
std::ostream &operator<<(std::ostream &os, const Step &step) {
  showValue(step, os);
  return os;
}

void runStep(RouterFleet &fleet, const Step &step) {
  const auto first = static_cast<std::size_t>(step.First);
  const auto second = static_cast<std::size_t>(step.Second);
  switch (step.Kind) {
  case 0:
  case 1:
    return fleet.submitNew(first % RouterCount, step.Second * 20 - 1000);
  case 2:
  case 3:
    return fleet.resend(first, second % RouterCount);
  case 4:
  case 5:
    return fleet.endUpstreamAttempt(first, step.Second);
  case 6:
  case 7:
    return fleet.deliverOrDropForward(first, step.Second);
  case 8:
    return fleet.advance(milliseconds(step.First * 5));
  case 9:
    return fleet.restart(first % RouterCount);
  case 10:
    return fleet.moveLease(first % RouterCount, milliseconds(step.Second * 3));
  default:
    return fleet.disconnectCaller(first);
  }
}

/// Number of runs of one test case.
constexpr std::size_t RunsPerCase = 10;

rc::Gen<Step> genStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::Kind, rc::gen::inRange(0, 12)),
      rc::gen::set(&Step::First, rc::gen::inRange(0, 100)),
      rc::gen::set(&Step::Second, rc::gen::inRange(0, 100)));
}

RC_GTEST_PROP(Idempotency, RunsAtMostOnce, ()) {
  const auto steps =
      *rc::gen::scale(5.0, rc::gen::container<std::vector<Step>>(genStep()));
  RouterFleet fleet;
  for (const Step &step : steps)
    runStep(fleet, step);
  fleet.finish();
}

TEST(Idempotency, ResendThroughAnotherRouterGetsTheStoredResponse) {
  RouterFleet fleet;
  fleet.submitNew(1, 0);
  fleet.deliverOrDropForward(0, 0);
  fleet.endUpstreamAttempt(0, 0);
  fleet.resend(0, 2);
  fleet.deliverOrDropForward(0, 0);
  fleet.finish();
  EXPECT_EQ(fleet.replays(), 3);
}

TEST(Idempotency, HomeThatRegainsItsPartitionIgnoresOldRecords) {
  RouterFleet fleet;
  fleet.moveLease(1, Duration());
  fleet.advance(seconds(5));
  fleet.advance(seconds(5));
  fleet.submitNew(1, 0);
  fleet.endUpstreamAttempt(0, 0);
  EXPECT_EQ(fleet.answered(), 1u);
  fleet.moveLease(0, Duration());
  fleet.advance(seconds(1));
  fleet.resend(0, 0);
  fleet.finish();
  EXPECT_EQ(fleet.replays(), 0);
}

TEST(IdempotencyKey, ContainsTheTimeOfIssue) {
  EXPECT_EQ(*parseIssueTime("1764828000123-a1b2c3d4"),
            WallTime(milliseconds(1764828000123)));
  EXPECT_EQ(*parseIssueTime("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"),
            WallTime(milliseconds(0x017f22e279b0)));
  for (const char *bad :
       {"", "abc", "1764828000123", "1764828000123-", "-5-a1b2c3d4",
        "1764828000123-short", "1764828000123-with space",
        "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
        "99999999999999999999-a1b2c3d4"})
    EXPECT_FALSE(parseIssueTime(bad).ok()) << bad;
  EXPECT_FALSE(parseIssueTime("1764828000123-" + std::string(200, 'x')).ok());
}

TEST(IdempotencyRecords, RefusesNewKeysWhenFullAndKeepsUnexpiredOnes) {
  IdempotencyRecords records({2, 1000, 100, 1});
  const WallTime start(seconds(1000));
  records.advance(start);
  const auto begin = [&](const char *text) {
    return records.begin({{Service, CallerId("c"), text},
                          start,
                          seconds(10),
                          1,
                          RequestId(1),
                          WallTime(seconds(1))});
  };
  EXPECT_TRUE(std::holds_alternative<ExecuteRequest>(begin("a")));
  EXPECT_TRUE(std::holds_alternative<ExecuteRequest>(begin("b")));
  EXPECT_EQ(std::get<RefuseRequest>(begin("c")).Cause, Reason::QueueFull);
  records.finish({Service, CallerId("c"), "a"}, Verdict::MayHaveRun, {});
  EXPECT_EQ(std::get<RefuseRequest>(begin("c")).Cause, Reason::QueueFull);
  EXPECT_EQ(std::get<RefuseRequest>(begin("a")).Cause,
            Reason::DuplicateUnknown);
  records.advance(start + seconds(11));
  EXPECT_EQ(std::get<RefuseRequest>(begin("a")).Cause,
            Reason::IdempotencyExpired);
  EXPECT_EQ(records.keys(), 1u); // "b" is still running
}

} // namespace
} // namespace waxwing
