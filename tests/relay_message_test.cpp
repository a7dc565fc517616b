/**
 * @file relay_message_test.cpp
 * Fields of relayed requests and their results: round trips and malformed
 * input.
 */
#include "peers/relay_message.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwing {
namespace {

constexpr const char *RequestField = "Waxwing-Relay-Request";
constexpr const char *ResultField = "Waxwing-Relay-Result";

/// @return the single field of @p head
http::Fields parseField(const std::string &head) {
  const auto colon = head.find(": ");
  return {
      {head.substr(0, colon), head.substr(colon + 2, head.size() - colon - 4)}};
}

RelayRequest makeRequest() {
  return {7,
          ServiceId("bulk store"),
          RequestKind::Upload,
          2,
          milliseconds(500),
          milliseconds(900),
          milliseconds(1500)};
}

RelayResult makeResult() {
  return {7, Verdict::NotRun,  Reason::Overloaded,
          2, milliseconds(60), {UpstreamId("i-1"), 1700000000123}};
}

TEST(RelayMessage, RequestAndResultSurviveRoundTrip) {
  std::string head;
  appendRelayRequest(head, makeRequest());
  EXPECT_EQ(readRelayRequest(parseField(head)), makeRequest());
  head.clear();
  appendRelayResult(head, makeResult());
  EXPECT_EQ(readRelayResult(parseField(head)), makeResult());
}

// Guards against callers' repeated requests that count as different ones at the
// VM that sends them, and against callers that name another one.
TEST(RelayMessage, CallerIsPassedOnAndCannotBeForged) {
  RelayRequest request = makeRequest();
  request.Caller = "100.64.0.4";
  std::string head;
  appendRelayRequest(head, request);
  const auto second = head.find("\r\n") + 2;
  http::Fields fields = parseField(head.substr(0, second));
  fields.push_back(parseField(head.substr(second))[0]);
  EXPECT_EQ(readRelayRequest(fields), request);
  EXPECT_TRUE(isRelayField(fields[1].first));
  fields[1].second = std::string(1000, 'x');
  EXPECT_EQ(readRelayRequest(fields), makeRequest());
}

// Guards against a result without upstream being dropped as malformed, so that
// a request that has not run counts as one that may have run.
TEST(RelayMessage, ResultMayHaveNoUpstream) {
  RelayResult result = makeResult();
  result.Upstream = {};
  std::string head;
  appendRelayResult(head, result);
  EXPECT_EQ(readRelayResult(parseField(head)), result);
}

// Guards against a malformed field being taken for a promise or an order.
TEST(RelayMessage, MalformedFieldsAreRejected) {
  EXPECT_FALSE(readRelayRequest({}));
  for (const char *value :
       {"", " ", "1", "1 0 0 5 5 5", "1 0 0 5 5 5 ", "x 0 0 5 5 5 s",
        "1 4 0 5 5 5 s", "1 0 -1 5 5 5 s", "1 0 0 5 0 5 s", "1 0 0 5 6 5 s",
        "1 0 0 99999999999999 5 5 s", "1  0 0 5 5 5 s",
        "99999999999999999999 0 0 5 5 5 s"})
    EXPECT_FALSE(readRelayRequest({{RequestField, value}})) << value;
  EXPECT_FALSE(readRelayResult({}));
  for (const char *value :
       {"", "1 1 0", "1 3 0 1 0 i", "1 0 0 1 0 i", "1 2 0 1 0 i",
        "1 0 999 1 0 i", "x 1 0 1 0 i", "1 1 0 -1 0 i", "1 1 0 1 x i"})
    EXPECT_FALSE(readRelayResult({{ResultField, value}})) << value;
}

// Guards against a cause that would answer the caller with a client error.
TEST(RelayMessage, ResultCannotBlameTheCaller) {
  for (std::size_t n = 0; n < ReasonCount; ++n) {
    RelayResult result = makeResult();
    result.Cause = static_cast<Reason>(n);
    std::string head;
    appendRelayResult(head, result);
    if (const auto read = readRelayResult(parseField(head))) {
      EXPECT_NE(read->Cause, Reason::BadRequest);
      EXPECT_NE(read->Cause, Reason::UnknownRoute);
      EXPECT_NE(read->Cause, Reason::None);
    }
  }
}

// Guards against an upstream or a caller that adds a second field: none of them
// counts.
TEST(RelayMessage, RepeatedFieldsAreRejected) {
  std::string head;
  appendRelayResult(head, makeResult());
  http::Fields fields = parseField(head);
  fields.emplace_back("waxwing-relay-RESULT", "7 1 0 1 0 i-2");
  EXPECT_FALSE(readRelayResult(fields));
  EXPECT_TRUE(isRelayField("waxwing-relay-RESULT"));
  EXPECT_TRUE(isRelayField(RequestField));
  EXPECT_FALSE(isRelayField("Waxwing-Relay"));
}

RC_GTEST_PROP(RelayMessage, AnyTextIsReadOrRejected, (std::string value)) {
  if (const auto request = readRelayRequest({{RequestField, value}})) {
    RC_ASSERT(request->TimeLeft > Duration());
    RC_ASSERT(request->CallerTimeLeft >= request->TimeLeft);
  }
  readRelayResult({{ResultField, value}});
}

} // namespace
} // namespace waxwing
