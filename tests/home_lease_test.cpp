/**
 * @file home_lease_test.cpp
 * Home leases under lost, late and reordered messages, leader changes,
 * clocks with different rates, and paused routers.
 */
#include "traffic/home_lease_client_base.h"
#include "traffic/home_lease_manager_base.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <set>

namespace waxwing {
namespace {

const ServiceId Service("t/s");
/// Amount by which a test advances the simulated time.
constexpr Duration Step = milliseconds(10);
constexpr int RouterCount = 4;
constexpr int ManagerCount = 2;

std::vector<HomeResource> makeResources(std::uint32_t upstreams) {
  std::vector<HomeResource> resources;
  resources.reserve(upstreams + 1);
  for (std::uint32_t n = 0; n < upstreams; ++n)
    resources.emplace_back(UpstreamId("t/u" + std::to_string(n)));
  resources.emplace_back(PartitionId(0));
  return resources;
}

/// Lease clients of several routers and lease managers of several
/// controllers; the test chooses the leader.
class HomeLeaseSimulation {
public:
  explicit HomeLeaseSimulation(std::uint32_t upstreams = 3)
      : Resources(makeResources(upstreams)) {
    for (int n = 0; n < RouterCount; ++n)
      Clients.emplace_back(Service,
                           RouterIdentity{vm(n), Incarnation(1), DomainId("d"),
                                          Endpoint{"x", 1}},
                           HomeLeaseTiming());
    for (int n = 0; n < ManagerCount; ++n) {
      Managers.emplace_back(Service, HomeLeaseTiming());
      Managers.back().setResources(Resources);
    }
    makeLeader(0, true);
  }

  static VmId vm(int n) { return VmId("vm" + std::to_string(n)); }

  /// @return time by router @p n's clock; each clock has its own rate within
  ///   the drift bound
  Time clock(int n) const {
    const std::int64_t ppm = 4'000 * n - 6'000;
    return Time(Now.time_since_epoch() +
                Now.time_since_epoch() * ppm / 1'000'000);
  }

  void makeLeader(int manager, bool isFirst = false) {
    Leader = manager;
    ++Rev.Value;
    for (int n = 0; n < ManagerCount; ++n)
      Managers[n].setLeadership(
          {n == manager, n == manager, n == manager, isFirst, Rev}, Now);
  }

  void loseLeader() {
    for (HomeLeaseManager &manager : Managers)
      manager.setLeadership({false, false, false, false, Rev}, Now);
  }

  /// Polls one router and, if @p deliverResponse, delivers all pending
  /// responses.
  /// @param deliverRequest whether the router's request reaches the network
  void step(int router, bool deliverRequest, bool deliverResponse) {
    const auto request = Clients[router].poll(
        clock(router),
        [&](const HomeResource &it) { return !Busy.contains({router, it}); },
        [](const HomeResource &) { return true; });
    if (request && deliverRequest)
      Requests.push_back(*request);
    if (!deliverResponse)
      return;
    for (const HomeLeaseResponse &response : std::exchange(Responses, {})) {
      const int to = response.Router.Value.back() - '0';
      for (const HomeLease &lease :
           Clients[to].applyResponse(response, clock(to)))
        Gained.push_back(lease);
    }
  }

  void deliverRequests() {
    while (!Requests.empty()) {
      if (auto response = Managers[Leader].handleRequest(Requests.front(), Now))
        Responses.push_back(*response);
      Requests.pop_front();
    }
  }

  /// Runs for @p span with a network that loses and delays nothing.
  void runWithoutFaults(Duration span) {
    for (const Time end = Now + span; Now < end; Now += Step) {
      for (int n = 0; n < RouterCount; ++n)
        if (!Paused.contains(n)) {
          step(n, true, true);
          deliverRequests();
          step(n, true, true);
        }
    }
  }

  std::vector<int> holdersOf(const HomeResource &resource) const {
    std::vector<int> holders;
    for (int n = 0; n < RouterCount; ++n)
      if (Clients[n].right(resource, clock(n)) == HomeRight::Full)
        holders.push_back(n);
    return holders;
  }

  std::size_t leaseCountOf(int router) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Resources, [&](const HomeResource &it) {
          return Clients[router].right(it, clock(router)) == HomeRight::Full;
        }));
  }

  Time Now{seconds(100)};
  Revision Rev;
  int Leader = 0;
  std::vector<HomeResource> Resources;
  std::vector<HomeLeaseClient> Clients;
  std::vector<HomeLeaseManager> Managers;
  std::deque<HomeLeaseRequest> Requests;
  std::vector<HomeLeaseResponse> Responses;
  std::vector<HomeLease> Gained;
  /// Routers and the resources where they still run a request.
  std::set<std::pair<int, HomeResource>> Busy;
  std::set<int> Paused;
};

TEST(HomeLease, FirstLeaderDistributesLeasesEvenly) {
  HomeLeaseSimulation fleet(8);
  fleet.runWithoutFaults(seconds(1));
  for (const HomeResource &resource : fleet.Resources)
    EXPECT_EQ(fleet.holdersOf(resource).size(), 1u);
  for (int n = 0; n < RouterCount; ++n)
    EXPECT_LE(fleet.leaseCountOf(n), 3u);
  EXPECT_TRUE(std::ranges::all_of(fleet.Gained, &HomeLease::IsVacant));
}

