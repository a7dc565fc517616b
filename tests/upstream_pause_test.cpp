/**
 * @file upstream_pause_test.cpp
 * Upstreams that refuse a request and ask for a pause.
 */
#include "headers.h"
#include "routing/admission.h"
#include "routing/upstream_table.h"

#include <gtest/gtest.h>

namespace waxwing {
namespace {

using DurationS = std::chrono::duration<double>;

constexpr Time Start{seconds(100)};
const ServiceId Service("s");

UpstreamEntry makeEntry(const std::string &id, std::int64_t startedAtMs = 1) {
  UpstreamEntry entry;
  entry.Id = UpstreamId(id);
  entry.Service = Service;
  entry.Address = {"10.0.0.1", static_cast<std::uint16_t>(80 + id.back())};
  entry.Domain = DomainId("a");
  entry.StartedAtMs = startedAtMs;
  entry.Slots = 4;
  return entry;
}

/// Two upstreams, u1 and u2.
class UpstreamPauseTest : public testing::Test {
protected:
  UpstreamPauseTest() {
    Context.OwnDomain = DomainId("a");
    Context.Vms = {VmId("vm1")};
    Rules[Service] = {};
    Table.apply(makeEntry("u1"), 1, Start);
    Table.apply(makeEntry("u2"), 2, Start);
  }

  UpstreamChoice choose(Time now, const std::string &required = "") {
    UpstreamChoiceRequest request;
    request.Service = Service;
    if (!required.empty())
      request.RequiredUpstream = UpstreamId(required);
    return Table.choose(request, Context, Rules, now, ++Draw);
  }
  std::optional<Time> pause(const std::string &id, double delayS, Time now,
                            std::int64_t startedAtMs = 1) {
    return Table.pause(UpstreamId(id), startedAtMs, DurationS(delayS), now);
  }

