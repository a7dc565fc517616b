/**
 * @file routing_test.cpp
 * Route lookup, choice of upstreams, admission, and limits that hold for the
 * sum over all VMs.
 */
#include "routing/admission.h"
#include "routing/cold_share.h"
#include "routing/request_order.h"
#include "routing/route_table.h"
#include "routing/service_retry_budget.h"
#include "routing/upstream_table.h"

#include <gtest/gtest.h>

namespace waxwing {
namespace {

constexpr Time Start{seconds(100)};

Route createRoute(const std::string &host, const std::string &prefix) {
  Route result;
  result.Name = host + prefix;
  result.Host = host;
  result.Prefix = prefix;
  result.WeightedServices = {{ServiceId("s"), 1}};
  return result;
}

UpstreamEntry createEntry(const std::string &id,
                          const std::string &domain = "a") {
  UpstreamEntry result;
  result.Id = UpstreamId(id);
  result.Service = ServiceId("s");
  result.Address = {"10.0.0." + id.substr(1), 80};
  result.Domain = DomainId(domain);
  result.StartedAtMs = 1;
  result.Slots = 4;
  return result;
}

/// Provides an upstream table and the inputs of the choice of an upstream.
class ChoiceTest : public testing::Test {
protected:
  ChoiceTest() {
    Context.OwnDomain = DomainId("a");
    Context.Self = VmId("vm1");
    Context.Vms = {VmId("vm1"), VmId("vm2")};
    Rules[ServiceId("s")] = {};
    Request.Service = ServiceId("s");
  }

  UpstreamId choose(std::uint64_t draw = 0) {
    const UpstreamChoice choice =
        Table.choose(Request, Context, Rules, Now, draw);
    return choice.Chosen == nullptr ? UpstreamId() : choice.Chosen->Entry.Id;
  }
  Upstream &add(const std::string &id, const std::string &domain = "a") {
    return Table.apply(createEntry(id, domain), 1, Now);
  }

