/**
 * @file request_health_test.cpp
 * Requests that crash upstreams are found and no others are; silent
 * connections are found and slow ones are not.
 */
#include "traffic/connection_health_base.h"
#include "traffic/router_core_base.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwing {
namespace {

constexpr int UpstreamCount = 9;
constexpr int DomainCount = 3;
const ServiceId Service("t/plain");

std::string makeDocument() {
  std::string text = "[tier paying]\nweight = 8\n[caller demo]\ntier = paying\n"
                     "key_sha256 = " +
                     std::string(64, '0') +
                     "\n[service plain]\nslots = 4\ncold_slots = 4\n"
                     "warm_up = 0\ntimeout = 60000\n";
  for (int n = 0; n < DomainCount; ++n)
    text += "[domain d" + std::to_string(n) + "]\ntaken_out = false\n";
  for (int n = 0; n < UpstreamCount; ++n)
    text += "[upstream u" + std::to_string(n) +
            "]\nservice = plain\naddress = 127.0.0.1:" + std::to_string(n + 1) +
            "\ndomain = d" + std::to_string(n % DomainCount) + "\n";
  return text;
}

/// Two routers, upstreams that die of marked requests, and a link between
/// the routers that takes its time.
class CrashWorld {
public:
  static constexpr std::uint64_t Crasher = 666;
  static constexpr Duration LinkDelay = milliseconds(30);
  static constexpr Duration RestartTime = milliseconds(500);

  CrashWorld() {
    for (std::size_t n = 0; n < Cores.size(); ++n) {
      Cores[n] = std::make_unique<RouterCore>(VmId(std::to_string(n)), n + 1);
      auto config = std::make_shared<Configuration>();
      const auto status =
          config->apply({TeamId("t"), Revision(1), makeDocument()});
      RC_ASSERT(status.ok());
      handle(n, ConfigurationChanged{config});
    }
    pass(milliseconds(10));
  }

  void request(std::size_t router, std::uint64_t fingerprint,
               bool isIdempotent) {
    CallerRequest it;
    it.Id = RequestId(++LastRequest);
    it.Team = TeamId("t");
    it.Service = Service;
    it.CallerKeySha256 = std::string(64, '0');
    it.IsIdempotent = isIdempotent;
    it.ContentHash = fingerprint;
    it.Message = std::make_shared<HttpRequest>();
    Prints[it.Id] = fingerprint;
    CrashersWaiting += fingerprint == Crasher ? 1 : 0;
    handle(router, std::move(it));
  }

  /// Upstreams execute what they have: marked requests kill them.
  void execute() {
    const auto running = std::exchange(Running, {});
    std::set<UpstreamId> dying;
    for (const auto &it : running)
      if (Prints.at(it.Start.Request) == Crasher)
        dying.insert(upstreamOf(it.Start));
    for (const UpstreamId &upstream : dying) {
      ++Deaths;
      DeadUntil[upstream] = Now + RestartTime;
    }
    for (const auto &it : running) {
      AttemptEnded end{it.Start.Attempt};
      if (dying.contains(upstreamOf(it.Start)))
        end = {it.Start.Attempt, Reason::ConnectionLost, Verdict::MayHaveRun};
      handle(it.Router, std::move(end));
    }
  }

  /// An upstream dies without a request's fault.
  void kill(int upstream) {
    const UpstreamId id("t/u" + std::to_string(upstream));
    DeadUntil[id] = Now + RestartTime;
    std::vector<Attempt> lost;
    std::erase_if(Running, [&](const Attempt &it) {
      const bool isLost = upstreamOf(it.Start) == id;
      if (isLost)
        lost.push_back(it);
      return isLost;
    });
    for (const Attempt &it : lost)
      handle(it.Router, AttemptEnded{it.Start.Attempt, Reason::ConnectionLost,
                                     Verdict::MayHaveRun});
  }

  void pass(Duration span) {
    for (Duration done{}; done < span; done += milliseconds(5)) {
      Now += milliseconds(5);
      for (auto it = Links.begin(); it != Links.end() && it->At <= Now;
           it = Links.begin()) {
        const Link link = std::move(*it);
        Links.erase(it);
        handle(1 - link.From, CrashReportsReceived{link.Reports});
      }
      for (std::size_t n = 0; n < Cores.size(); ++n)
        handle(n, RouterTick{});
    }
  }

  int deaths() const { return Deaths; }
  bool isCrasherWaiting() const { return CrashersWaiting > 0; }
  bool isRefused(std::uint64_t fingerprint) const {
    return Refused.contains(fingerprint);
  }
  const std::set<std::uint64_t> &refused() const { return Refused; }

private:
  struct Attempt {
    std::size_t Router;
    StartAttempt Start;
  };
  struct Link {
    Time At;
    std::size_t From;
    std::vector<CrashReport> Reports;
  };

