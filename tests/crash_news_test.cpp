/**
 * @file crash_news_test.cpp
 * Which requests count as causes of crashes, and how all VMs learn of them.
 */
#include "peers/news_targets.h"
#include "traffic/crasher_detector_base.h"

#include <deque>
#include <gtest/gtest.h>

namespace waxwing {
namespace {

const RequestFingerprint Crasher(17);
constexpr Duration EndSpan = seconds(15);

Time at(int ms) { return Time(seconds(100) + milliseconds(ms)); }
UpstreamId upstream(int n) { return UpstreamId("i-" + std::to_string(n)); }
DomainId domain(int n) { return DomainId("d" + std::to_string(n)); }

/// Reports the crash of a process of upstream @p n under the request.
CrashNews crashNews(int n, Duration age = {}) {
  return {{{Crasher, upstream(n), domain(n), age, 1000 + n}}, {}, {}};
}

// Guards against a crash that is missed since the upstream was started again
// before a connection to it was tried.
TEST(CrasherDetectorTest, LaterProcessProvesTheCrash) {
  CrasherDetector detector(EndSpan);
  detector.recordConnectionLost(Crasher, upstream(1), domain(1), at(0), 1000);
  EXPECT_TRUE(detector.recordProcessEnded(upstream(1), 9000, at(6000)));
  EXPECT_EQ(detector.takeNewReports().size(), 1U);
}

// Guards against a request that counts as the cause although its upstream
// merely dropped the connection, as it does when it is full.
TEST(CrasherDetectorTest, ProcessThatAnswersHasNotCrashed) {
  CrasherDetector detector(EndSpan);
  detector.recordConnectionLost(Crasher, upstream(1), domain(1), at(0), 1000);
  detector.recordAnswer(upstream(1), at(50), at(51));
  EXPECT_FALSE(detector.recordProcessEnded(upstream(1), 9000, at(6000)));
  // The same process in the list again says nothing.
  detector.recordConnectionLost(Crasher, upstream(2), domain(2), at(0), 1000);
  EXPECT_FALSE(detector.recordProcessEnded(upstream(2), 1000, at(6000)));
  EXPECT_TRUE(detector.takeNewReports().empty());
}

// Guards against a request that becomes a suspect by one crash that several VMs
// saw at different times.
TEST(CrasherDetectorTest, OneEndOfAProcessCountsOnce) {
  CrasherDetector detector(EndSpan);
  for (const Duration age :
       {Duration(), Duration(milliseconds(900)), Duration(seconds(4))})
    detector.merge(crashNews(1, age), at(10000));
  EXPECT_EQ(detector.countCrashes(Crasher), 1U);
  EXPECT_FALSE(detector.isSuspect(Crasher, at(10000)));
}

// Guards against a sound request that is refused because it was in flight at
// several crashes, although upstreams have executed it in between.
TEST(CrasherDetectorTest, ResponseToAnotherVmClearsTheRequest) {
  CrasherDetector own(EndSpan);
  CrasherDetector other(EndSpan);
  own.merge(crashNews(1), at(0));
  other.merge(crashNews(1), at(0));
  EXPECT_TRUE(other.recordCompleteResponse(Crasher, at(200)));
  EXPECT_EQ(own.merge({{}, {{Crasher, milliseconds(5)}}, {}}, at(205))
                .Clearances.size(),
            1U);
  // Reports of crashes before the response may arrive late.
  own.merge(crashNews(2, milliseconds(300)), at(300));
  EXPECT_EQ(own.countCrashes(Crasher), 0U);
  own.merge(crashNews(3), at(400));
  EXPECT_EQ(own.countCrashes(Crasher), 1U);
  EXPECT_FALSE(own.isSuspect(Crasher, at(400)));
}

// Guards against a VM started later that sends the request to further
// upstreams, and against one that refuses a request for ever.
TEST(CrasherDetectorTest, SuspectIsKnownUntilItsEnd) {
  CrasherDetector detector(EndSpan);
  for (int n = 0; n < 3; ++n)
    detector.merge(crashNews(n), at(n * 2000));
  ASSERT_TRUE(detector.isSuspect(Crasher, at(4000)));
  // The reports have expired.
  const Time later = at(4000) + CrashReportLifetime + seconds(30);
  CrasherDetector started(EndSpan);
  EXPECT_NE(started.digest(later), detector.digest(later));
  started.merge(detector.news(later), later);
  EXPECT_TRUE(started.isSuspect(Crasher, later));
  EXPECT_EQ(started.digest(later), detector.digest(later));
  EXPECT_FALSE(started.isSuspect(Crasher, at(4000) + SuspectLifetime));
}

// Guards against memory that grows with the number of crashes.
TEST(CrasherDetectorTest, NumberOfRequestsIsBounded) {
  CrasherDetector detector(EndSpan);
  for (std::uint64_t n = 0; n < TrackedRequestLimit + 500; ++n) {
    const RequestFingerprint fingerprint(n);
    detector.recordConnectionLost(fingerprint, upstream(1), domain(1), at(0),
                                  1000);
    detector.merge({{{fingerprint, upstream(2), domain(2), {}, 1000}},
                    {{RequestFingerprint(n + 50000), {}}},
                    {{RequestFingerprint(n + 90000), seconds(9)}}},
                   at(0));
  }
  const CrashNews all = detector.news(at(0));
  EXPECT_LE(all.Reports.size() + all.Suspects.size(), TrackedRequestLimit);
  EXPECT_LE(all.Clearances.size(), TrackedRequestLimit);
}

/// Hundreds of VMs that pass news on by datagrams, some of which are lost.
class NewsFleet {
public:
  NewsFleet(int count, double lossRate, std::uint64_t seed)
      : Random(seed), LossRate(lossRate), Detectors(count) {
    for (int n = 0; n < count; ++n)
      Vms.push_back({{VmId("vm" + std::to_string(n)), {}, 1},
                     {"10.0.0.1", static_cast<std::uint16_t>(n + 1)}});
  }