  UpstreamTable Table;
  UpstreamChoiceContext Context;
  UpstreamChoiceRequest Request;
  std::map<ServiceId, ServiceRules> Rules;
  Time Now = Start;
};

TEST(RouteTable, LongestPrefixOfTheHostWins) {
  TrafficConfig config;
  config.Routes = {createRoute("h", "/a/"), createRoute("h", "/a/b/"),
                   createRoute("g", "/a/")};
  const RouteTable table(config);
  EXPECT_EQ(table.find("h", "/a/b/c")->Name, "h/a/b/");
  EXPECT_EQ(table.find("H:8080", "/a/x?q=/a/b/")->Name, "h/a/");
  EXPECT_EQ(table.find("g", "/a/b/")->Name, "g/a/");
  EXPECT_EQ(table.find("h", "/b/"), nullptr);
  EXPECT_EQ(table.find("other", "/a/"), nullptr);
}

TEST(RouteTable, ServicesAreChosenByWeight) {
  Route split = createRoute("h", "/");
  split.WeightedServices = {{ServiceId("x"), 90}, {ServiceId("y"), 10}};
  EXPECT_EQ(chooseService(split, 0.0).Service, ServiceId("x"));
  EXPECT_EQ(chooseService(split, 0.89).Service, ServiceId("x"));
  EXPECT_EQ(chooseService(split, 0.91).Service, ServiceId("y"));
  EXPECT_EQ(chooseService(split, 0.9999).Service, ServiceId("y"));
}

TEST_F(ChoiceTest, SlowUpstreamIsNotChosenWhileOthersAreFree) {
  add("u1").Load.onLoadReport({0, 0, 4, 100}, Now);
  add("u2").Load.onLoadReport({0, 0, 4, 300}, Now);
  for (std::uint64_t draw = 0; draw < 8; ++draw)
    EXPECT_EQ(choose(draw), UpstreamId("u1"));
}

TEST_F(ChoiceTest, SlownessEstimateRecoversFromAShortDisturbance) {
  Upstream &disturbed = add("u1");
  disturbed.Load.onLoadReport({0, 0, 4, 100}, Now);
  disturbed.Load.onLoadReport({0, 0, 4, 300}, Now);
  EXPECT_GT(disturbed.Load.slowness(Now), 2.5);
  EXPECT_LT(disturbed.Load.slowness(Now + seconds(2)), 1.5);
}

TEST_F(ChoiceTest, FullUpstreamIsUsableButNotChosen) {
  add("u1").Load.onLoadReport({4, 8, 4, 100}, Now);
  const UpstreamChoice choice = Table.choose(Request, Context, Rules, Now, 0);
  EXPECT_EQ(choice.Chosen, nullptr);
  EXPECT_TRUE(choice.IsAnyUsable);
}

TEST_F(ChoiceTest, UpstreamIsRetriedAfterBackoff) {
  Upstream &broken = add("u1");
  Table.countSentRequest(broken, Now);
  broken.Load.onAttemptEnd(AttemptOutcome::ConnectionBroken, milliseconds(5),
                           Now);
  EXPECT_EQ(choose(), UpstreamId());
  Now += seconds(1);
  EXPECT_EQ(choose(), UpstreamId("u1"));
}

/// Guards against a VM that avoids sound upstreams for seconds after its own
/// links were cut.
TEST_F(ChoiceTest, FailuresOfOwnLinksDoNotCountAgainstUpstreams) {
  Upstream &upstream = add("u1");
  const double soundCost = upstream.Load.cost(4, Now);
  const auto fail = [&](AttemptOutcome end, Duration latency) {
    Table.countSentRequest(upstream, Now);
    Table.onAttemptEnd(upstream.Entry.Id, end, latency, Now);
  };
  for (int n = 0; n < 5; ++n) {
    fail(AttemptOutcome::NotConnected, milliseconds(400));
    Now += milliseconds(300);
  }
  EXPECT_FALSE(upstream.Load.isOutOfBackoff(Now));
  Table.setLinksWorking(false, Now);
  EXPECT_TRUE(upstream.Load.isOutOfBackoff(Now));
  for (int n = 0; n < 5; ++n) {
    fail(AttemptOutcome::ConnectionBroken, milliseconds(400));
    Now += milliseconds(800);
  }
  Table.setLinksWorking(true, Now);
  // Sent while the links were lost.
  Now += milliseconds(100);
  fail(AttemptOutcome::ConnectionBroken, milliseconds(400));
  EXPECT_TRUE(upstream.Load.isOutOfBackoff(Now));
  EXPECT_EQ(upstream.Load.cost(4, Now), soundCost);
  fail(AttemptOutcome::NotConnected, milliseconds(1));
  EXPECT_FALSE(upstream.Load.isOutOfBackoff(Now));
}

/// Guards against forgetting that an upstream failed by itself before the links
/// were cut.
TEST_F(ChoiceTest, OwnFailuresOfUpstreamsOutlastALossOfLinks) {
  Upstream &upstream = add("u1");
  const double soundCost = upstream.Load.cost(4, Now);
  const auto end = [&](AttemptOutcome outcome) {
    Table.countSentRequest(upstream, Now);
    Table.onAttemptEnd(upstream.Entry.Id, outcome, milliseconds(1), Now);
  };
  end(AttemptOutcome::NotConnected);
  Now += LinkLossLookback + seconds(1);
  end(AttemptOutcome::Failed);
  const double failingCost = upstream.Load.cost(4, Now);
  EXPECT_GT(failingCost, soundCost);
  end(AttemptOutcome::NotConnected);
  EXPECT_GT(upstream.Load.cost(4, Now), failingCost);
  Table.setLinksWorking(false, Now);
  Table.setLinksWorking(true, Now);
  EXPECT_EQ(upstream.Load.cost(4, Now), failingCost);
}

TEST_F(ChoiceTest, FailingUpstreamIsNotChosenWhileOthersAreFree) {
  Upstream &failing = add("u1");
  add("u2");
  for (int n = 0; n < 6; ++n) {
    Table.countSentRequest(failing, Now);
    failing.Load.onAttemptEnd(AttemptOutcome::Failed, milliseconds(1), Now);
  }
  EXPECT_EQ(choose(0), UpstreamId("u2"));
  EXPECT_EQ(choose(1), UpstreamId("u2"));
}

TEST_F(ChoiceTest, LargeResponsesComeFromTheOwnDomain) {
  add("u1", "b");
  add("u2", "a");
  Request.PrefersOwnDomain = true;
  EXPECT_EQ(choose(0), UpstreamId("u2"));
  EXPECT_EQ(choose(1), UpstreamId("u2"));
}

TEST_F(ChoiceTest, OpenConnectionsAreReused) {
  add("u1");
  Upstream &connected = add("u2");
  Request.HasConnection = [&](const Endpoint &address) {
    return address == connected.Entry.Address;
  };
  EXPECT_EQ(choose(0), UpstreamId("u2"));
  EXPECT_EQ(choose(1), UpstreamId("u2"));
}

TEST_F(ChoiceTest, EvacuatedDrainingAndUnlistedUpstreamsAreNotUsable) {
  add("u1", "b");
  UpstreamEntry draining = createEntry("u2");
  draining.IsDraining = true;
  Table.apply(draining, 1, Now);
  add("u3");
  Table.markUnlisted(UpstreamId("u3"), Now);
  Table.setEvacuatedDomains({DomainId("b")});
  const UpstreamChoice choice = Table.choose(Request, Context, Rules, Now, 0);
  EXPECT_EQ(choice.Chosen, nullptr);
  EXPECT_FALSE(choice.IsAnyUsable);
}

/// Pattern: an upstream ended and its address was given to an upstream of
/// another service, while the entry of the first is still listed.
TEST_F(ChoiceTest, UpstreamWhoseAddressIsUsedByAnotherIsNotChosenAgain) {
  add("u1");
  EXPECT_TRUE(Table.markMisaddressed(UpstreamId("u1"), 1));
  EXPECT_FALSE(Table.markMisaddressed(UpstreamId("u1"), 1));
  for (std::uint64_t draw = 0; draw < 8; ++draw)
    EXPECT_EQ(choose(draw), UpstreamId());
  add("u2");
  for (std::uint64_t draw = 0; draw < 8; ++draw)
    EXPECT_EQ(choose(draw), UpstreamId("u2"));
}

TEST_F(ChoiceTest, ChangedEntryMakesAMisaddressedUpstreamUsable) {
  add("u1");
  Table.markMisaddressed(UpstreamId("u1"), 1);
  UpstreamEntry changed = createEntry("u1");
  changed.StartedAtMs = 5;
  Table.apply(changed, 2, Now);
  EXPECT_EQ(choose(), UpstreamId("u1"));
  // A rejection of the earlier process says nothing about this one.
  EXPECT_FALSE(Table.markMisaddressed(UpstreamId("u1"), 1));
  EXPECT_EQ(choose(), UpstreamId("u1"));
}

/// Pattern: owners of keys are lost together with their failure domain, and
/// their grants have to expire before the keys can move.
TEST_F(ChoiceTest, KeysOfAnOwnerThatIsGoneForLongAreNotWaitedFor) {
  add("u1");
  EXPECT_TRUE(Table.mayMoveSoon(UpstreamId("u1"), Now));
  Table.markUnlisted(UpstreamId("u1"), Now);
  EXPECT_TRUE(Table.mayMoveSoon(UpstreamId("u1"), Now + milliseconds(500)));
  EXPECT_FALSE(Table.mayMoveSoon(UpstreamId("u1"), Now + seconds(2)));
  EXPECT_FALSE(Table.mayMoveSoon(UpstreamId("never listed"), Now));
}

TEST_F(ChoiceTest, SuccessorAtAnAddressIsFound) {
  const Endpoint address = add("u1").Entry.Address;
  EXPECT_EQ(Table.findOtherAt(address, UpstreamId("u1")), nullptr);
  UpstreamEntry successor = createEntry("u2");
  successor.Service = ServiceId("t");
  successor.Address = address;
  Table.apply(successor, 2, Now);
  ASSERT_NE(Table.findOtherAt(address, UpstreamId("u1")), nullptr);
  EXPECT_EQ(Table.findOtherAt(address, UpstreamId("u1"))->Entry.Id,
            UpstreamId("u2"));
  Table.markUnlisted(UpstreamId("u2"), Now);
  EXPECT_EQ(Table.findOtherAt(address, UpstreamId("u1")), nullptr);
}

/// Pattern: urgent lookups behind uploads of the same service under overload.
TEST(QueuePosition, UrgentLookupsDoNotWaitBehindUploads) {
  const QueuePosition upload{1, Start + milliseconds(300)};
  const QueuePosition lookup{1, Start + milliseconds(50) + milliseconds(100)};
  EXPECT_LT(lookup, upload);
  // An upload that has waited long enough is not overtaken any more.
  const QueuePosition laterLookup{1, Start + milliseconds(250) +
                                         milliseconds(100)};
  EXPECT_LT(upload, laterLookup);
  // A higher priority goes first in any case.
  EXPECT_LT((QueuePosition{0, Start + seconds(9)}), lookup);
}

TEST_F(ChoiceTest, RestartedUpstreamStartsWithFreshEstimates) {
  Upstream &upstream = add("u1");
  upstream.Load.onLoadReport({4, 16, 4, 900}, Now);
  UpstreamEntry restarted = createEntry("u1");
  restarted.StartedAtMs = 2;
  Table.apply(restarted, 2, Now);
  EXPECT_EQ(choose(), UpstreamId("u1"));
  EXPECT_DOUBLE_EQ(upstream.Load.slowness(Now), 1);
}

TEST_F(ChoiceTest, RequestsOfAllVmsToAColdUpstreamAreLimited) {
  constexpr double perSecond = 5;
  Rules[ServiceId("s")].WarmUpRequestsPerS = perSecond;
  std::vector<VmId> vms;
  vms.reserve(77);
  for (int n = 0; n < 77; ++n)
    vms.emplace_back("vm" + std::to_string(n));
  int sent = 0;
  for (const VmId &vm : vms) {
    UpstreamTable table;
    UpstreamEntry cold = createEntry("u1");
    cold.WarmUpLeft = seconds(3);
    table.apply(cold, 1, Now);
    Context.Self = vm;
    Context.Vms = vms;
    for (int n = 0; n < 5; ++n) {
      const UpstreamChoice choice =
          table.choose(Request, Context, Rules, Now, 0);
      if (choice.Chosen == nullptr)
        continue;
      table.countSentRequest(*choice.Chosen, Now);
      ++sent;
    }
  }
  EXPECT_GT(sent, 0);
  EXPECT_LE(sent, perSecond * Context.Cold.MaxRateFactor + Context.Cold.Burst);
}

TEST(ColdShare, SumOfAllVmsStaysWithinTheLimit) {
  for (const int count : {1, 3, 8, 77, 730}) {
    std::vector<VmId> vms;
    vms.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n)
      vms.emplace_back("vm" + std::to_string(n));
    for (int u = 0; u < 20; ++u) {
      const UpstreamId upstream("u" + std::to_string(u));
      int sum = 0;
      for (const VmId &vm : vms)
        sum += coldRequestsPerSecond(upstream, 5.7, {}, vm, vms);
      EXPECT_GT(sum, 0);
      EXPECT_LE(sum, 5.7 * 1.5 + 5);
    }
  }
}

TEST(ServiceRetryBudget, RepeatedAttemptsOfAllVmsStayWithinTheBudget) {
  constexpr int vmCount = 8;
  const RetryBudgetLimits limits;
  int repeats = 0;
  for (int vm = 0; vm < vmCount; ++vm) {
    ServiceRetryBudget budget(limits);
    for (int n = 0; n < 100; ++n) {
      budget.addRequest(Start);
      repeats += budget.tryConsume(Start, vmCount) ? 1 : 0;
    }
  }
  EXPECT_LE(repeats, limits.Ratio * 100 * vmCount + limits.Burst);
  EXPECT_GT(repeats, 0.5 * limits.Ratio * 100 * vmCount);
}

TEST(ServiceRetryBudget, RejectedArrivalsOfOtherServicesDrawOnTheBudget) {
  ServiceRetryBudget budget({});
  int permitted = 0;
  for (ServiceRetryBudget other({}); other.tryConsume(Start, 1);)
    ++permitted;
  for (int n = 0; n < permitted; ++n)
    budget.addRepeatedAttempt(Start);
  EXPECT_FALSE(budget.tryConsume(Start, 1));
}

TEST(ServiceRetryBudget, BudgetIsReplenishedOverTime) {
  ServiceRetryBudget budget({});
  while (budget.tryConsume(Start, 1)) {
  }
  EXPECT_FALSE(budget.tryConsume(Start + seconds(5), 1));
  EXPECT_TRUE(budget.tryConsume(Start + seconds(11), 1));
}

AdmissionInput createInput() {
  AdmissionInput result;
  result.TimeLeft = seconds(1);
  result.TargetLatency = milliseconds(600);
  result.TypicalProcessingTime = milliseconds(200);
  result.AvailableSlots = 4;
  return result;
}

TEST(AdmissionDecision, RequestIsQueuedBehindAShortQueue) {
  EXPECT_TRUE(decideAdmission(createInput(), 0.5).ShouldQueue);
}

TEST(AdmissionDecision, RequestIsRefusedWhenTheQueueExceedsTheTimeLeft) {
  AdmissionInput busy = createInput();
  busy.QueuedAhead = 40;
  const AdmissionDecision decision = decideAdmission(busy, 0.5);
  EXPECT_FALSE(decision.ShouldQueue);
  EXPECT_GT(decision.RetryAfter, Duration());
  EXPECT_LE(decision.RetryAfter, busy.TimeLeft / 3);
}

TEST(AdmissionDecision, UnservableRequestIsRefused) {
  AdmissionInput unservable = createInput();
  unservable.CanBeServedLater = false;
  EXPECT_FALSE(decideAdmission(unservable, 0.5).ShouldQueue);
  AdmissionInput late = createInput();
  late.TimeLeft = milliseconds(150);
  EXPECT_FALSE(decideAdmission(late, 0.5).ShouldQueue);
}

TEST(AdmissionDecision, QueueingTimeIsLimitedToHalfTheTargetLatency) {
  AdmissionInput patient = createInput();
  patient.TimeLeft = seconds(4);
  patient.Waited = milliseconds(290);
  EXPECT_TRUE(decideAdmission(patient, 0.5).ShouldQueue);
  patient.Waited = milliseconds(310);
  EXPECT_FALSE(decideAdmission(patient, 0.5).ShouldQueue);
}

TEST(AdmissionDecision, RetryDelaysAreSpread) {
  AdmissionInput busy = createInput();
  busy.QueuedAhead = 40;
  busy.AvailableSlots = 40;
  busy.CanBeServedLater = false;
  EXPECT_LT(decideAdmission(busy, 0.0).RetryAfter,
            decideAdmission(busy, 0.9).RetryAfter);
}

} // namespace
} // namespace waxwing
