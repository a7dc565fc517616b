/**
 * @file link_monitor_test.cpp
 * A VM without links knows it soon, and crashes of upstreams do not count as
 * the loss of its links.
 */
#include "routing/link_monitor.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <iterator>
#include <optional>
#include <rapidcheck/gtest.h>

namespace waxwing {
namespace {

constexpr Time Start{seconds(100)};
/// Time after which a connection that hangs counts as failed.
constexpr Duration HangTimeout = milliseconds(400);

/// Upstreams spread over services and failure domains, and the connections of
/// one VM to them, in simulated time.
class LinkWorld {
public:
  LinkWorld(int services, int domains, int perPlace, std::uint64_t seed)
      : Monitor(seed) {
    for (int service = 0; service < services; ++service)
      for (int domain = 0; domain < domains; ++domain)
        for (int n = 0; n < perPlace; ++n)
          Usable.push_back({UpstreamId("i" + std::to_string(Usable.size())),
                            ServiceId("s" + std::to_string(service)),
                            DomainId("d" + std::to_string(domain))});
  }

  /// Opens a connection that fails after @p FailureDelay if its upstream is
  /// unreachable, and is established at once otherwise.
  void connect(const UpstreamId &upstream) {
    const bool isFailing =
        AreLinksCut || std::ranges::find(Gone, upstream) != Gone.end();
    Open.push_back({upstream, Now,
                    Now + (isFailing ? FailureDelay : milliseconds(1)),
                    isFailing});
    ++Connections;
  }

  /// Advances the time by 1 ms.
  void step() {
    Now += milliseconds(1);
    bool isAnyFailed = false;
    for (const Connection &connection : takeEnded()) {
      if (connection.IsFailing)
        Monitor.onConnectFailed(connection.Upstream, connection.StartedAt, Now);
      else
        Monitor.onConnected(connection.Upstream, Now);
      isAnyFailed |= connection.IsFailing;
      if (!FirstFailureAt && connection.IsFailing)
        FirstFailureAt = Now;
    }
    if (isAnyFailed || Now >= NextCheckAt) {
      for (const UpstreamId &upstream : Monitor.upstreamsToTest(Usable, Now))
        connect(upstream);
      NextCheckAt = Now + LinkMonitor::CheckInterval;
    }
  }

  /// Runs for @p time with a request on a new connection each @p interval.
  /// @return when the links counted as lost, if they did
  std::optional<Time> run(Duration time, Duration interval,
                          std::mt19937_64 &random) {
    const Time end = Now + time;
    while (Now < end) {
      if (Now >= NextRequestAt) {
        NextRequestAt = Now + interval;
        connect(Usable[random() % Usable.size()].Id);
      }
      step();
      if (!Monitor.areLinksWorking())
        return Now;
    }
    return std::nullopt;
  }

  LinkMonitor Monitor;
  std::vector<TestableUpstream> Usable;
  std::vector<UpstreamId> Gone; ///< crashed upstreams
  bool AreLinksCut = false;
  Duration FailureDelay = HangTimeout;
  Time Now = Start;
  Time NextCheckAt = Start;
  Time NextRequestAt = Start;
  std::optional<Time> FirstFailureAt;
  int Connections = 0;

private:
  struct Connection {
    UpstreamId Upstream;
    Time StartedAt;
    Time EndsAt;
    bool IsFailing;
  };

  std::vector<Connection> takeEnded() {
    const auto ended = std::stable_partition(
        Open.begin(), Open.end(),
        [&](const Connection &connection) { return connection.EndsAt > Now; });
    std::vector<Connection> result(ended, Open.end());
    Open.erase(ended, Open.end());
    return result;
  }

