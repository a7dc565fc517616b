/**
 * @file admin_api_test.cpp
 * Administration API over TCP: permissions, and unauthorized, oversized,
 * malformed and truncated requests.
 */
#include "admin_fixture.h"

#include <algorithm>

namespace waxwing {
namespace {

const std::string Weight = "/v1/teams/one/settings/tier/p/weight";

TEST_F(AdminFixture, SetValueIsReadBackAndInHistory) {
  const auto set = call("PUT", Weight, "anna-secret", R"({"value":"7"})");
  EXPECT_EQ(set.Status, 200) << set.Body;
  EXPECT_EQ(set.json()["revision"], 4);
  const auto got = call("GET", Weight, "anna-secret");
  EXPECT_EQ(got.json()["values"][0]["value"], "7");
  EXPECT_EQ(got.json()["revision"], 4);
  const auto history =
      call("GET", "/v1/teams/one/history/tier/p", "anna-secret").json();
  EXPECT_EQ(history["changes"][0]["who"], "anna");
  EXPECT_EQ(history["changes"][0]["revision"], 4);
}

TEST_F(AdminFixture, AcceptedDocumentIsSentToController) {
  call("PUT", Weight, "anna-secret", R"({"value":"7"})");
  ASSERT_EQ(Queries.size(), 1U);
  const auto *accepted = std::get_if<AcceptedDocument>(&Queries[0].Call);
  ASSERT_NE(accepted, nullptr);
  EXPECT_EQ(accepted->Document.Team, TeamId("one"));
  EXPECT_EQ(accepted->Document.Rev, Revision(4));
  EXPECT_EQ(accepted->Document.Text, stored("/teams/one"));
}

TEST_F(AdminFixture, MissingAndUnknownTokensAreRefused) {
  EXPECT_EQ(call("GET", Weight, "").code(), "unauthenticated");
  EXPECT_EQ(call("GET", Weight, "wrong").code(), "unauthenticated");
  EXPECT_EQ(call("PUT", Weight, "wrong", R"({"value":"7"})").Status, 401);
  // The stored digest must not be accepted as the token.
  EXPECT_EQ(call("GET", Weight, sha256Hex("anna-secret")).Status, 401);
  EXPECT_EQ(sendRaw("GET " + Weight +
                    " HTTP/1.1\r\nAuthorization: Basic YTpi\r\nConnection: "
                    "close\r\n\r\n")
                .Status,
            401);
}

TEST_F(AdminFixture, TokenOfOtherTeamIsForbidden) {
  const std::string before = stored("/teams/one");
  const std::vector<std::pair<std::string, std::string>> calls{
      {"GET", Weight},
      {"PUT", Weight},
      {"DELETE", Weight},
      {"GET", "/v1/teams/one/settings"},
      {"PUT", "/v1/teams/one/settings"},
      {"GET", "/v1/teams/one/history"},
      {"POST", "/v1/teams/one/domains/d/out"},
      {"POST", "/v1/teams/one/upstreams/u/drain"},
      {"POST", "/v1/teams/one/validate"},
      {"GET", "/v1/teams/one/owner?service=s&key=k"},
      {"GET", "/v1/teams/none/settings"},
      {"GET", "/v1/tokens"},
      {"PUT", "/v1/tokens/bert"},
      {"DELETE", "/v1/tokens/anna"}};
  const std::string body =
      fmt::format(R"({{"value":"7","text":"","sha256":"{}"}})", sha256Hex("x"));
  for (const auto &[method, target] : calls)
    EXPECT_EQ(call(method, target, "bert-secret", body).code(), "forbidden")
        << method << " " << target;
  EXPECT_EQ(stored("/teams/one"), before);
  const auto teams = call("GET", "/v1/teams", "bert-secret").json();
  ASSERT_EQ(teams["teams"].size(), 1U);
  EXPECT_EQ(teams["teams"][0]["team"], "two");
}

TEST_F(AdminFixture, PathTraversalIsRefused) {
  for (const std::string target :
       {"/v1/teams/two/../one/settings", "/v1/teams/two%2F..%2Fone/settings",
        "/v1/teams/two/settings/%2e%2e/one", "/v1/teams//settings",
        "/v1/teams/two/settings//x", "/v1/teams/two%2Fone/settings",
        "/v1/teams/two%5Cone/settings", "/v1/teams/two%00/settings",
        "/v1/teams/two/settings/", "/v1/teams/%zz/settings", "//v1/teams",
        "/v1/teams/two/settings/domain/d%0A%5Bdomain%20e%5D/taken_out",
        "/v1/teams/tw%20o/settings"})
    EXPECT_EQ(
        call("PUT", target, "bert-secret", R"({"value":"true","text":""})")
            .code(),
        "malformed")
        << target;
  EXPECT_EQ(stored("/teams/two"), "[domain d]\n");
}

TEST_F(AdminFixture, UnknownPathsAndMethodsAreRefused) {
  EXPECT_EQ(call("GET", "/v2/teams", "operator").code(), "not_found");
  EXPECT_EQ(call("GET", "/v1/teams/one/nothing", "operator").code(),
            "not_found");
  EXPECT_EQ(call("POST", Weight, "operator").code(), "method_not_allowed");
  EXPECT_EQ(call("GET", "/v1/teams/one/domains/d/out", "operator").code(),
            "method_not_allowed");
}

TEST_F(AdminFixture, OversizedBodyIsRefused) {
  const std::string body(AdminServerLimits.BodyBytes + 1, 'x');
  EXPECT_EQ(call("PUT", Weight, "anna-secret", body).Status, 413);
  EXPECT_EQ(
      sendRaw("GET / HTTP/1.1\r\nX-A: " + std::string(20000, 'x') + "\r\n\r\n")
          .Status,
      413);
  std::string text;
  while (text.size() < MaxDocumentBytes)
    text += "# " + std::string(100, 'x') + "\n";
  const auto large = call("PUT", "/v1/teams/one/settings", "anna-secret",
                          nlohmann::json{{"text", text}}.dump());
  EXPECT_EQ(large.code(), "invalid");
}

TEST_F(AdminFixture, MalformedRequestsAreRefused) {
  EXPECT_EQ(sendRaw("NONSENSE\r\n\r\n").Status, 400);
  for (const std::string body :
       {"{", "[]", "7", "{\"value\":7}", "{}", "{\"value\":\"7\",\"base\":-1}",
        "{\"value\":\"7\",\"base\":\"x\"}",
        "{\"value\":\"7\",\"change\":\"../x\"}", "\xff\xfe"})
    EXPECT_EQ(call("PUT", Weight, "anna-secret", body).code(), "malformed")
        << body;
  for (const std::string body : {R"({"commands":{}})", R"({"commands":[7]})",
                                 R"({"commands":[{"set":"tier/p/weight"}]})",
                                 R"({"commands":[{"set":"../x","value":"1"}]})",
                                 R"({"commands":[{"set":7,"value":"1"}]})",
                                 R"({"commands":[{"remove":"tier"}]})"})
    EXPECT_EQ(call("POST", "/v1/teams/one/changes", "anna-secret", body).code(),
              "malformed")
        << body;
}

TEST_F(AdminFixture, DeeplyNestedBodyIsRefused) {
  EXPECT_EQ(
      call("PUT", Weight, "anna-secret", std::string(1'000'000, '[')).code(),
      "malformed");
}

TEST_F(AdminFixture, TruncatedRequestChangesNothing) {
  const std::string before = stored("/teams/one");
  const std::string whole =
      makeHttp("PUT", Weight, "anna-secret", R"({"value":"7"})");
  for (std::size_t n = 1; n < whole.size(); n += 7)
    EXPECT_NE(sendRaw(whole.substr(0, n), true).Status, 200) << n;
  EXPECT_EQ(stored("/teams/one"), before);
}

TEST_F(AdminFixture, InvalidValueNamesAllowedRange) {
  const auto response = call("PUT", Weight, "anna-secret", R"({"value":"0"})");
  EXPECT_EQ(response.Status, 422);
  EXPECT_NE(response.Body.find("expected a whole number from 1 to 1000"),
            std::string::npos)
      << response.Body;
}

TEST_F(AdminFixture, ConflictNamesAuthorAndPath) {
  EXPECT_EQ(call("PUT", Weight, "operator", R"({"value":"5"})").Status, 200);
  const auto response =
      call("PUT", Weight, "anna-secret", R"({"value":"7","base":1})");
  EXPECT_EQ(response.Status, 409);
  EXPECT_EQ(response.json()["changes"][0]["who"], "settings-operator");
  EXPECT_EQ(response.json()["changes"][0]["values"][0]["path"],
            "tier/p/weight");
  EXPECT_EQ(call("PUT", "/v1/teams/one/settings/domain/d/taken_out",
                 "anna-secret", R"({"value":"true","base":1})")
                .Status,
            200);
}

TEST_F(AdminFixture, RepeatedChangeIdTakesEffectOnce) {
  const std::string body = R"({"value":"5","change":"my-id"})";
  EXPECT_EQ(call("PUT", Weight, "anna-secret", body).json()["revision"], 4);
  EXPECT_EQ(call("PUT", Weight, "anna-secret", R"({"value":"6"})").Status, 200);
  EXPECT_EQ(call("PUT", Weight, "anna-secret", body).json()["revision"], 4);
  EXPECT_EQ(call("GET", Weight, "anna-secret").json()["values"][0]["value"],
            "6");
  EXPECT_EQ(
      call("PUT", Weight, "anna-secret", R"({"value":"9","change":"my-id"})")
          .code(),
      "reused_change_id");
}

TEST_F(AdminFixture, LostWriteResponseIsResolved) {
  Store.ResponsesToDrop = 2;
  const auto response = call("PUT", Weight, "anna-secret", R"({"value":"5"})");
  EXPECT_EQ(response.Status, 200) << response.Body;
  EXPECT_EQ(response.json()["revision"], 4);
}

TEST_F(AdminFixture, UnavailableStoreIsReported) {
  EXPECT_EQ(call("GET", Weight, "anna-secret").Status, 200);
  Store.IsDown = true;
  EXPECT_EQ(call("GET", Weight, "operator").code(), "unavailable");
  const auto response = call("PUT", Weight, "operator", R"({"value":"5"})");
  EXPECT_EQ(response.code(), "unavailable");
  EXPECT_NE(response.Body.find("nothing was written"), std::string::npos);
  Store.IsDown = false;
  EXPECT_EQ(call("GET", Weight, "operator").json()["values"][0]["value"], "1");
}

TEST_F(AdminFixture, SecretsAreNeverShown) {
  const std::string digest = sha256Hex("caller");
  const auto document = call("GET", "/v1/teams/one/settings", "anna-secret");
  EXPECT_EQ(document.Status, 200);
  EXPECT_EQ(document.Body.find(digest), std::string::npos);
  const auto value =
      call("GET", "/v1/teams/one/settings/caller/c/key_sha256", "anna-secret");
  EXPECT_EQ(value.json()["values"][0]["value"], "(hidden)");
  const std::string next = sha256Hex("next");
  const auto set =
      call("PUT", "/v1/teams/one/settings/caller/c/key_sha256", "anna-secret",
           fmt::format(R"({{"value":"{}"}})", next));
  EXPECT_EQ(set.Status, 200);
  EXPECT_EQ(set.Body.find(next), std::string::npos);
  EXPECT_EQ(call("GET", "/v1/teams/one/history", "anna-secret").Body.find(next),
            std::string::npos);
  EXPECT_EQ(
      call("GET", "/v1/tokens", "operator").Body.find(sha256Hex("anna-secret")),
      std::string::npos);
  // Writing the displayed text back must keep the hidden secrets.
  EXPECT_EQ(call("PUT", "/v1/teams/one/settings", "anna-secret",
                 nlohmann::json{{"text", document.json()["text"]}}.dump())
                .Status,
            200);
  EXPECT_NE(stored("/teams/one").find(next), std::string::npos);
}

TEST_F(AdminFixture, TokensAreCreatedRotatedAndRevoked) {
  const auto make = [&](const std::string &secret) {
    return call("PUT", "/v1/tokens/carl", "operator",
                fmt::format(R"({{"sha256":"{}","teams":"one"}})",
                            sha256Hex(secret)))
        .Status;
  };
  EXPECT_EQ(make("first"), 200);
  EXPECT_EQ(call("GET", Weight, "first").Status, 200);
  EXPECT_EQ(make("second"), 200);
  EXPECT_EQ(call("GET", Weight, "first").Status, 401);
  EXPECT_EQ(call("GET", Weight, "second").Status, 200);
  EXPECT_EQ(call("DELETE", "/v1/tokens/carl", "operator").Status, 200);
  EXPECT_EQ(call("GET", Weight, "second").Status, 401);
}

TEST_F(AdminFixture, OnlyOperatorsCreateTeams) {
  const std::string body = R"({"text":"[domain d]\n"})";
  put("/tokens", "[token anna]\nsha256 = " + sha256Hex("anna-secret") +
                     "\nteams = one,new\n");
  EXPECT_EQ(call("PUT", "/v1/teams/new/settings", "anna-secret", body).code(),
            "not_found");
  EXPECT_EQ(call("PUT", "/v1/teams/new/settings", "operator", body).Status,
            200);
  EXPECT_EQ(call("GET", "/v1/teams/new/settings", "anna-secret").Status, 200);
}

TEST_F(AdminFixture, DryRunWritesNothing) {
  const std::string before = stored("/teams/one");
  const auto valid = call("POST", "/v1/teams/one/validate", "anna-secret",
                          R"({"text":"[domain e]\n"})");
  EXPECT_EQ(valid.Status, 200);
  EXPECT_EQ(valid.json()["accepted"], false);
  EXPECT_EQ(call("POST", "/v1/teams/one/validate", "anna-secret",
                 R"({"text":"[domian e]\n"})")
                .code(),
            "invalid");
  EXPECT_EQ(stored("/teams/one"), before);
}

TEST_F(AdminFixture, UnresponsiveControllerIsReportedAsBusy) {
  EXPECT_EQ(call("GET", "/v1/counters", "operator").code(), "busy");
  AcceptsQueries = false;
  EXPECT_EQ(call("GET", "/v1/revisions", "operator").code(), "busy");
  EXPECT_EQ(Queries.size(), 2U);
}

TEST_F(AdminFixture, RefusalsAreCounted) {
  call("GET", Weight, "");
  call("GET", "/v1/x", "operator");
  auto counters = std::async(std::launch::async, [this] {
    return call("GET", "/v1/counters", "operator");
  });
  bool isCompleted = false;
  while (!isCompleted) {
    std::promise<bool> done;
    Io.post([&] {
      const bool hasQuery = !Queries.empty();
      if (hasQuery)
        Api.completeQuery({Queries.back().Id, CountersResponse{{{"own", 5}}}});
      done.set_value(hasQuery);
    });
    isCompleted = done.get_future().get();
  }
  const auto json = counters.get().json()["counters"];
  EXPECT_EQ(json["own"], 5);
  EXPECT_EQ(json["admin_refused_unauthenticated"], 1);
  EXPECT_EQ(json["admin_refused_not_found"], 1);
}

} // namespace
} // namespace waxwing
