/**
 * @file request_health_test.cpp
 * Tests the detection of requests that crash upstreams and of silent
 * connections, without false positives.
 */
#include "traffic/connection_health_base.h"
#include "traffic/router_core_base.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iterator>
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

/// Simulates two routers, upstreams that crash when they execute a request of
/// the crasher, and a link with delay between the routers.
class CrashFixture {
public:
  /// Content hash of the request that crashes upstreams.
  static constexpr std::uint64_t Crasher = 666;
  static constexpr Duration LinkDelay = milliseconds(30);
  static constexpr Duration RestartTime = milliseconds(500);

  CrashFixture() {
    for (std::size_t n = 0; n < Cores.size(); ++n) {
      Cores[n] = std::make_unique<RouterCore>(VmId(std::to_string(n)), n + 1);
      auto config = std::make_shared<Configuration>();
      const auto status =
          config->apply({TeamId("t"), Revision(1), makeDocument()});
      RC_ASSERT(status.ok());
      handle(n, ConfigurationChanged{config});
    }
    advance(milliseconds(10));
  }

  void submit(std::size_t router, std::uint64_t contentHash,
              bool isIdempotent) {
    CallerRequest it;
    it.Id = RequestId(++LastRequest);
    it.Team = TeamId("t");
    it.Service = Service;
    it.CallerKeySha256 = std::string(64, '0');
    it.IsIdempotent = isIdempotent;
    it.ContentHash = contentHash;
    it.Message = std::make_shared<HttpRequest>();
    ContentHashes[it.Id] = contentHash;
    CrashersInFlight += contentHash == Crasher ? 1 : 0;
    handle(router, std::move(it));
  }

  /// Executes all running requests; those of the crasher crash their
  /// upstream.
  void execute() {
    const auto running = std::exchange(Running, {});
    std::set<UpstreamId> crashing;
    for (const auto &it : running)
      if (ContentHashes.at(it.Start.Request) == Crasher)
        crashing.insert(upstreamOf(it.Start));
    for (const UpstreamId &upstream : crashing) {
      ++Crashes;
      DownUntil[upstream] = Now + RestartTime;
    }
    for (const auto &it : running) {
      AttemptEnded end{it.Start.Attempt};
      if (crashing.contains(upstreamOf(it.Start)))
        end = {it.Start.Attempt, Reason::ConnectionLost, Verdict::MayHaveRun};
      handle(it.Router, std::move(end));
    }
  }

