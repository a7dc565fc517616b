/**
 * @file leaving_at_size_process_test.cpp
 * Upstreams leave while readers, connections, datagrams and links of 64 VMs
 * fail in a seeded order. Prints by which path and when the VMs dropped them.
 */
#include "fleet_world.h"

#include <spdlog/spdlog.h>

namespace waxwing {
namespace {

constexpr int VmCount = 64;
constexpr int DomainCount = 4;
/// Shortest time after which deployments of this size count a request to an
/// upstream that leaves.
constexpr Duration DrainBound = milliseconds(2500);
/// A VM that was cut off is bound by what the store said meanwhile when it has
/// had its links back for this time.
constexpr Duration ContactTime = seconds(3);

/// The stand-in store returns changes to watches within this time.
constexpr Duration StandinDelay = milliseconds(50);

/// What happens to the VMs of one domain while upstreams leave.
enum class Fault : std::uint8_t {
  None,
  ReaderLost,     ///< soon after the change
  ReaderLostSlow, ///< the same; the next connections of others take 0.45 s
  ReadersReset,   ///< all connections of the readers to the store end
  ReadersSilent,  ///< their watches return nothing more
  ReadersSlow,    ///< their responses from the store take 0.4 s
  HistoryGone,    ///< readers are reset and the store has no history
  VmsCutOff,      ///< three VMs lose all their links
  VmsWithoutStore ///< three VMs lose the store alone
};
constexpr std::array<std::string_view, 9> FaultNames{
    "none",          "reader_lost",    "reader_lost_slow",
    "readers_reset", "readers_silent", "readers_slow",
    "history_gone",  "vms_cut_off",    "vms_without_store"};

/// How a VM learned that an upstream leaves.
struct Drop {
  int Vm = 0;
  Fault DomainFault = Fault::None;
  std::string_view Path;
  Duration UntilCall{};  ///< from the change until the VM's own call began
  Duration UntilKnown{}; ///< until the VM had the change
  Duration UntilDropped{};
  Duration Bound{};
};

class LeavingAtSizeTest : public testing::Test {
protected:
  Task play(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    NextFault = random();
    co_await sleepFor(World.Loop, seconds(7));
    for (int n = 0; n < DomainCount; ++n)
      EXPECT_EQ(World.readers(fmt::format("d{}", n)).size(), 2U);
    // Some links are slow all the time, and datagrams get lost.
    World.Network.LossShare = 0.05;
    World.Network.MaxDelay = milliseconds(100);
    World.Network.SlowDelay = milliseconds(200);
    for (int n = VmCount - 12; n < VmCount; ++n) {
      World.Network.Slowed.insert(World.Vms[n]->Port.own());
      World.Vms[n]->Proxy.ToTarget.Delay = World.Vms[n]->Proxy.ToCaller.Delay =
          milliseconds(200);
    }
    for (int round = 0; round < RoundCount; ++round)
      co_await playRound(round, random);
    World.Loop.stop();
  }

