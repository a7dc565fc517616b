/**
 * @file idempotency_test.cpp
 * At most once: several routers, resends, lost routers, moving leases, lost
 * and late answers; executions counted by key are the oracle.
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

/// The lease of all partitions.
struct Lease {
  std::size_t Holder = 0;
  Time Since;
  Time Until; ///< of the lease before a move
};

/// One router's view of the lease.
class Homes : public IdempotencyHomes {
public:
  Homes(const Lease &lease, std::size_t self) : Held(lease), Self(self) {}
  std::optional<Time> heldSince(const ServiceId &, PartitionId,
                                Time now) const override {
    const bool isHeld =
        Held.Holder == Self && now >= Held.Since && now < Held.Until;
    return isHeld ? std::optional(Held.Since) : std::nullopt;
  }
  std::optional<RouterTarget> homeOf(const ServiceId &,
                                     PartitionId) const override {
    if (Held.Holder == Self)
      return std::nullopt;
    return RouterTarget{VmId(std::to_string(Held.Holder)), {}, {}};
  }

private:
  const Lease &Held;
  std::size_t Self;
};

/// One router process; its number grows with each restart.
struct Process {
  std::size_t Router = 0;
  std::uint64_t Number = 0;
  auto operator<=>(const Process &) const = default;
};

/// A forwarded request between two routers.
struct Message {
  Process From;
  StartAttempt Attempt;
  std::string Key;
};

/// Where a forwarded request's answer goes.
struct ReturnAddress {
  Process From; ///< that serves the request
  Process To;
  AttemptId Attempt;
};

/// An attempt at an upstream.
struct Execution {
  Process From;
  StartAttempt Attempt;
  std::string Key;
};

class World {
public:
  World() {
    HomeLease = {0, Now, Time::max()};
    for (std::size_t n = 0; n < RouterCount; ++n)
      start(n);
    pass(seconds(10));
  }

  void submitNew(std::size_t router, int callerOffsetMs) {
    const auto issued = wallOf(Now) + milliseconds(callerOffsetMs);
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

  void upstreamStep(std::size_t which, int fate) {
    if (AtUpstreams.empty())
      return;
    const std::size_t n = which % AtUpstreams.size();
    const Execution it = AtUpstreams[n];
    AtUpstreams.erase(AtUpstreams.begin() + static_cast<std::ptrdiff_t>(n));
    const bool isRun = fate % 5 < 2;
    if (isRun)
      RC_ASSERT(++Executed[it.Key] <= 1);
    AttemptEnded end{it.Attempt.Attempt};
    if (fate % 5 == 0)
      end.Response.Body = "booked " + it.Key;
    else if (fate % 5 == 3)
      end = {it.Attempt.Attempt, Reason::UpstreamShed, Verdict::NotRun};
    else if (fate % 5 == 4)
      end = {it.Attempt.Attempt, Reason::DeadlinePassed, Verdict::NotRun};
    else
      end = {it.Attempt.Attempt, Reason::ConnectionLost, Verdict::MayHaveRun};
    tell(it.From, std::move(end));
  }

  /// A forwarded request arrives, or not; its sender may not learn which.
  void networkStep(std::size_t which, int fate) {
    if (OnTheWay.empty())
      return;
    const std::size_t n = which % OnTheWay.size();
    const Message it = OnTheWay[n];
    OnTheWay.erase(OnTheWay.begin() + static_cast<std::ptrdiff_t>(n));
    const bool isDelivered = fate % 4 < 2;
    const bool isKnownLost = fate % 4 == 3;
    if (isDelivered)
      deliver(it, fate % 4 == 0);
    if (isKnownLost)
      tell(it.From,
           {it.Attempt.Attempt, Reason::ConnectFailed, Verdict::NotRun});
    else if (fate % 4 != 0)
      tell(it.From,
           {it.Attempt.Attempt, Reason::ConnectionLost, Verdict::MayHaveRun});
  }

  /// Connections to the lost process break; what it sent may still run.
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
      tell(it.To, {it.Attempt, Reason::ConnectionLost, Verdict::MayHaveRun});
  }

  /// The lease ends, and another router gets it after some time.
  void moveLease(std::size_t router, Duration gap) {
    if (HomeLease.Until != Time::max())
      return;
    HomeLease.Until = Now;
    NextHolder = {router, Now + gap};
  }

  void loseCaller(std::size_t which) {
    if (Waiting.empty())
      return;
    auto it = Waiting.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(which % Waiting.size()));
    const auto [process, request] = *it;
    if (isAlive(process))
      handle(process.Router, CallerDisconnected{request});
  }

  void pass(Duration span) {
    Now += span;
    if (HomeLease.Until != Time::max() && Now >= NextHolder.second)
      HomeLease = {NextHolder.first, Now, Time::max()};
    for (std::size_t n = 0; n < RouterCount; ++n)
      handle(n, RouterTick{wallAt(n)});
  }

  void finish() {
    for (int n = 0; n < 200; ++n) {
      upstreamStep(0, 0);
      networkStep(0, 0);
      pass(milliseconds(100));
    }
    for (const auto &[process, request] : Waiting)
      RC_ASSERT(!isAlive(process));
    for (const auto &[key, count] : Submissions)
      if (count == 1 && ToldNotRun.contains(key))
        RC_ASSERT(Executed[key] == 0);
  }

  /// @return keys whose answer was told
  std::size_t answered() const { return Told.size(); }
  int replays() const { return Replays; }

private:
  bool isAlive(const Process &process) const {
    return Processes[process.Router].Number == process.Number;
  }

  static WallTime wallOf(Time now) { return WallTime(now.time_since_epoch()); }
  /// Each router's clock is off by another amount.
  WallTime wallAt(std::size_t router) const {
    constexpr std::array offsets{-100, 0, 100};
    return wallOf(Now) + milliseconds(offsets.at(router));
  }

  void start(std::size_t router) {
    Processes[router] = {router, ++LastProcess};
    Cores[router] =
        std::make_unique<RouterCore>(VmId(std::to_string(router)), LastProcess);
    Views[router] = std::make_unique<Homes>(HomeLease, router);
    Cores[router]->enableIdempotencyKeys(*Views[router]);
    // A restarted home is another process and gets a lease of its own.
    if (HomeLease.Holder == router && HomeLease.Until == Time::max())
      HomeLease.Since = Now;
    auto config = std::make_shared<Configuration>();
    RC_ASSERT(config->apply({TeamId("t"), Revision(1), Document}).ok());
    handle(router, ConfigurationChanged{config});
    handle(router, RouterTick{wallAt(router)});
  }

  CallerRequest prepare(const std::string &key, std::size_t router) {
    CallerRequest it;
    it.Id = RequestId(++LastRequest);
    it.Team = TeamId("t");
    it.Service = Service;
    it.CallerKeySha256 = std::string(64, '0');
    it.IdempotencyKey = key;
    it.ContentHash = 1;
    it.ArrivedAt = wallAt(router);
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

  void deliver(const Message &message, bool hasReturn) {
    const auto router = static_cast<std::size_t>(std::stoul(
        std::get<RouterTarget>(message.Attempt.Target).Router.Value));
    CallerRequest it = prepare(message.Key, router);
    it.ForwardedTier = TierId("paying");
    it.ForwardedFor = ForwardPurpose::IdempotencyHome;
    it.ForwardedCaller = message.Attempt.Caller;
    it.Deadline = message.Attempt.Deadline;
    KeyOf[it.Id] = message.Key;
    if (hasReturn)
      Returns[it.Id] = {Processes[router], message.From,
                        message.Attempt.Attempt};
    handle(router, std::move(it));
  }

  void tell(const Process &process, AttemptEnded end) {
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
      OnTheWay.push_back({process, action, key});
    else
      AtUpstreams.push_back({process, action, key});
  }
  void on(const Process &, CancelAttempt &) {}
  template <class T> void on(const Process &, T &) {}

  void on(const Process &process, SendResponse &action) {
    const std::string &key = KeyOf.at(action.Request);
    if (action.ExecutionVerdict == Verdict::Ran) {
      RC_ASSERT(Executed[key] == 1);
      RC_ASSERT(action.Response.Body == "booked " + key);
      Replays += Told[key]++ > 0 ? 1 : 0;
    }
    if (Waiting.erase({process, action.Request}) > 0) {
      if (action.ExecutionVerdict == Verdict::NotRun)
        ToldNotRun.insert(key);
      return;
    }
    const auto it = Returns.find(action.Request);
    if (it == Returns.end())
      return;
    AttemptEnded end{it->second.Attempt, action.Cause, action.ExecutionVerdict};
    end.Response = action.Response;
    tell(it->second.To, std::move(end));
    Returns.erase(it);
  }

  Time Now{seconds(1'000'000)};
  Lease HomeLease;
  std::pair<std::size_t, Time> NextHolder;
  std::array<Process, RouterCount> Processes;
  std::array<std::unique_ptr<RouterCore>, RouterCount> Cores;
  std::array<std::unique_ptr<Homes>, RouterCount> Views;
  std::uint64_t LastProcess = 0;
  std::uint64_t LastRequest = 0;
  std::vector<std::string> Keys;
  std::map<RequestId, std::string> KeyOf;
  std::set<std::pair<Process, RequestId>> Waiting;
  std::vector<Message> OnTheWay;
  std::map<RequestId, ReturnAddress> Returns;
  std::vector<Execution> AtUpstreams;
  std::map<std::string, int> Executed;
  std::map<std::string, int> Submissions;
  std::map<std::string, int> Told;
  std::set<std::string> ToldNotRun;
  int Replays = 0;
};

struct Step {
  int Kind = 0;
  int First = 0;
  int Second = 0;
};

void showValue(const Step &step, std::ostream &os) {
  os << "{" << step.Kind << "," << step.First << "," << step.Second << "}";
}
std::ostream &operator<<(std::ostream &os, const Step &step) {
  showValue(step, os);
  return os;
}

void takeStep(World &world, const Step &step) {
  const auto first = static_cast<std::size_t>(step.First);
  const auto second = static_cast<std::size_t>(step.Second);
  switch (step.Kind) {
  case 0:
  case 1:
    return world.submitNew(first % RouterCount, step.Second * 20 - 1000);
  case 2:
  case 3:
    return world.resend(first, second % RouterCount);
  case 4:
  case 5:
    return world.upstreamStep(first, step.Second);
  case 6:
  case 7:
    return world.networkStep(first, step.Second);
  case 8:
    return world.pass(milliseconds(step.First * 5));
  case 9:
    return world.restart(first % RouterCount);
  case 10:
    return world.moveLease(first % RouterCount, milliseconds(step.Second * 3));
  default:
    return world.loseCaller(first);
  }
}

/// Worlds of one test case.
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
  World world;
  for (const Step &step : steps)
    takeStep(world, step);
  world.finish();
}

TEST(Idempotency, AResendThroughAnotherRouterGetsTheSameAnswer) {
  World world;
  world.submitNew(1, 0);
  world.networkStep(0, 0);
  world.upstreamStep(0, 0);
  world.resend(0, 2);
  world.networkStep(0, 0);
  world.finish();
  EXPECT_EQ(world.replays(), 3);
}

TEST(Idempotency, AHomeThatGetsItsPartitionBackTrustsNoOldMemory) {
  World world;
  world.moveLease(1, Duration());
  world.pass(seconds(5));
  world.pass(seconds(5));
  world.submitNew(1, 0);
  world.upstreamStep(0, 0);
  EXPECT_EQ(world.answered(), 1u);
  world.moveLease(0, Duration());
  world.pass(seconds(1));
  world.resend(0, 0);
  world.finish();
  EXPECT_EQ(world.replays(), 0);
}

TEST(IdempotencyKey, TellsItsTimeOfIssue) {
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

TEST(IdempotencyMemory, RefusesNewKeysWhenFullAndForgetsNoLiveOne) {
  IdempotencyMemory memory({2, 1000, 100, 1});
  const WallTime start(seconds(1000));
  memory.advance(start);
  const auto ask = [&](const char *text) {
    return memory.begin({{Service, CallerId("c"), text},
                         start,
                         seconds(10),
                         1,
                         RequestId(1),
                         WallTime(seconds(1))});
  };
  EXPECT_TRUE(std::holds_alternative<RunKey>(ask("a")));
  EXPECT_TRUE(std::holds_alternative<RunKey>(ask("b")));
  EXPECT_EQ(std::get<RefuseKey>(ask("c")).Cause, Reason::QueueFull);
  memory.finish({Service, CallerId("c"), "a"}, Verdict::MayHaveRun, {});
  EXPECT_EQ(std::get<RefuseKey>(ask("c")).Cause, Reason::QueueFull);
  EXPECT_EQ(std::get<RefuseKey>(ask("a")).Cause, Reason::DuplicateUnknown);
  memory.advance(start + seconds(11));
  EXPECT_EQ(std::get<RefuseKey>(ask("a")).Cause, Reason::IdempotencyExpired);
  EXPECT_EQ(memory.keys(), 1u); // "b" still runs
}

} // namespace
} // namespace waxwing