  /// Crashes an upstream for a reason other than a request.
  void crash(int upstream) {
    const UpstreamId id("t/u" + std::to_string(upstream));
    DownUntil[id] = Now + RestartTime;
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

  /// Resets the links of a router to all upstreams, which run on; further
  /// connections are refused.
  void loseLinks(std::size_t router) {
    Stranded.insert(router);
    std::vector<Attempt> lost;
    std::ranges::copy_if(Running, std::back_inserter(lost),
                         [&](const auto &it) { return it.Router == router; });
    std::erase_if(Running, [&](const auto &it) { return it.Router == router; });
    for (const Attempt &it : lost)
      handle(router, AttemptEnded{it.Start.Attempt, Reason::ConnectionLost,
                                  Verdict::MayHaveRun});
  }
  void restoreLinks(std::size_t router) { Stranded.erase(router); }

  void advance(Duration span) {
    for (Duration done{}; done < span; done += milliseconds(5)) {
      Now += milliseconds(5);
      for (auto it = ReportsInTransit.begin();
           it != ReportsInTransit.end() && it->At <= Now;
           it = ReportsInTransit.begin()) {
        const CrashReportInTransit report = std::move(*it);
        ReportsInTransit.erase(it);
        handle(1 - report.From, CrashReportsReceived{report.Reports});
      }
      for (std::size_t n = 0; n < Cores.size(); ++n)
        handle(n, RouterTick{});
    }
  }

  int crashes() const { return Crashes; }
  bool isCrasherInFlight() const { return CrashersInFlight > 0; }
  bool isRefused(std::uint64_t contentHash) const {
    return Refused.contains(contentHash);
  }
  const std::set<std::uint64_t> &refused() const { return Refused; }

private:
  struct Attempt {
    std::size_t Router;
    StartAttempt Start;
  };
  struct CrashReportInTransit {
    Time At;          ///< time when the other router receives it
    std::size_t From; ///< router that sent it
    std::vector<CrashReport> Reports;
  };

  static UpstreamId upstreamOf(const StartAttempt &it) {
    return std::get<UpstreamTarget>(it.Target).Upstream;
  }
  bool isDown(const UpstreamId &upstream) const {
    const auto it = DownUntil.find(upstream);
    return it != DownUntil.end() && Now < it->second;
  }

  void handle(std::size_t router, RouterEvent event) {
    for (RouterAction &action : Cores[router]->handle(std::move(event), Now))
      std::visit([&](auto &it) { on(router, it); }, action);
  }
  template <class T> void on(std::size_t, T &) {}
  void on(std::size_t router, StartAttempt &action) {
    if (isDown(upstreamOf(action)) || Stranded.contains(router))
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
    const bool isRefused = isDown(action.Upstream) || Stranded.contains(router);
    const Time sentAt = Now;
    Now += Duration(1);
    handle(router,
           UpstreamProbed{action.Upstream, !isRefused, isRefused, sentAt});
  }
  void on(std::size_t router, BroadcastCrashReports &action) {
    ReportsInTransit.push_back(
        {Now + LinkDelay, router, std::move(action.Reports)});
  }
  void on(std::size_t, SendResponse &action) {
    CrashersInFlight -= ContentHashes.at(action.Request) == Crasher ? 1 : 0;
    if (action.Cause == Reason::SuspectedCrasher)
      Refused.insert(ContentHashes.at(action.Request));
  }

  Time Now{seconds(1000)};
  std::array<std::unique_ptr<RouterCore>, 2> Cores;
  std::vector<Attempt> Running;
  std::vector<CrashReportInTransit> ReportsInTransit;
  std::map<UpstreamId, Time> DownUntil;
  std::set<std::size_t> Stranded; ///< routers without links to upstreams
  std::map<RequestId, std::uint64_t> ContentHashes;
  std::set<std::uint64_t> Refused;
  std::uint64_t LastRequest = 0;
  int Crashes = 0;
  int CrashersInFlight = 0;
};

/// A caller repeats a crashing request through both routers, each time after
/// the previous one has failed, while others send harmless requests. At most 3
/// upstreams may crash before both routers refuse the request, and no other
/// request may be refused.
RC_GTEST_PROP(CrasherDetector, RefusesTheCrasherAndNoOtherRequest, ()) {
  const auto steps = *rc::gen::scale(
      3.0, rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
               rc::gen::inRange(0, 6), rc::gen::inRange(0, 100))));
  CrashFixture fixture;
  std::uint64_t others = 1000;
  for (const auto &[kind, choice] : steps) {
    const auto router = static_cast<std::size_t>(choice % 2);
    if (kind < 3)
      fixture.submit(router, ++others, choice % 3 != 0);
    else if (kind == 3 && !fixture.isCrasherInFlight())
      fixture.submit(router, CrashFixture::Crasher, choice % 3 == 0);
    else if (kind == 4)
      fixture.execute();
    // The caller repeats a request only after the previous one has failed.
    fixture.advance(milliseconds(kind == 3 ? 60 : choice % 20));
    if (kind == 3)
      fixture.execute();
    // Crash reports reach the other router before the request is repeated.
    if (kind == 3 || kind == 4)
      fixture.advance(CrashFixture::LinkDelay + milliseconds(10));
  }
  while (fixture.isCrasherInFlight()) {
    fixture.execute();
    fixture.advance(CrashFixture::LinkDelay + milliseconds(10));
  }
  for (int n = 0; n < 8; ++n) {
    fixture.submit(static_cast<std::size_t>(n % 2), CrashFixture::Crasher,
                   false);
    fixture.advance(milliseconds(60));
    fixture.execute();
    fixture.advance(milliseconds(1500));
  }
  RC_ASSERT(fixture.crashes() <= 3);
  RC_ASSERT(fixture.isRefused(CrashFixture::Crasher));
  RC_ASSERT(fixture.refused().size() == 1u);
}

