/**
 * @file upstream_leaving_test.cpp
 * Upstreams that say in their responses that they leave, before the store does.
 */
#include "headers.h"
#include "peers/peer_message_type.h"
#include "routing/routing_state.h"

#include <gtest/gtest.h>

namespace waxwing {
namespace {

constexpr Time Start{seconds(100)};
constexpr Duration KeyServingTime = milliseconds(1700);
const ServiceId Service("s");

UpstreamEntry makeEntry(const std::string &id, std::int64_t startedAtMs = 1) {
  UpstreamEntry entry;
  entry.Id = UpstreamId(id);
  entry.Service = Service;
  entry.Address = {"10.0.0.1", static_cast<std::uint16_t>(80 + id.back())};
  entry.Domain = DomainId("a");
  entry.StartedAtMs = startedAtMs;
  entry.Sequence = 1;
  entry.Slots = 4;
  return entry;
}

/// Two upstreams, and the store's view of them.
class UpstreamLeavingTest : public testing::Test {
protected:
  UpstreamLeavingTest() {
    Context.OwnDomain = DomainId("a");
    Context.Vms = {VmId("vm1")};
    Rules[Service] = {};
    Table.leaving().setKeyServingTime(KeyServingTime);
    State.onUpstreamEntry(makeEntry("u1"), 1, ChangeOrigin::FirstLoad, Start);
    State.onUpstreamEntry(makeEntry("u2"), 2, ChangeOrigin::FirstLoad, Start);
  }

  /// @return the upstream chosen for a request, or "" if there is none
  std::string choose(Time now, const std::string &required = "") {
    UpstreamChoiceRequest request;
    request.Service = Service;
    if (!required.empty())
      request.RequiredUpstream = UpstreamId(required);
    const UpstreamChoice choice =
        Table.choose(request, Context, Rules, now, ++Draw);
    return choice.Chosen == nullptr ? "" : choice.Chosen->Entry.Id.Value;
  }
  bool note(const std::string &id, Time now, std::int64_t startedAtMs = 1) {
    return Table.leaving().note({UpstreamId(id), startedAtMs}, now);
  }