  /// VM @p n finds a crash at the upstream @p crashed.
  void find(int n, int crashed) {
    const CrashNews news = crashNews(crashed);
    Detectors[n].merge(news, Now);
    spread(n, news);
  }
  /// VM @p n gets a complete response to the request.
  void clear(int n) {
    if (Detectors[n].recordCompleteResponse(Crasher, Now))
      spread(n, {{}, {{Crasher, {}}}, {}});
  }
  /// Delivers datagrams, each some time after the one before.
  /// @param most number of datagrams after which it gives up
  void deliver(int most) {
    for (; !Datagrams.empty() && most > 0; Datagrams.pop_front(), --most) {
      const auto [to, news] = Datagrams.front();
      ++Delivered;
      Now += milliseconds(1);
      const CrashNews fresh = Detectors[to].merge(news, Now);
      if (!fresh.isEmpty())
        spread(to, fresh);
    }
  }
  /// @return VMs that refuse the request
  long refusingCount() const {
    return std::ranges::count_if(Detectors, [this](const auto &detector) {
      return detector.isSuspect(Crasher, Now);
    });
  }
  int delivered() const { return Delivered; }
  bool isQuiet() const { return Datagrams.empty(); }

private:
  struct Datagram {
    int To;
    CrashNews News;
  };

  void spread(int from, const CrashNews &news) {
    for (const Endpoint &target :
         chooseNewsTargets(Vms, Vms[from].Vm.Vm, Random))
      if (std::uniform_real_distribution<>()(Random) >= LossRate)
        Datagrams.push_back({target.Port - 1, news});
  }

  std::mt19937_64 Random;
  double LossRate;
  Time Now = at(0);
  std::vector<VmInfo> Vms;
  std::vector<CrasherDetector> Detectors;
  std::deque<Datagram> Datagrams;
  int Delivered = 0;
};

// Guards against VMs of a large fleet that go on sending the request because
// news reach them only through a leader.
TEST(CrashNewsTest, HundredsOfVmsLearnWithoutALeader) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    constexpr int count = 300;
    NewsFleet fleet(count, 0.03, seed);
    for (int n = 0; n < 3; ++n)
      fleet.find(100 * n, n);
    fleet.deliver(100'000);
    // The reply to a hello, every 0.4 s, tells the rest.
    EXPECT_GE(fleet.refusingCount(), count - 6) << seed;
    EXPECT_LE(fleet.delivered(), 3 * count * static_cast<int>(NewsTargetCount));
  }
}

// Guards against news that go round for ever, since each VM takes a late copy
// of a clearance or a report for a newer one.
TEST(CrashNewsTest, NewsOfAClearedRequestEnd) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    constexpr int count = 100;
    constexpr int most = 4 * count * static_cast<int>(NewsTargetCount);
    NewsFleet fleet(count, 0, seed);
    fleet.find(0, 1);
    fleet.deliver(100);
    fleet.clear(0); // while reports are still on their way
    fleet.deliver(most);
    fleet.find(50, 2);
    fleet.deliver(most);
    fleet.clear(50);
    fleet.deliver(most);
    EXPECT_TRUE(fleet.isQuiet()) << seed;
    EXPECT_EQ(fleet.refusingCount(), 0) << seed;
  }
}

} // namespace
} // namespace waxwing