/// All upstreams of one failure domain crash together. No request may be
/// suspected.
RC_GTEST_PROP(CrasherDetector, CrashOfAFailureDomainCausesNoSuspects, ()) {
  const auto requests = *rc::gen::inRange(1, 40);
  const auto domain = *rc::gen::inRange(0, DomainCount);
  CrashFixture fixture;
  for (int n = 0; n < requests; ++n)
    fixture.submit(static_cast<std::size_t>(n % 2),
                   1000 + static_cast<std::uint64_t>(n), true);
  for (int n = domain; n < UpstreamCount; n += DomainCount)
    fixture.crash(n);
  fixture.advance(milliseconds(300));
  fixture.execute();
  for (int n = 0; n < requests; ++n)
    fixture.submit(static_cast<std::size_t>(n % 2),
                   1000 + static_cast<std::uint64_t>(n), true);
  fixture.execute();
  RC_ASSERT(fixture.refused().empty());
}

/// Guards against requests that all routers refuse for minutes since one router
/// took the loss of its own links for crashes of upstreams.
RC_GTEST_PROP(CrasherDetector, LostLinksOfARouterCauseNoSuspects, ()) {
  const auto requests = *rc::gen::inRange(1, 20);
  const auto pause = milliseconds(*rc::gen::inRange(0, 2000));
  CrashFixture fixture;
  const auto submitAll = [&](std::size_t router) {
    for (int n = 0; n < requests; ++n)
      fixture.submit(router, 1000 + static_cast<std::uint64_t>(n), true);
  };
  for (int n = 0; n < 3; ++n) {
    submitAll(0);
    fixture.loseLinks(0);
    fixture.advance(milliseconds(300) + pause);
    fixture.restoreLinks(0);
    fixture.advance(milliseconds(20));
  }
  submitAll(1);
  fixture.execute();
  RC_ASSERT(fixture.refused().empty());
}

TEST(CrasherDetector, ConnectionLostAtARunningUpstreamIsNoCrash) {
  CrasherDetector detector;
  const Time now{seconds(1)};
  detector.recordConnectionLost(RequestFingerprint(1), UpstreamId("a"),
                                DomainId("x"), now);
  EXPECT_TRUE(detector.mayHaveCausedCrash(RequestFingerprint(1)));
  detector.tick(now + CrashConfirmationSpan + milliseconds(1));
  EXPECT_FALSE(detector.mayHaveCausedCrash(RequestFingerprint(1)));
}

/// Several requests are in flight when an upstream crashes. The first lost
/// connection starts the probe that finds the crash; connections that are
/// reported lost right after the probe must count as well.
TEST(CrasherDetector, ConnectionsLostRightAfterTheProbeCount) {
  CrasherDetector detector;
  const Time now{seconds(1)};
  detector.recordConnectionLost(RequestFingerprint(1), UpstreamId("a"),
                                DomainId("x"), now);
  const Time found = now + milliseconds(1);
  detector.recordAnswer(UpstreamId("b"), found, found);
  EXPECT_TRUE(detector.recordRefusal(UpstreamId("a"), found, found));
  detector.recordConnectionLost(RequestFingerprint(2), UpstreamId("a"),
                                DomainId("x"), now);
  detector.tick(now + CrashConfirmationSpan + milliseconds(1));
  EXPECT_TRUE(detector.mayHaveCausedCrash(RequestFingerprint(2)));
  // A connection lost much later may belong to the restarted upstream.
  const Time later = now + seconds(3);
  detector.recordConnectionLost(RequestFingerprint(3), UpstreamId("a"),
                                DomainId("x"), later);
  detector.tick(later + CrashConfirmationSpan + milliseconds(1));
  EXPECT_FALSE(detector.mayHaveCausedCrash(RequestFingerprint(3)));
}

