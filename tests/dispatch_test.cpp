/**
 * @file dispatch_test.cpp
 * Dispatcher under load and faults: slot limits, cold starts, tiers, slow
 * upstreams, failure domains, lost routers and lost leaders.
 */
#include "dispatch_fleet.h"

#include "link/link_message_func.h"
#include "table/reasons.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwing {
namespace {

/// @return a fleet whose upstreams have finished their warm-up
std::unique_ptr<DispatchFleet> makeWarmFleet(FleetOptions options = {}) {
  auto fleet = std::make_unique<DispatchFleet>(options);
  fleet->run(seconds(1));
  fleet->load("paying", 800, fleet->Now + seconds(3));
  fleet->run(seconds(4));
  fleet->Results.clear();
  for (FleetUpstream &it : fleet->Upstreams)
    it.Served = it.PeakRequests = it.PeakRequestsWhileCold = 0;
  return fleet;
}

/// @return requests per second that all warm upstreams can serve
double capacity(const FleetOptions &options) {
  return options.Upstreams * options.Slots * 1e6 /
         static_cast<double>(options.ServiceTime.count());
}

TEST(Dispatch, ColdUpstreamsStayWithinColdSlotsUnderOverload) {
  for (const int coldSlots : {1, 2}) {
    FleetOptions options;
    options.ColdSlots = coldSlots;
    DispatchFleet fleet(options);
    fleet.load("paying", capacity(options) * 2, fleet.Now + seconds(5));
    fleet.run(seconds(6));
    for (const FleetUpstream &it : fleet.Upstreams) {
      EXPECT_GT(it.Arrivals, 0);
      EXPECT_LE(it.PeakRequestsWhileCold, coldSlots);
      EXPECT_LE(it.PeakRequests, options.Slots);
    }
  }
}

TEST(Dispatch, UnreportedColdStartIsDetectedByLatency) {
  FleetOptions options;
  options.ServiceTime = milliseconds(8);
  const auto fleet = makeWarmFleet(options);
  fleet->load("paying", capacity(options) * 0.8, fleet->Now + seconds(3));
  fleet->run(seconds(1));
  fleet->makeColdUnreported(0);
  fleet->run(milliseconds(250));
  fleet->Upstreams[0].PeakRequestsWhileCold = 0;
  fleet->run(milliseconds(650));
  EXPECT_GT(fleet->count(DispatchEvent::LatencyJumps), 0u);
  EXPECT_LE(fleet->Upstreams[0].PeakRequestsWhileCold, options.ColdSlots);
}

TEST(Dispatch, RestartedUpstreamIsTreatedAsCold) {
  const auto fleet = makeWarmFleet();
  fleet->load("paying", 3000, fleet->Now + seconds(2));
  fleet->run(milliseconds(500));
  fleet->Upstreams[0].IsDown = true;
  fleet->run(milliseconds(300));
  fleet->Upstreams[0].IsDown = false;
  fleet->makeColdUnreported(0);
  fleet->run(milliseconds(900));
  EXPECT_LE(fleet->Upstreams[0].PeakRequestsWhileCold, 1);
  fleet->run(seconds(4));
  EXPECT_EQ(fleet->Results["paying"].success(), 1.0);
  EXPECT_GT(fleet->Upstreams[0].PeakRequests, 1);
}

TEST(Dispatch, FreeTierSurgeDoesNotSlowPayingTier) {
  const auto fleet = makeWarmFleet();
  const double rate = capacity(fleet->Options) * 0.4;
  fleet->load("paying", rate, fleet->Now + seconds(2));
  fleet->run(seconds(4));
  const Duration alone = fleet->Results["paying"].quantile(0.99);
  fleet->Results.clear();
  fleet->load("paying", rate, fleet->Now + seconds(2));
  fleet->load("free", capacity(fleet->Options) * 10, fleet->Now + seconds(2));
  fleet->run(seconds(5));
  FleetResult &paying = fleet->Results["paying"];
  EXPECT_GE(paying.success(), 0.999);
  EXPECT_LE(paying.quantile(0.99), alone * 3 / 2);
  // Slots that the paying tier leaves idle go to the free tier.
  EXPECT_GT(fleet->Results["free"].success(), 0.03);
  EXPECT_EQ(fleet->Open, 0);
}

TEST(Dispatch, SlowUpstreamsAreHedgedWithinBudget) {
  const auto fleet = makeWarmFleet();
  const double rate = capacity(fleet->Options) * 0.5;
  fleet->load("paying", rate, fleet->Now + seconds(4));
  fleet->run(seconds(6));
  const Duration undisturbed = fleet->Results["paying"].quantile(0.99);
  fleet->Results.clear();
  const std::uint64_t hedgesBefore = fleet->count(DispatchEvent::Hedged);
  fleet->load("paying", rate, fleet->Now + seconds(4));
  for (const int moment : {500, 1500, 2500})
    for (const int n : {0, 3})
      fleet->after(milliseconds(moment), [&fleet, n] {
        fleet->Upstreams[n].SlowFactor = 10;
        fleet->after(milliseconds(300),
                     [&fleet, n] { fleet->Upstreams[n].SlowFactor = 1; });
      });
  fleet->run(seconds(6));
  FleetResult &paying = fleet->Results["paying"];
  EXPECT_EQ(paying.success(), 1.0);
  EXPECT_LE(paying.quantile(0.99), undisturbed * 2);
  const double hedges =
      static_cast<double>(fleet->count(DispatchEvent::Hedged) - hedgesBefore);
  EXPECT_GT(hedges, 0);
  EXPECT_LE(hedges, 0.05 * paying.Sent + 10 * fleet->Options.Routers);
}

TEST(Dispatch, NonIdempotentRequestsAreNotHedged) {
  const auto fleet = makeWarmFleet();
  const std::uint64_t before = fleet->count(DispatchEvent::Hedged);
  fleet->load("paying", 2000, fleet->Now + seconds(1), false);
  for (FleetUpstream &it : fleet->Upstreams)
    it.SlowFactor = 5;
  fleet->run(seconds(4));
  EXPECT_EQ(fleet->count(DispatchEvent::Hedged), before);
}

TEST(Dispatch, FailureDomainIsTakenOutAndReturnsCold) {
  const auto fleet = makeWarmFleet();
  fleet->load("paying", capacity(fleet->Options) * 0.4,
              fleet->Now + seconds(9));
  fleet->run(seconds(1));
  fleet->TakenOut = 1;
  fleet->configure();
  // Requests already sent to an upstream arrive within one network delay.
  fleet->run(milliseconds(2));
  const int before = fleet->Upstreams[1].Arrivals;
  fleet->run(seconds(3));
  EXPECT_EQ(fleet->Upstreams[1].Arrivals, before);
  fleet->TakenOut = -1;
  fleet->makeColdUnreported(1);
  fleet->configure();
  fleet->run(milliseconds(900));
  EXPECT_GT(fleet->Upstreams[1].Arrivals, before);
  EXPECT_LE(fleet->Upstreams[1].PeakRequestsWhileCold, 1);
  fleet->run(seconds(8));
  EXPECT_EQ(fleet->Results["paying"].success(), 1.0);
  for (const FleetUpstream &it : fleet->Upstreams)
    EXPECT_LE(it.PeakRequests, fleet->Options.Slots);
}

TEST(Dispatch, OwnerInTakenOutDomainGetsNoRequestsAfterGrace) {
  FleetOptions options;
  options.IsKeyed = true;
  const auto fleet = makeWarmFleet(options);
  fleet->load("paying", 1000, fleet->Now + seconds(4));
  fleet->TakenOut = 1;
  fleet->configure();
  const int before = fleet->Upstreams[1].Arrivals;
  fleet->run(milliseconds(1010));
  const int after = fleet->Upstreams[1].Arrivals;
  EXPECT_GT(after, before); // Served until the keys have moved.
  fleet->run(seconds(2));
  EXPECT_EQ(fleet->Upstreams[1].Arrivals, after);
}

TEST(Dispatch, LostRouterFailsNoRequestsOfOtherRouters) {
  for (const bool isKeyed : {false, true}) {
    FleetOptions options;
    options.IsKeyed = isKeyed;
    // Requests for keys whose home (the router that alone may use the owner's
    // slots) is lost wait until its lease expires.
    options.QueueLimit = 256;
    const auto fleet = makeWarmFleet(options);
    fleet->load("paying", capacity(options) * 0.3, fleet->Now + seconds(4));
    fleet->run(seconds(1));
    fleet->Paused.insert(2);
    fleet->run(seconds(6));
    FleetResult &paying = fleet->Results["paying"];
    // Requests that callers sent to the lost router are lost with it.
    EXPECT_GE(paying.success(), 0.998);
    for (const FleetUpstream &it : fleet->Upstreams)
      EXPECT_LE(it.PeakRequests, options.Slots);
    EXPECT_FALSE(fleet->IsTwiceForwarded);
  }
}

TEST(Dispatch, WithoutLeaderWarmUpstreamsKeepOneSlot) {
  const auto fleet = makeWarmFleet();
  fleet->setLeading(false);
  fleet->run(seconds(2));
  for (FleetUpstream &it : fleet->Upstreams)
    it.PeakRequests = 0;
  fleet->load("paying", 200, fleet->Now + seconds(20));
  fleet->run(seconds(22));
  EXPECT_EQ(fleet->Results["paying"].success(), 1.0);
  for (const FleetUpstream &it : fleet->Upstreams)
    EXPECT_LE(it.PeakRequests, 1);
}

TEST(Dispatch, WithoutLeaderColdUpstreamsGetNoRequests) {
  DispatchFleet fleet({});
  fleet.run(seconds(1));
  fleet.setLeading(false);
  fleet.run(seconds(2));
  fleet.load("paying", 200, fleet.Now + seconds(2));
  fleet.run(seconds(5));
  for (const FleetUpstream &it : fleet.Upstreams)
    EXPECT_EQ(it.Arrivals, 0);
  EXPECT_EQ(fleet.Results["paying"].success(), 0.0);
  for (const auto &[why, count] : fleet.Results["paying"].Refusals)
    EXPECT_EQ(reasonInfo(why).ExecutionVerdict, Verdict::NotRun);
}

TEST(TierQueue, ServesTiersByWeightAndReusesIdleShare) {
  TierQueue queue;
  const TierConfig heavy{8, 1000};
  const TierConfig light{1, 1000};
  for (std::uint64_t n = 0; n < 900; ++n) {
    queue.push(TierId("free"), light, RequestId(n), Time());
    queue.push(TierId("paying"), heavy, RequestId(1000 + n), Time());
  }
  int paying = 0;
  for (int n = 0; n < 900; ++n) {
    const RequestId next = *queue.peek(false, Time());
    const TierId tier(next.Value >= 1000 ? "paying" : "free");
    paying += next.Value >= 1000 ? 1 : 0;
    queue.recordServed(tier);
    queue.erase(tier, next);
  }
  EXPECT_NEAR(paying, 800, 2);
  while (!queue.isEmpty()) {
    const RequestId next = *queue.peek(false, Time());
    queue.erase(TierId(next.Value >= 1000 ? "paying" : "free"), next);
  }
  EXPECT_TRUE(queue.push(TierId("free"), light, RequestId(1), Time()));
  EXPECT_EQ(queue.peek(true, Time() + seconds(1)), RequestId(1));
}

RC_GTEST_PROP(HomeMessages, RoundTripPreservesMessages,
              (std::uint64_t number, const std::string &name, bool flag)) {
  const auto text = std::to_string(number);
  const HomeLeaseRequest request{
      ServiceId("t/" + text),
      VmId(text),
      Incarnation(number),
      DomainId("d"),
      {"127.0.0.1", 80},
      number / 2,
      {{UpstreamId(text), flag, !flag}, {PartitionId(7), !flag}},
      flag};
  const HomeLeaseResponse response{
      ServiceId("t/s"),
      VmId(text),
      Incarnation(number),
      number,
      milliseconds(600),
      {{UpstreamId(text), flag, !flag, flag}, {PartitionId(9)}}};
  const HomesUpdate update{ServiceId("t/s"),
                           {Revision(number), number},
                           {{UpstreamId(text), VmId(text), {"::1", 9}}}};
  for (const LinkMessage &message :
       {LinkMessage(request), LinkMessage(response), LinkMessage(update)}) {
    const auto decoded = decodeLinkMessage(encodeLinkMessage(message));
    RC_ASSERT(decoded.ok());
    RC_ASSERT(decoded->index() == message.index());
    if (const auto *it = std::get_if<HomeLeaseRequest>(&*decoded))
      RC_ASSERT(*it == request);
    if (const auto *it = std::get_if<HomeLeaseResponse>(&*decoded))
      RC_ASSERT(*it == response);
    if (const auto *it = std::get_if<HomesUpdate>(&*decoded))
      RC_ASSERT(*it == update);
  }
  decodeLinkMessage(name).status().IgnoreError();
}

RC_GTEST_PROP(Dispatch, EachRequestFinishesWithinSlotLimits, ()) {
  FleetOptions options;
  options.Routers = *rc::gen::inRange(1, 5);
  options.Upstreams = *rc::gen::inRange(1, 6);
  options.Slots = *rc::gen::inRange(1, 5);
  options.Domains = *rc::gen::inRange(1, 4);
  options.IsKeyed = *rc::gen::arbitrary<bool>();
  options.Timeout = milliseconds(*rc::gen::inRange(20, 1000));
  options.Seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
  DispatchFleet fleet(options);
  fleet.load("paying", *rc::gen::inRange(10, 2000), fleet.Now + seconds(3));
  fleet.load("free", *rc::gen::inRange(10, 5000), fleet.Now + seconds(3),
             false);
  const auto faults = *rc::gen::inRange(0, 12);
  for (int n = 0; n < faults; ++n) {
    fleet.run(milliseconds(*rc::gen::inRange(1, 400)));
    const int upstream = *rc::gen::inRange(0, options.Upstreams);
    FleetUpstream &it = fleet.Upstreams[upstream];
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
      it.IsDown = !it.IsDown;
      break;
    case 1:
      it.SlowFactor = it.SlowFactor == 1 ? 10 : 1;
      break;
    case 2:
      fleet.TakenOut = *rc::gen::inRange(-1, options.Domains);
      fleet.configure();
      break;
    case 3:
      fleet.setLeading(*rc::gen::arbitrary<bool>());
      break;
    default:
      fleet.makeColdUnreported(upstream);
      break;
    }
    for (int k = 0; k < options.Upstreams; ++k)
      RC_ASSERT(fleet.requestsAt(k) <= options.Slots);
  }
  fleet.run(seconds(8));
  RC_ASSERT(fleet.Open == 0);
  RC_ASSERT(!fleet.IsTwiceForwarded);
  for (const FleetUpstream &it : fleet.Upstreams)
    RC_ASSERT(it.PeakRequests <= options.Slots);
}

} // namespace
} // namespace waxwing