  Task playRound(int round, std::mt19937_64 &random) {
    std::array<Fault, DomainCount> faults{};
    std::set<int> cutOff;
    std::set<int> excused;
    std::ranges::generate(faults, [&] {
      return static_cast<Fault>(NextFault++ % FaultNames.size());
    });
    // A store without its history is not stable; other faults come without it.
    if (std::ranges::count(faults, Fault::HistoryGone) > 0)
      faults.fill(Fault::HistoryGone);
    // After an earlier change, the readers wait before their next watch.
    World.listUpstream(fmt::format("r{}", round), false);
    co_await sleepFor(World.Loop,
                      milliseconds(30 + static_cast<int>(random() % 50)));
    for (int n = 0; n < DomainCount; ++n)
      begin(faults[n], fmt::format("d{}", n), cutOff, excused);
    co_await sleepFor(World.Loop, milliseconds(30));
    const std::array<UpstreamId, 2> leaving{
        UpstreamId(fmt::format("i-{}", 2 * round)),
        UpstreamId(fmt::format("i-{}", 2 * round + 1))};
    World.listUpstream(leaving[0].Value, true);
    World.Store.remove("servers/" + leaving[1].Value);
    if (std::ranges::count(faults, Fault::HistoryGone) > 0)
      World.Store.compact();
    const Time changedAt = bootNow();
    const StoreRevision revision = World.Store.revision();
    const Time loseAt =
        changedAt + milliseconds(100 + static_cast<int>(random() % 750));
    const Time healAt = changedAt + seconds(3);
    bool isLost = false;
    bool isHealed = false;
    std::map<int, bool> isHanging;
    std::map<int, Drop> drops;
    while (bootNow() < changedAt + seconds(3) + ContactTime) {
      if (!isLost && bootNow() >= loseAt) {
        isLost = true;
        for (int n = 0; n < DomainCount; ++n)
          loseReader(n, faults[n], excused);
      }
      updateHanging(faults, loseAt, isHanging);
      if (!isHealed && bootNow() >= healAt) {
        isHealed = true;
        for (int n = 0; n < VmCount; ++n)
          World.heal(n);
      }
      observe(leaving, revision, changedAt, faults, drops);
      co_await sleepFor(World.Loop, milliseconds(10));
    }
    for (int n = 0; n < VmCount; ++n) {
      if (excused.contains(n))
        continue;
      Drop &drop = drops[n];
      drop.Bound =
          cutOff.contains(n) ? healAt - changedAt + ContactTime : DrainBound;
      if (drop.UntilDropped == Duration())
        drop.UntilDropped = bootNow() - changedAt;
      Drops.push_back(drop);
    }
    for (auto &vm : World.Vms)
      if (vm->Proxy.ToCaller.Delay == milliseconds(400))
        vm->Proxy.ToCaller.Delay = Duration();
  }

  void begin(Fault fault, const std::string &domain, std::set<int> &cutOff,
             std::set<int> &excused) {
    const auto readers = World.readers(domain);
    for (const int n : readers) {
      FaultProxy &proxy = World.Vms[n]->Proxy;
      if (fault == Fault::ReadersReset || fault == Fault::HistoryGone)
        proxy.reset();
      else if (fault == Fault::ReadersSilent)
        proxy.silenceWaiting();
      else if (fault == Fault::ReadersSlow)
        proxy.ToCaller.Delay = milliseconds(400);
      if (fault == Fault::ReadersReset || fault == Fault::HistoryGone ||
          fault == Fault::ReadersSilent)
        excused.insert(n);
    }
    if (fault != Fault::VmsCutOff && fault != Fault::VmsWithoutStore)
      return;
    int left = 3;
    for (int n = 0; n < VmCount && left > 0; ++n) {
      FleetVm &vm = *World.Vms[n];
      if (vm.Settings.Vm.text("domain") != domain ||
          vm.Replica.cluster().isReader() || vm.Replica.cluster().isLeader())
        continue;
      World.cut(n, fault == Fault::VmsCutOff);
      cutOff.insert(n);
      --left;
    }
  }

  void loseReader(int domain, Fault fault, std::set<int> &excused) {
    const auto readers = World.readers(fmt::format("d{}", domain));
    if ((fault != Fault::ReaderLost && fault != Fault::ReaderLostSlow) ||
        readers.empty())
      return;
    World.cut(readers.front(), true);
    excused.insert(readers.front());
  }

  /// Lets the connections of VMs that have lost their reader hang until 0.45 s
  /// after the VM began to open one.
  void updateHanging(const std::array<Fault, DomainCount> &faults, Time lostAt,
                     std::map<int, bool> &isHanging) {
    if (bootNow() < lostAt + milliseconds(200))
      return;
    for (int n = 0; n < VmCount; ++n) {
      FleetVm &vm = *World.Vms[n];
      if (faults[n % DomainCount] != Fault::ReaderLostSlow ||
          vm.Replica.cluster().isReader())
        continue;
      const auto [it, isFirst] = isHanging.try_emplace(n, true);
      if (isFirst)
        vm.Proxy.hang();
      const StoreFeed &feed = vm.Replica.upstreamFeed();
      const bool isOver = feed.isWatching() && feed.watchBegunAt() > lostAt &&
                          bootNow() >= feed.watchBegunAt() + milliseconds(450);
      if (it->second && isOver) {
        it->second = false;
        vm.Proxy.open();
      }
    }
  }

