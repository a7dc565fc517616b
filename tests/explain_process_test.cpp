/**
 * @file explain_process_test.cpp
 * Tests that explainRequest() shows from the logs of all nodes why a request
 * failed: refused, possibly executed, and timed out.
 */
#include "ctl/explain.h"

#include "node_fixture.h"

#include <gmock/gmock.h>
#include <sstream>

namespace waxwing {
namespace {

using testing::HasSubstr;
using testing::Not;

class ExplainTest : public NodeProcessTest {
protected:
  /// Waits until the report of explainRequest() on request @p id, made from the
  /// logs of all nodes, contains @p event.
  /// @return the report
  std::string waitForReport(const std::string &id, const std::string &event) {
    std::string text;
    waitFor([&] {
      std::vector<LogLine> lines;
      for (int n = 0; n < NodeCount; ++n) {
        std::ifstream in(Folder + "/node" + std::to_string(n) + ".log");
        readLog(in, lines);
      }
      text = explainRequest(id, std::move(lines));
      return text.find("event=" + event) != std::string::npos;
    });
    return text;
  }
};

TEST_F(ExplainTest, ShowsThatNoUpstreamWasLeftForTheKey) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  runOnPlatform([&] {
    for (int n = 0; n < 3; ++n)
      Store->put("servers/i-" + std::to_string(n), Upstreams[n]->entry(true));
  });
  std::this_thread::sleep_for(seconds(1));
  EXPECT_EQ(sendRequest(callerPort(0), "GET", "/keys/x", "refused1", "7"), 503);
  const std::string text = waitForReport("refused1", "refused");
  EXPECT_THAT(text, HasSubstr("it has not run"));
  EXPECT_THAT(text, HasSubstr("reason=no_upstream"));
}

TEST_F(ExplainTest, ShowsThatUpstreamResetTheConnection) {
  ASSERT_TRUE(waitFor([&] { return sendPlainRequest(0) == 200; }));
  runOnPlatform([&] {
    for (const auto &upstream : Upstreams)
      upstream->setResetting(true);
  });
  EXPECT_EQ(sendRequest(callerPort(0), "POST", "/book/x", "died1", ""), 502);
  const std::string text = waitForReport("died1", "refused");
  EXPECT_THAT(text, HasSubstr("it may have run"));
  EXPECT_THAT(text, HasSubstr("cause=connection_lost"));
  EXPECT_THAT(text, HasSubstr("event=upstream "));
}

TEST_F(ExplainTest, ShowsThatSlowUpstreamExceededTheTimeout) {
  ASSERT_TRUE(waitFor([&] { return sendPlainRequest(0) == 200; }));
  runOnPlatform([&] {
    for (const auto &upstream : Upstreams)
      upstream->setServiceTime(seconds(10));
  });
  EXPECT_EQ(sendRequest(callerPort(0), "POST", "/book/x", "late1", ""), 504);
  const std::string text = waitForReport("late1", "refused");
  EXPECT_THAT(text, HasSubstr("reason=route_timeout"));
  EXPECT_THAT(text, HasSubstr("it may have run"));
}

TEST(Explain, LinesWithoutTimeOrVmAreIgnored) {
  std::istringstream in(
      "12.5 vm1 time=2026-01-01T00:00:01.000 level=info vm=vm1 "
      "event=refused request=r1 status=503 reason=no_owner may_have_run=0\n"
      "event=refused request=r1\n"
      "noise\n");
  std::vector<LogLine> lines;
  readLog(in, lines);
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_THAT(explainRequest("r1", lines), HasSubstr("no_owner"));
  EXPECT_EQ(explainRequest("r2", lines), "");
}

TEST(Explain, StatesOfOtherUpstreamsAndLaterStatesAreOmitted) {
  std::istringstream in(
      "time=1 vm=vm1 event=upstream upstream=u1 service=s revision=3\n"
      "time=2 vm=vm1 event=upstream upstream=u1 service=s revision=4\n"
      "time=2 vm=vm1 event=upstream upstream=u2 service=s revision=5\n"
      "time=3 vm=vm1 event=sent request=r1 upstream=u1 service=s\n"
      "time=4 vm=vm1 event=upstream_gone upstream=u1 revision=6\n"
      "time=5 vm=vm1 event=answered request=r1 upstream=u1 status=200\n"
      "time=6 vm=vm1 event=upstream upstream=u1 service=s revision=7\n");
  std::vector<LogLine> lines;
  readLog(in, lines);
  const std::string text = explainRequest("r1", lines);
  EXPECT_THAT(text, Not(HasSubstr("revision=3")));
  EXPECT_THAT(text, HasSubstr("revision=4"));
  EXPECT_THAT(text, Not(HasSubstr("revision=5")));
  EXPECT_THAT(text, HasSubstr("upstream_gone"));
  EXPECT_THAT(text, Not(HasSubstr("revision=7")));
}

} // namespace
} // namespace waxwing