  UpstreamTable Table;
  RoutingState State{Table};
  UpstreamChoiceContext Context;
  std::map<ServiceId, ServiceRules> Rules;
  std::uint64_t Draw = 0;
};

// Guards against an announcement in a response that is not read.
TEST(ResponseMetadata, AnnouncementIsReadWithAnyStatus) {
  for (const int status : {200, 404, 421, 500, 503}) {
    EXPECT_TRUE(
        platform::readResponseMetadata(status, {{"server-leaving", "1"}})
            .IsLeaving);
    EXPECT_FALSE(
        platform::readResponseMetadata(status, {{"Server-Leaving", "0"}})
            .IsLeaving);
    EXPECT_FALSE(platform::readResponseMetadata(status, {}).IsLeaving);
  }
}

// Guards against requests to an upstream that another one could serve.
TEST_F(UpstreamLeavingTest, OtherUpstreamsGetItsRequestsAtOnce) {
  EXPECT_TRUE(note("u1", Start));
  EXPECT_FALSE(note("u1", Start));
  for (int n = 0; n < 20; ++n)
    EXPECT_EQ(choose(Start), "u2");
  EXPECT_FALSE(Table.isUsable(*Table.find(UpstreamId("u1"))));
}

// Guards against callers that are refused while the keys of a leaving owner are
// moved, and against requests after the drain bound.
TEST_F(UpstreamLeavingTest, OwnerServesItsKeysForALimitedTime) {
  note("u1", Start);
  EXPECT_EQ(choose(Start + KeyServingTime - milliseconds(1), "u1"), "u1");
  note("u1", Start + KeyServingTime - milliseconds(1));
  EXPECT_EQ(choose(Start + KeyServingTime, "u1"), "");
  EXPECT_EQ(choose(Start + seconds(60), "u1"), "");
}

// Guards against refusals while the last upstreams of a service still serve.
TEST_F(UpstreamLeavingTest, LastUpstreamsServeForALimitedTime) {
  note("u1", Start);
  note("u2", Start + milliseconds(500));
  EXPECT_NE(choose(Start + milliseconds(600)), "");
  EXPECT_EQ(choose(Start + KeyServingTime), "u2");
  EXPECT_EQ(choose(Start + milliseconds(500) + KeyServingTime), "");
}

// Guards against an owner that the store shows as draining and that gets
// requests for its keys longer than the store's own notice allows.
TEST_F(UpstreamLeavingTest, NoticeOfTheStoreEndsTheLastRequests) {
  note("u1", Start);
  UpstreamEntry entry = makeEntry("u1");
  entry.Sequence = 2;
  entry.IsDraining = true;
  State.onUpstreamEntry(entry, 3, ChangeOrigin::Written, Start);
  EXPECT_EQ(choose(Start, "u1"), "");
}

// Guards against an entry that was written before the process decided to leave,
// or that a restored store shows, and that brings it back into use.
TEST_F(UpstreamLeavingTest, EntriesOfTheProcessDoNotUndoIt) {
  note("u1", Start);
  for (const ChangeOrigin origin :
       {ChangeOrigin::Written, ChangeOrigin::Reload, ChangeOrigin::FirstLoad}) {
    UpstreamEntry entry = makeEntry("u1");
    entry.Sequence = 10;
    State.onUpstreamEntry(entry, 4, origin, Start);
    EXPECT_EQ(choose(Start + seconds(3), "u1"), "");
  }
  // Removed, forgotten, and listed again by a restored store.
  const StoreAvailability store{false, Start};
  State.onUpstreamLoss(UpstreamId("u1"), EntryLoss::Removed, 5,
                       ChangeOrigin::Written, store, Start + seconds(5));
  Table.removeUnlisted(Start + seconds(30));
  State.onUpstreamEntry(makeEntry("u1"), 6, ChangeOrigin::Reload,
                        Start + seconds(40));
  State.applyDue(store, Start + seconds(60));
  EXPECT_TRUE(Table.find(UpstreamId("u1"))->IsListed);
  EXPECT_EQ(choose(Start + seconds(60), "u1"), "");
}

// Guards against a restarted upstream that gets no requests.
TEST_F(UpstreamLeavingTest, NewProcessOfTheIdIsInService) {
  note("u1", Start, 1);
  State.onUpstreamEntry(makeEntry("u1", 2), 4, ChangeOrigin::Written, Start);
  EXPECT_EQ(choose(Start + seconds(5), "u1"), "u1");
  EXPECT_TRUE(Table.newestLeaving(9).empty());
  // A response of the former process arrives late.
  EXPECT_FALSE(note("u1", Start, 1));
  EXPECT_EQ(choose(Start + seconds(5), "u1"), "u1");
}

// Guards against a leader that does not learn which keys to move, and against
// hellos that grow with the number of upstreams that ever left.
TEST_F(UpstreamLeavingTest, ReportHasTheLastProcessesThatMayStillRun) {
  note("u1", Start);
  note("u2", Start + milliseconds(1));
  PeerHello hello;
  hello.Leaving = Table.newestLeaving(1);
  const auto message = decodePeerMessage(encodePeerMessage(hello));
  ASSERT_TRUE(message.ok());
  EXPECT_EQ(std::get<PeerHello>(*message).Leaving,
            (std::vector<UpstreamProcess>{{UpstreamId("u2"), 1}}));
  EXPECT_EQ(Table.newestLeaving(9).size(), 2U);
  Table.markUnlisted(UpstreamId("u2"), Start);
  EXPECT_EQ(Table.newestLeaving(9).size(), 1U);
  // A VM that does not know the upstream itself passes the report on.
  note("u7", Start + seconds(1));
  EXPECT_EQ(Table.newestLeaving(9).front().Id, UpstreamId("u7"));
  for (int n = 0; n < 10000; ++n)
    note("v" + std::to_string(n), Start + seconds(2));
  EXPECT_LE(Table.leaving().newest(100000).size(), 4096U);
}

// Guards against hellos that carry upstreams that left long ago, which every VM
// would pass on for ever.
TEST_F(UpstreamLeavingTest, RemovedUpstreamsAreNotReportedAnyMore) {
  note("u1", Start);
  Table.markUnlisted(UpstreamId("u1"), Start + seconds(1));
  Table.removeUnlisted(Start + seconds(20));
  EXPECT_TRUE(Table.newestLeaving(9).empty());
  EXPECT_FALSE(note("u1", Start + seconds(21)));
  EXPECT_TRUE(Table.newestLeaving(9).empty());
}

} // namespace
} // namespace waxwing