  static UpstreamId upstreamOf(const StartAttempt &it) {
    return std::get<UpstreamTarget>(it.Target).Upstream;
  }
  bool isDead(const UpstreamId &upstream) const {
    const auto it = DeadUntil.find(upstream);
    return it != DeadUntil.end() && Now < it->second;
  }

  void handle(std::size_t router, RouterEvent event) {
    for (RouterAction &action : Cores[router]->handle(std::move(event), Now))
      std::visit([&](auto &it) { on(router, it); }, action);
  }
  template <class T> void on(std::size_t, T &) {}
  void on(std::size_t router, StartAttempt &action) {
    if (isDead(upstreamOf(action)))
      handle(router, AttemptEnded{action.Attempt, Reason::ConnectFailed,
                                  Verdict::NotRun});
    else
      Running.push_back({router, action});
  }
  void on(std::size_t router, CancelAttempt &action) {
    std::erase_if(Running, [&](const Attempt &it) {
      return it.Router == router && it.Start.Attempt == action.Attempt;
    });
    handle(router, AttemptEnded{action.Attempt, Reason::Cancelled,
                                Verdict::MayHaveRun});
  }
  void on(std::size_t router, ProbeUpstream &action) {
    const bool isRefused = isDead(action.Upstream);
    handle(router, UpstreamProbed{action.Upstream, !isRefused, isRefused, Now});
  }
  void on(std::size_t router, BroadcastCrashReports &action) {
    Links.push_back({Now + LinkDelay, router, std::move(action.Reports)});
  }
  void on(std::size_t, SendResponse &action) {
    CrashersWaiting -= Prints.at(action.Request) == Crasher ? 1 : 0;
    if (action.Cause == Reason::SuspectedCrasher)
      Refused.insert(Prints.at(action.Request));
  }

  Time Now{seconds(1000)};
  std::array<std::unique_ptr<RouterCore>, 2> Cores;
  std::vector<Attempt> Running;
  std::vector<Link> Links;
  std::map<UpstreamId, Time> DeadUntil;
  std::map<RequestId, std::uint64_t> Prints;
  std::set<std::uint64_t> Refused;
  std::uint64_t LastRequest = 0;
  int Deaths = 0;
  int CrashersWaiting = 0;
};

/// A caller sends its crashing request again and again through both
/// routers, each time after it heard of the last one's failure, among others'
/// requests: at most 3 upstreams die, then it is refused by both, and nothing
/// else is.
RC_GTEST_PROP(CrasherDetector, StopTheCrasherAndNobodyElse, ()) {
  const auto steps = *rc::gen::scale(
      3.0, rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
               rc::gen::inRange(0, 6), rc::gen::inRange(0, 100))));
  CrashWorld world;
  std::uint64_t others = 1000;
  for (const auto &[kind, choice] : steps) {
    const auto router = static_cast<std::size_t>(choice % 2);
    if (kind < 3)
      world.request(router, ++others, choice % 3 != 0);
    else if (kind == 3 && !world.isCrasherWaiting())
      world.request(router, CrashWorld::Crasher, choice % 3 == 0);
    else if (kind == 4)
      world.execute();
    // A caller hears of its failure before it sends again.
    world.pass(milliseconds(kind == 3 ? 60 : choice % 20));
    if (kind == 3)
      world.execute();
    // Reports reach other routers before the caller's next sending does.
    if (kind == 3 || kind == 4)
      world.pass(CrashWorld::LinkDelay + milliseconds(10));
  }
  while (world.isCrasherWaiting()) {
    world.execute();
    world.pass(CrashWorld::LinkDelay + milliseconds(10));
  }
  for (int n = 0; n < 8; ++n) {
    world.request(static_cast<std::size_t>(n % 2), CrashWorld::Crasher, false);
    world.pass(milliseconds(60));
    world.execute();
    world.pass(milliseconds(1500));
  }
  RC_ASSERT(world.deaths() <= 3);
  RC_ASSERT(world.isRefused(CrashWorld::Crasher));
  RC_ASSERT(world.refused().size() == 1u);
}

/// Upstreams of one failure domain die together; no request is suspected.
RC_GTEST_PROP(CrasherDetector, ALostFailureDomainMakesNoSuspects, ()) {
  const auto requests = *rc::gen::inRange(1, 40);
  const auto domain = *rc::gen::inRange(0, DomainCount);
  CrashWorld world;
  for (int n = 0; n < requests; ++n)
    world.request(static_cast<std::size_t>(n % 2),
                  1000 + static_cast<std::uint64_t>(n), true);
  for (int n = domain; n < UpstreamCount; n += DomainCount)
    world.kill(n);
  world.pass(milliseconds(300));
  world.execute();
  for (int n = 0; n < requests; ++n)
    world.request(static_cast<std::size_t>(n % 2),
                  1000 + static_cast<std::uint64_t>(n), true);
  world.execute();
  RC_ASSERT(world.refused().empty());
}