TEST(HomeLease, LostRouterIsReplacedAfterItsLeaseExpires) {
  HomeLeaseSimulation fleet;
  fleet.runWithoutFaults(seconds(1));
  const HomeResource resource = fleet.Resources[0];
  const int lost = fleet.holdersOf(resource).at(0);
  fleet.Paused.insert(lost);
  fleet.Gained.clear();
  fleet.runWithoutFaults(milliseconds(400));
  EXPECT_EQ(fleet.holdersOf(resource), std::vector{lost});
  fleet.runWithoutFaults(milliseconds(550));
  ASSERT_EQ(fleet.holdersOf(resource).size(), 1u);
  EXPECT_NE(fleet.holdersOf(resource)[0], lost);
  const auto it =
      std::ranges::find(fleet.Gained, resource, &HomeLease::Resource);
  ASSERT_NE(it, fleet.Gained.end());
  EXPECT_FALSE(it->IsVacant);
  EXPECT_TRUE(it->IsWarm);
}

TEST(HomeLease, NewLeaderKeepsExistingLeases) {
  HomeLeaseSimulation fleet;
  fleet.runWithoutFaults(seconds(1));
  std::vector<std::vector<int>> before;
  before.reserve(fleet.Resources.size());
  for (const HomeResource &resource : fleet.Resources)
    before.push_back(fleet.holdersOf(resource));
  fleet.Gained.clear();
  fleet.makeLeader(1);
  fleet.runWithoutFaults(seconds(2));
  for (std::size_t n = 0; n < before.size(); ++n)
    EXPECT_EQ(fleet.holdersOf(fleet.Resources[n]), before[n]);
  EXPECT_TRUE(fleet.Gained.empty());
}

TEST(HomeLease, LastHomeKeepsReducedRightWithoutLeaderAndRegainsLease) {
  HomeLeaseSimulation fleet;
  fleet.runWithoutFaults(seconds(1));
  const HomeResource resource = fleet.Resources[0];
  const int holder = fleet.holdersOf(resource).at(0);
  fleet.loseLeader();
  fleet.runWithoutFaults(seconds(30));
  EXPECT_TRUE(fleet.holdersOf(resource).empty());
  EXPECT_EQ(fleet.Clients[holder].right(resource, fleet.clock(holder)),
            HomeRight::Reduced);
  fleet.Gained.clear();
  fleet.makeLeader(1);
  fleet.runWithoutFaults(seconds(2));
  EXPECT_EQ(fleet.holdersOf(resource), std::vector{holder});
  EXPECT_TRUE(fleet.Gained.empty());
}

TEST(HomeLease, BusyHomeIsNotReleased) {
  HomeLeaseSimulation fleet;
  fleet.Paused = {1, 2, 3};
  fleet.runWithoutFaults(seconds(1));
  ASSERT_EQ(fleet.leaseCountOf(0), fleet.Resources.size());
  for (const HomeResource &resource : fleet.Resources)
    fleet.Busy.insert({0, resource});
  fleet.Paused.clear();
  fleet.Gained.clear();
  fleet.runWithoutFaults(seconds(2));
  EXPECT_TRUE(fleet.Gained.empty());
  fleet.Busy.clear();
  fleet.runWithoutFaults(seconds(1));
  EXPECT_FALSE(fleet.Gained.empty());
  EXPECT_TRUE(std::ranges::all_of(fleet.Gained, &HomeLease::IsVacant));
}

TEST(HomeLease, LeavingRouterReleasesAllLeases) {
  HomeLeaseSimulation fleet;
  fleet.runWithoutFaults(seconds(1));
  fleet.Clients[0].leave();
  fleet.Gained.clear();
  fleet.runWithoutFaults(milliseconds(500));
  EXPECT_EQ(fleet.leaseCountOf(0), 0u);
  for (const HomeResource &resource : fleet.Resources)
    EXPECT_EQ(fleet.holdersOf(resource).size(), 1u);
  EXPECT_TRUE(std::ranges::all_of(fleet.Gained, &HomeLease::IsVacant));
}

RC_GTEST_PROP(HomeLease, AtMostOneRouterHoldsALease, ()) {
  HomeLeaseSimulation fleet;
  const auto length = *rc::gen::inRange(100, 600);
  for (int n = 0; n < length; ++n) {
    const auto router = *rc::gen::inRange(0, RouterCount);
    const auto chance = *rc::gen::inRange(0, 100);
    fleet.step(router, chance >= 15, chance % 4 != 0);
    if (chance % 3 != 0)
      fleet.deliverRequests();
    if (chance == 99 || chance == 98)
      fleet.makeLeader(*rc::gen::inRange(0, ManagerCount));
    if (chance == 97)
      fleet.Now += seconds(1);
    if (chance == 96 && fleet.Requests.size() > 1)
      std::swap(fleet.Requests.front(), fleet.Requests.back());
    const HomeResource &any =
        fleet.Resources[static_cast<std::size_t>(n) % fleet.Resources.size()];
    if (chance % 5 == 0)
      fleet.Busy.insert({router, any});
    if (chance % 5 == 1)
      fleet.Busy.erase({router, any});
    fleet.Now += Step;
    for (const HomeResource &resource : fleet.Resources)
      RC_ASSERT(fleet.holdersOf(resource).size() <= 1);
  }
}

} // namespace
} // namespace waxwing