  UpstreamTable Table;
  UpstreamChoiceContext Context;
  std::map<ServiceId, ServiceRules> Rules;
  std::uint64_t Draw = 0;
};

// Guards against a pause that is not read, and against one taken from a date or
// from a value that is no delay.
TEST(ResponseMetadata, RetryAfterIsADelayInSeconds) {
  const auto read = [](const std::string &text) {
    return platform::readResponseMetadata(503, {{"retry-after", text}})
        .RetryAfterS;
  };
  EXPECT_EQ(read("2"), 2.0);
  EXPECT_EQ(read("0.25"), 0.25);
  EXPECT_EQ(read("1e300"), 1e300);
  for (const char *text : {"-1", "nan", "inf", "1e999", "", "x", "1 2",
                           "Wed, 21 Oct 2026 07:28:00 GMT"})
    EXPECT_EQ(read(text), std::nullopt) << text;
  EXPECT_EQ(platform::readResponseMetadata(503, {}).RetryAfterS, std::nullopt);
}

// Guards against requests before the end of the pause.
TEST_F(UpstreamPauseTest, OtherUpstreamsGetItsRequests) {
  EXPECT_EQ(pause("u1", 2, Start), Start + seconds(2));
  for (int n = 0; n < 20; ++n)
    EXPECT_EQ(choose(Start + milliseconds(1999)).Chosen->Entry.Id,
              UpstreamId("u2"));
  EXPECT_EQ(choose(Start + milliseconds(1999), "u1").Chosen, nullptr);
  EXPECT_NE(choose(Start + seconds(2), "u1").Chosen, nullptr);
}

// Guards against a pause that ends with the response to an earlier request, a
// shorter pause, or an update of the entry.
TEST_F(UpstreamPauseTest, NothingOfTheSameProcessEndsItEarlier) {
  Upstream &upstream = *Table.find(UpstreamId("u1"));
  upstream.Load.onRequestSent();
  pause("u1", 2, Start);
  upstream.Load.onAttemptEnd(AttemptOutcome::Served, milliseconds(100), Start);
  EXPECT_EQ(pause("u1", 0.5, Start), std::nullopt);
  Table.apply(makeEntry("u1"), 3, Start + seconds(1));
  EXPECT_EQ(choose(Start + milliseconds(1999), "u1").Chosen, nullptr);
  // Removed from the list and listed again.
  pause("u1", 60, Start);
  Table.markUnlisted(UpstreamId("u1"), Start + seconds(3));
  Table.removeUnlisted(Start + seconds(20));
  Table.apply(makeEntry("u1"), 4, Start + seconds(30));
  EXPECT_EQ(choose(Start + seconds(59), "u1").Chosen, nullptr);
  EXPECT_NE(choose(Start + seconds(60), "u1").Chosen, nullptr);
}

// Guards against a restarted upstream that gets no requests.
TEST_F(UpstreamPauseTest, NewProcessIsNotPaused) {
  pause("u1", 60, Start);
  Table.apply(makeEntry("u1", 2), 3, Start + seconds(1));
  EXPECT_NE(choose(Start + seconds(1), "u1").Chosen, nullptr);
  // A response of the former process arrives late.
  EXPECT_EQ(pause("u1", 60, Start + seconds(1), 1), std::nullopt);
  EXPECT_NE(choose(Start + seconds(1), "u1").Chosen, nullptr);
}

// Guards against an absurd value that takes an upstream out for good.
TEST_F(UpstreamPauseTest, LengthIsLimited) {
  EXPECT_EQ(pause("u1", 1e300, Start), Start + MaxUpstreamPause);
  EXPECT_EQ(pause("u2", 0, Start), std::nullopt);
  EXPECT_NE(choose(Start, "u2").Chosen, nullptr);
}

// Guards against requests that wait although no upstream will take them soon.
TEST_F(UpstreamPauseTest, ChoiceShowsTheFirstEndOfAllPauses) {
  pause("u1", 2, Start);
  EXPECT_EQ(choose(Start).PausedUntil, Time());
  pause("u2", 1, Start);
  const UpstreamChoice choice = choose(Start);
  EXPECT_EQ(choice.Chosen, nullptr);
  EXPECT_TRUE(choice.IsAnyUsable);
  EXPECT_EQ(choice.PausedUntil, Start + seconds(1));
  EXPECT_EQ(choose(Start, "u1").PausedUntil, Start + seconds(2));
  Table.leaving().note({UpstreamId("u2"), 1}, Start);
  EXPECT_EQ(choose(Start).PausedUntil, Start + seconds(2));
}

// Guards against requests for an owner's keys that wait in vain or are refused
// shortly before the end of the pause, and against callers that retry too
// early.
TEST(UpstreamPauseAdmission, WaitsForTheEndOnlyIfEnoughTimeRemains) {
  AdmissionInput input;
  input.TimeLeft = milliseconds(1500);
  input.TargetLatency = milliseconds(600);
  input.TypicalProcessingTime = milliseconds(100);
  input.AvailableSlots = 4;
  for (const double draw : {0.0, 0.5, 0.99}) {
    input.Pause = milliseconds(100);
    EXPECT_TRUE(decideAdmission(input, draw).ShouldQueue);
    input.Pause = milliseconds(900);
    const AdmissionDecision decision = decideAdmission(input, draw);
    EXPECT_FALSE(decision.ShouldQueue);
    EXPECT_GE(decision.RetryAfter, milliseconds(900));
    EXPECT_LE(decision.RetryAfter, milliseconds(1000));
  }
  input.Pause = milliseconds(200);
  input.TimeLeft = milliseconds(250);
  EXPECT_FALSE(decideAdmission(input, 0).ShouldQueue);
  input.TimeLeft = milliseconds(1500);
  input.Waited = milliseconds(150);
  EXPECT_FALSE(decideAdmission(input, 0).ShouldQueue);
}

} // namespace
} // namespace waxwing