/// Guards against crash reports of a router whose links are cut: answers from
/// before the loss or after the refusal do not prove that the links worked.
TEST(CrasherDetector, RefusalsAloneAreNoCrash) {
  CrasherDetector detector;
  const auto at = [](int ms) { return Time(milliseconds(ms)); };
  detector.recordAnswer(UpstreamId("b"), at(998), at(999));
  detector.recordConnectionLost(RequestFingerprint(1), UpstreamId("a"),
                                DomainId("x"), at(1000));
  EXPECT_FALSE(detector.recordRefusal(UpstreamId("a"), at(1001), at(1002)));
  EXPECT_FALSE(detector.recordRefusal(UpstreamId("c"), at(1001), at(1002)));
  detector.recordAnswer(UpstreamId("b"), at(1003), at(1004));
  EXPECT_TRUE(detector.takeNewReports().empty());
  EXPECT_TRUE(detector.recordRefusal(UpstreamId("a"), at(1005), at(1006)));
  EXPECT_EQ(detector.takeNewReports().size(), 1U);
}

/// Runs ConnectionHealth with attempts at one upstream that answers every
/// probe.
class HealthFixture {
public:
  AttemptId start() {
    const AttemptId id(++Last);
    Health.start(id, Upstream, Now);
    return id;
  }
  void answer(AttemptId id) { Health.end(id, true, Now); }
  void advance(Duration span) {
    for (const Time end = Now + span; Now < end;) {
      Now += milliseconds(5);
      const HealthFindings findings = Health.tick(Now);
      for (const AttemptId &id : findings.Silent)
        SilentFoundAt.emplace(id, Now);
      if (!findings.ToProbe.empty())
        Health.probeAnswered(Upstream, Now);
    }
  }

  const UpstreamId Upstream{"t/u"};
  Time Now{seconds(1000)};
  ConnectionHealth Health;
  std::map<AttemptId, Time> SilentFoundAt;
  std::uint64_t Last = 0;
};

RC_GTEST_PROP(ConnectionHealth, FindsASilentConnectionWithinASecond, ()) {
  const auto latency = milliseconds(*rc::gen::inRange(2, 30));
  const auto concurrent = *rc::gen::inRange(0, 4);
  HealthFixture fixture;
  for (int n = 0; n < 20; ++n) {
    const AttemptId id = fixture.start();
    fixture.advance(latency);
    fixture.answer(id);
  }
  RC_ASSERT(fixture.SilentFoundAt.empty());
  const AttemptId silent = fixture.start();
  const Time due = fixture.Now + latency;
  while (!fixture.SilentFoundAt.contains(silent) &&
         fixture.Now < due + seconds(5)) {
    std::vector<AttemptId> others;
    others.reserve(static_cast<std::size_t>(concurrent));
    for (int n = 0; n < concurrent; ++n)
      others.push_back(fixture.start());
    fixture.advance(latency);
    for (const AttemptId &id : others)
      fixture.answer(id);
  }
  RC_ASSERT(fixture.SilentFoundAt.contains(silent));
  RC_ASSERT(fixture.SilentFoundAt.at(silent) <= due + seconds(1));
  RC_ASSERT(fixture.SilentFoundAt.size() == 1u);
}

/// The upstream suddenly becomes ten times slower but still responds in order,
/// so no attempt is overtaken and none may be found silent.
RC_GTEST_PROP(ConnectionHealth, SlowUpstreamIsNotFoundSilent, ()) {
  const auto latency = milliseconds(*rc::gen::inRange(5, 30));
  HealthFixture fixture;
  for (int n = 0; n < 20; ++n) {
    const AttemptId id = fixture.start();
    fixture.advance(latency);
    fixture.answer(id);
  }
  for (int n = 0; n < 30; ++n) {
    const std::array ids{fixture.start(), fixture.start(), fixture.start(),
                         fixture.start()};
    fixture.advance(latency * 10);
    for (const AttemptId &id : ids)
      fixture.answer(id);
  }
  RC_ASSERT(fixture.SilentFoundAt.empty());
}

} // namespace
} // namespace waxwing