  /// Records which VMs have learned of the change, and which have dropped both.
  void observe(const std::array<UpstreamId, 2> &leaving, StoreRevision revision,
               Time changedAt, const std::array<Fault, DomainCount> &faults,
               std::map<int, Drop> &drops) {
    const Duration age = bootNow() - changedAt;
    for (int n = 0; n < VmCount; ++n) {
      FleetVm &vm = *World.Vms[n];
      Drop &drop = drops[n];
      const StoreFeed &feed = vm.Replica.upstreamFeed();
      // Silent watches are found by what other VMs have read.
      if (faults[n % DomainCount] != Fault::ReadersSilent &&
          counterOf(feed.revision()) < revision &&
          feed.completeAt() > changedAt + StandinDelay)
        noteWrongAge(n, revision, changedAt, faults[n % DomainCount]);
      if (drop.UntilKnown == Duration() &&
          counterOf(feed.revision()) >= revision) {
        drop.Vm = n;
        drop.DomainFault = faults[n % DomainCount];
        drop.Path = changePathName(feed.source().Path);
        if (feed.source().Path != ChangePath::Reader)
          drop.UntilCall = std::max(feed.completeAt() - changedAt, Duration());
        drop.UntilKnown = age;
      }
      if (drop.UntilDropped == Duration() && !vm.uses(leaving[0]) &&
          !vm.uses(leaving[1]))
        drop.UntilDropped = age;
    }
  }

  void noteWrongAge(int n, StoreRevision revision, Time changedAt,
                    Fault fault) {
    if (!WrongAges.insert({n, revision}).second)
      return;
    const StoreFeed &feed = World.Vms[n]->Replica.upstreamFeed();
    fmt::print(
        "vm{:02} without a change takes its list for complete {} ms after "
        "it, fault {}, reader {}, watching {}, watch begun {} ms after "
        "it\n",
        n, toMilliseconds(feed.completeAt() - changedAt),
        FaultNames[static_cast<std::size_t>(fault)],
        World.Vms[n]->Replica.cluster().isReader(), feed.isWatching(),
        toMilliseconds(feed.watchBegunAt() - changedAt));
  }

  void print() const {
    std::map<std::string, std::vector<Duration>> byPath;
    for (const Drop &drop : Drops)
      if (drop.Bound == DrainBound)
        byPath[std::string(drop.Path)].push_back(drop.UntilDropped);
    for (auto &[path, ages] : byPath) {
      std::ranges::sort(ages);
      fmt::print("{:7} {:5} changes, half within {} ms, all within {} ms\n",
                 path, ages.size(), toMilliseconds(ages[ages.size() / 2]),
                 toMilliseconds(ages.back()));
    }
    const auto slowest =
        std::ranges::max_element(Drops, {}, [](const Drop &drop) {
          return drop.UntilDropped - drop.Bound;
        });
    struct Stage {
      std::string_view Name;
      Duration Length;
    };
    const std::array<Stage, 3> stages{
        Stage{"wait for a reader or the next call", slowest->UntilCall},
        Stage{"call or datagram", slowest->UntilKnown - slowest->UntilCall},
        Stage{"removal put off", slowest->UntilDropped - slowest->UntilKnown}};
    fmt::print("nearest to its bound: vm{:02}, {} ms of {} ms, path {}, fault "
               "{}\n",
               slowest->Vm, toMilliseconds(slowest->UntilDropped),
               toMilliseconds(slowest->Bound), slowest->Path,
               FaultNames[static_cast<std::size_t>(slowest->DomainFault)]);
    for (const Stage &stage : stages)
      fmt::print("  {}: {} ms\n", stage.Name, toMilliseconds(stage.Length));
    fmt::print("slowest stage: {}\n",
               std::ranges::max_element(stages, {}, &Stage::Length)->Name);
  }