  std::vector<Connection> Open;
};

/// @return a world of random size, of at least @p services services and two
///   failure domains
LinkWorld createWorld(int services) {
  return {*rc::gen::inRange(services, 6), *rc::gen::inRange(2, 5),
          *rc::gen::inRange(1, 8), *rc::gen::arbitrary<std::uint64_t>()};
}

/// Crashes upstreams and fails the property if the links count as lost.
void expectLinksKept(
    LinkWorld &world,
    const std::function<bool(const TestableUpstream &)> &isGone) {
  for (const TestableUpstream &upstream : world.Usable)
    if (isGone(upstream))
      world.Gone.push_back(upstream.Id);
  world.FailureDelay = milliseconds(*rc::gen::element(400, 1));
  std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
  RC_ASSERT(
      !world.run(seconds(10),
                 *rc::gen::element<Duration>(milliseconds(2), milliseconds(50),
                                             milliseconds(700)),
                 random));
}

/// Guards against a VM that fails its callers for seconds because it notices
/// too late that all of its connections hang.
RC_GTEST_PROP(LinkMonitor, HangingLinksAreKnownAsLostInTime, ()) {
  LinkWorld world = createWorld(1);
  std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
  const Duration interval = milliseconds(*rc::gen::element(2, 50, 5000));
  RC_ASSERT(!world.run(seconds(1), interval, random));
  world.AreLinksCut = true;
  const auto lostAt = world.run(seconds(20), interval, random);
  RC_ASSERT(lostAt.has_value());
  RC_ASSERT(*lostAt <= *world.FirstFailureAt + milliseconds(1200));
}

/// Guards against the same delay when connections are refused.
RC_GTEST_PROP(LinkMonitor, RefusedLinksAreKnownAsLostAtOnce, ()) {
  LinkWorld world = createWorld(1);
  world.AreLinksCut = true;
  world.FailureDelay = milliseconds(1);
  std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
  const auto lostAt = world.run(seconds(1), seconds(5), random);
  RC_ASSERT(lostAt.has_value());
  RC_ASSERT(*lostAt <= *world.FirstFailureAt + milliseconds(100));
}

/// Guards against VMs that pass all requests to others, and resign as leader,
/// since some upstreams crashed.
RC_GTEST_PROP(LinkMonitor, CrashOfAThirdOfTheUpstreamsIsNoLossOfLinks, ()) {
  LinkWorld world = createWorld(1);
  const std::size_t count = world.Usable.size() / 3;
  std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
  std::vector<TestableUpstream> gone;
  std::ranges::sample(world.Usable, std::back_inserter(gone),
                      static_cast<std::ptrdiff_t>(count), random);
  expectLinksKept(world, [&](const TestableUpstream &upstream) {
    return std::ranges::find(gone, upstream.Id, &TestableUpstream::Id) !=
           gone.end();
  });
}

/// Guards against the same error when a service is gone as a whole.
RC_GTEST_PROP(LinkMonitor, CrashOfAServiceIsNoLossOfLinks, ()) {
  LinkWorld world = createWorld(2);
  expectLinksKept(world, [](const TestableUpstream &upstream) {
    return upstream.Service == ServiceId("s0");
  });
}

/// Guards against the same error when a failure domain is gone.
RC_GTEST_PROP(LinkMonitor, CrashOfADomainIsNoLossOfLinks, ()) {
  LinkWorld world = createWorld(1);
  expectLinksKept(world, [](const TestableUpstream &upstream) {
    return upstream.Domain == DomainId("d0");
  });
}

/// Guards against a VM that stays out of use after its links are back.
TEST(LinkMonitor, ATestConnectionFindsThatTheLinksAreBack) {
  LinkWorld world(3, 2, 4, 1);
  world.AreLinksCut = true;
  std::mt19937_64 random(1);
  ASSERT_TRUE(world.run(seconds(3), milliseconds(50), random));
  const int before = world.Connections;
  for (int n = 0; n < 5000; ++n)
    world.step();
  EXPECT_FALSE(world.Monitor.areLinksWorking());
  EXPECT_LE(world.Connections - before, 60);
  world.AreLinksCut = false;
  for (int n = 0; n < 300; ++n)
    world.step();
  EXPECT_TRUE(world.Monitor.areLinksWorking());
  EXPECT_FALSE(world.Monitor.isTesting());
}

/// Guards against test connections that load the other upstreams while one is
/// gone.
TEST(LinkMonitor, AFailingUpstreamCausesFewTests) {
  LinkWorld world(3, 2, 4, 1);
  world.Gone = {world.Usable.front().Id};
  world.FailureDelay = milliseconds(1);
  for (int n = 0; n < 10'000; ++n) {
    if (n % 10 == 0)
      world.connect(world.Gone.front());
    world.step();
  }
  EXPECT_TRUE(world.Monitor.areLinksWorking());
  EXPECT_LE(world.Connections - 1000, 50);
}

/// Guards against the failure of a connection that was begun before a later
/// one succeeded.
TEST(LinkMonitor, AFailureOlderThanASuccessIsIgnored) {
  LinkMonitor monitor;
  monitor.onConnected(UpstreamId("a"), Start + milliseconds(10));
  monitor.onConnectFailed(UpstreamId("b"), Start, Start + HangTimeout);
  EXPECT_FALSE(monitor.isTesting());
}

/// Guards against a VM that counts its links as lost when the only upstream is
/// gone.
TEST(LinkMonitor, OneUpstreamAloneProvesNothing) {
  LinkWorld world(1, 1, 1, 1);
  world.Gone = {world.Usable.front().Id};
  world.FailureDelay = milliseconds(1);
  std::mt19937_64 random(1);
  EXPECT_FALSE(world.run(seconds(5), milliseconds(20), random));
}

} // namespace
} // namespace waxwing