TEST(CrasherDetector, AConnectionLostBesideALivingUpstreamIsNoDeath) {
  CrasherDetector suspects;
  const Time now{seconds(1)};
  suspects.noteLost(RequestFingerprint(1), UpstreamId("a"), DomainId("x"), now);
  EXPECT_TRUE(suspects.isMarked(RequestFingerprint(1)));
  suspects.tick(now + CorroborationSpan + milliseconds(1));
  EXPECT_FALSE(suspects.isMarked(RequestFingerprint(1)));
}

/// Of several requests at one death, the first loss leads to the probe; the
/// later ones count as well.
TEST(CrasherDetector, LossesRightBehindTheProbeCount) {
  CrasherDetector suspects;
  const Time now{seconds(1)};
  suspects.noteLost(RequestFingerprint(1), UpstreamId("a"), DomainId("x"), now);
  suspects.noteDead(UpstreamId("a"), now);
  suspects.noteLost(RequestFingerprint(2), UpstreamId("a"), DomainId("x"), now);
  suspects.tick(now + CorroborationSpan + milliseconds(1));
  EXPECT_TRUE(suspects.isMarked(RequestFingerprint(2)));
  // Much later it may be another life's connection.
  const Time later = now + seconds(3);
  suspects.noteLost(RequestFingerprint(3), UpstreamId("a"), DomainId("x"),
                    later);
  suspects.tick(later + CorroborationSpan + milliseconds(1));
  EXPECT_FALSE(suspects.isMarked(RequestFingerprint(3)));
}

/// Attempts at one upstream that answers each after about @p usual.
class HealthWorld {
public:
  AttemptId start() {
    const AttemptId id(++Last);
    Health.start(id, Upstream, Now);
    return id;
  }
  void answer(AttemptId id) { Health.end(id, true, Now); }
  void pass(Duration span) {
    for (const Time end = Now + span; Now < end;) {
      Now += milliseconds(5);
      const HealthFindings findings = Health.tick(Now);
      for (const AttemptId &id : findings.Silent)
        Found.emplace(id, Now);
      if (!findings.ToProbe.empty())
        Health.probeAnswered(Upstream, Now);
    }
  }

  const UpstreamId Upstream{"t/u"};
  Time Now{seconds(1000)};
  ConnectionHealth Health;
  std::map<AttemptId, Time> Found;
  std::uint64_t Last = 0;
};

RC_GTEST_PROP(ConnectionHealth, FindsSilenceWithinASecond, ()) {
  const auto usual = milliseconds(*rc::gen::inRange(2, 30));
  const auto parallel = *rc::gen::inRange(0, 4);
  HealthWorld world;
  for (int n = 0; n < 20; ++n) {
    const AttemptId id = world.start();
    world.pass(usual);
    world.answer(id);
  }
  RC_ASSERT(world.Found.empty());
  const AttemptId silent = world.start();
  const Time due = world.Now + usual;
  while (!world.Found.contains(silent) && world.Now < due + seconds(5)) {
    std::vector<AttemptId> others;
    others.reserve(static_cast<std::size_t>(parallel));
    for (int n = 0; n < parallel; ++n)
      others.push_back(world.start());
    world.pass(usual);
    for (const AttemptId &id : others)
      world.answer(id);
  }
  RC_ASSERT(world.Found.contains(silent));
  RC_ASSERT(world.Found.at(silent) <= due + seconds(1));
  RC_ASSERT(world.Found.size() == 1u);
}

/// An upstream that suddenly takes ten times as long answers in order, so
/// no attempt is overtaken.
RC_GTEST_PROP(ConnectionHealth, ASlowedUpstreamIsNotSilent, ()) {
  const auto usual = milliseconds(*rc::gen::inRange(5, 30));
  HealthWorld world;
  for (int n = 0; n < 20; ++n) {
    const AttemptId id = world.start();
    world.pass(usual);
    world.answer(id);
  }
  for (int n = 0; n < 30; ++n) {
    const std::array ids{world.start(), world.start(), world.start(),
                         world.start()};
    world.pass(usual * 10);
    for (const AttemptId &id : ids)
      world.answer(id);
  }
  RC_ASSERT(world.Found.empty());
}

} // namespace
} // namespace waxwing