  static constexpr int RoundCount = 10;
  FleetWorld World{VmCount, DomainCount, 1};
  std::uint64_t NextFault = 0;
  std::vector<Drop> Drops;
  /// VMs that took their list for complete without a change, and that change.
  std::set<std::pair<int, StoreRevision>> WrongAges;
};

// DRAIN: a VM could not call the store over a link on which packets wait, since
// each connection had to be established within 0.4 s.
TEST(StoreConnectionTest, IsEstablishedOnASlowLink) {
  asio::io_context loop;
  const Endpoint storeAddress = FleetWorld::address(0);
  const Endpoint proxyAddress = FleetWorld::address(1);
  StandinPlatformStore store(loop, storeAddress);
  FaultProxy proxy(loop, proxyAddress, storeAddress);
  HttpCallClient calls(loop);
  proxy.hang();
  asio::steady_timer openTimer(loop, milliseconds(450));
  openTimer.async_wait([&](const auto &) { proxy.open(); });
  std::optional<HttpCallResult> result;
  const Time begunAt = bootNow();
  calls.call(proxyAddress, platform::buildStaleListRequest("op/"), "",
             begunAt + seconds(2), [&](const HttpCallResult &end) {
               result = end;
               loop.stop();
             });
  loop.run_for(std::chrono::seconds(3));
  ASSERT_TRUE(result);
  EXPECT_EQ(result->Loss, CallLoss::None) << result->Error;
  EXPECT_EQ(result->Status, 200);
  EXPECT_LT(bootNow() - begunAt, seconds(1));
}

// Guards against removals of entries that expired while the store was away: the
// time for which VMs tell each other that it served must not grow on the way.
TEST(StoreServiceTest, OutageOfTheStoreIsNotWithdrawn) {
  spdlog::set_level(spdlog::level::off);
  FleetWorld world(16, 2, 1);
  world.Network.MaxDelay = milliseconds(100);
  world.start();
  spawnTask(world.Loop, [](FleetWorld &fleet) -> Task {
    co_await sleepFor(fleet.Loop, seconds(6));
    fleet.Store.setDown(true);
    co_await sleepFor(fleet.Loop, milliseconds(1500));
    fleet.Store.setDown(false);
    co_await sleepFor(fleet.Loop, milliseconds(2200));
    fleet.Loop.stop();
  }(world));
  world.Loop.run();
  for (const auto &vm : world.Vms) {
    EXPECT_NE(vm->Replica.storeHealth().recoveredAt(), Time());
    EXPECT_EQ(vm->Replica.storeHealth().ownOutageCount(), 0U);
  }
}

// DRAIN: VMs in touch with the store used upstreams that had left for longer
// than the bound while a reader, a connection or a link failed.
TEST_F(LeavingAtSizeTest, UpstreamsThatLeaveAreDroppedInTime) {
  spdlog::set_level(spdlog::level::off);
  const char *seed = std::getenv("WAXWING_FLEET_SEED");
  for (int n = 0; n < 2 * RoundCount; ++n)
    World.listUpstream(fmt::format("i-{}", n), false);
  World.start();
  spawnTask(World.Loop, play(seed == nullptr ? 1 : std::stoull(seed)));
  World.Loop.run();
  print();
  int late = 0;
  for (const Drop &drop : Drops) {
    late += drop.UntilDropped > drop.Bound ? 1 : 0;
    if (drop.UntilDropped > drop.Bound && late <= 10)
      ADD_FAILURE() << fmt::format(
          "vm{:02} dropped an upstream after {} ms of {} ms, path {}, fault "
          "{}, "
          "own call after {} ms, known after {} ms",
          drop.Vm, toMilliseconds(drop.UntilDropped),
          toMilliseconds(drop.Bound), drop.Path,
          FaultNames[static_cast<std::size_t>(drop.DomainFault)],
          toMilliseconds(drop.UntilCall), toMilliseconds(drop.UntilKnown));
  }
  EXPECT_EQ(WrongAges.size(), 0U);
  EXPECT_EQ(late, 0) << "of " << Drops.size();
}

} // namespace
} // namespace waxwing
