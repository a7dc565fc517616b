/**
 * @file platform_test.cpp
 * Decoding and encoding of the platform's documents, headers and calls, and
 * rejection of malformed input.
 */
#include "documents.h"
#include "headers.h"
#include "http/parser.h"
#include "key_orders.h"
#include "settings/node_settings_base.h"
#include "store_protocol.h"

#include <gtest/gtest.h>
#include <limits>

namespace waxwing {
namespace {

constexpr const char *ValidEntry =
    R"({"address":"10.1.2.3:8080","born":1700000000000,
        "info":{"service":"s","config_version":"v1","zone":"a","slots":4},
        "status":{"state":"ready","sequence":4,"warmup_left_s":1.5}})";

std::string replaced(std::string text, const std::string &from,
                     const std::string &to) {
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos);
  return text.replace(at, from.size(), to);
}

TEST(UpstreamEntry, IsDecoded) {
  const auto entry = platform::decodeUpstreamEntry("i-1", ValidEntry);
  ASSERT_TRUE(entry.ok()) << entry.status();
  EXPECT_EQ(entry->Id, UpstreamId("i-1"));
  EXPECT_EQ(entry->Service, ServiceId("s"));
  EXPECT_EQ(entry->Address, (Endpoint{"10.1.2.3", 8080}));
  EXPECT_EQ(entry->Domain, DomainId("a"));
  EXPECT_EQ(entry->StartedAtMs, 1700000000000);
  EXPECT_EQ(entry->Slots, 4);
  EXPECT_EQ(entry->Sequence, 4U);
  EXPECT_FALSE(entry->IsDraining);
  EXPECT_EQ(entry->WarmUpLeft, milliseconds(1500));
}

TEST(UpstreamEntry, MalformedEntriesAreRejected) {
  const std::vector<std::string> bad{
      "",
      "not json",
      "[]",
      "\xff\xfe",
      "{}",
      replaced(ValidEntry, "\"ready\"", "\"sleeping\""),
      replaced(ValidEntry, "\"slots\":4", "\"slots\":\"4\""),
      replaced(ValidEntry, "\"slots\":4", "\"slots\":0"),
      replaced(ValidEntry, "\"slots\":4", "\"slots\":-1"),
      replaced(ValidEntry, "1700000000000", "1.5"),
      replaced(ValidEntry, "\"10.1.2.3:8080\"", "\"nowhere\""),
      replaced(ValidEntry, "\"info\"", "\"other\""),
      replaced(ValidEntry, "\"zone\":\"a\"", "\"zone\":7"),
      replaced(ValidEntry, "1.5", "-1"),
      replaced(ValidEntry, "\"sequence\":4", "\"sequence\":\"4\""),
      replaced(ValidEntry, "\"sequence\":4", "\"sequence\":null"),
      replaced(ValidEntry, "\"sequence\":4", "\"sequence\":-4"),
  };
  for (const std::string &text : bad)
    EXPECT_FALSE(platform::decodeUpstreamEntry("i-1", text).ok()) << text;
}

// Guards against an entry of another writer whose numbers are cut to other
// ones, which attract all requests or outlive every later process.
TEST(UpstreamEntry, NumbersOutOfRangeAreRejected) {
  const std::vector<std::string> bad{
      replaced(ValidEntry, "\"slots\":4", "\"slots\":4294967300"),
      replaced(ValidEntry, "\"slots\":4", "\"slots\":5000000000"),
      replaced(ValidEntry, "\"slots\":4", "\"slots\":2147483647"),
      replaced(ValidEntry, "\"slots\":4", "\"slots\":1e30"),
      replaced(ValidEntry, "1700000000000", "18446744073709551615"),
      replaced(ValidEntry, "1700000000000", "9223372036854775807"),
      replaced(ValidEntry, "1700000000000", "18446744073709551616"),
      replaced(ValidEntry, "\"sequence\":4", "\"sequence\":1e400"),
      replaced(ValidEntry, "8080", "70000"),
      replaced(ValidEntry, "8080", "-1"),
      replaced(ValidEntry, "8080", "0"),
      replaced(ValidEntry, "8080", "80x"),
      replaced(ValidEntry, "8080", ""),
      replaced(ValidEntry, "10.1.2.3", "10.1.2.300"),
      replaced(ValidEntry, "10.1.2.3", ""),
      replaced(ValidEntry, "10.1.2.3", "host"),
  };
  for (const std::string &text : bad)
    EXPECT_FALSE(platform::decodeUpstreamEntry("i-1", text).ok()) << text;
}

// Guards against an id that adds header fields to the requests for its
// upstream.
TEST(UpstreamEntry, IdsThatAreNoTokenAreRejected) {
  for (const std::string id :
       {"", "i 1", "i-1\r\nX: y", "i\n1", "i-\x01", "i-\xff"})
    EXPECT_FALSE(platform::decodeUpstreamEntry(id, ValidEntry).ok()) << id;
  EXPECT_TRUE(platform::decodeUpstreamEntry("i-7f3a91c2", ValidEntry).ok());
}

// Guards against an entry whose nesting exhausts the stack.
TEST(UpstreamEntry, DeepNestingEndsNothing) {
  constexpr std::size_t depth = 2'000'000;
  const std::string open(depth, '[');
  const std::string closed = open + std::string(depth, ']');
  for (const std::string &value :
       {open, closed, replaced(ValidEntry, "\"a\"", closed)})
    EXPECT_FALSE(platform::decodeUpstreamEntry("i-1", value).ok());
  EXPECT_TRUE(platform::decodeUpstreamEntry(
                  "i-1", replaced(ValidEntry, "{\"address\"",
                                  "{\"later\":" + closed + ",\"address\""))
                  .ok());
}

// Guards against a handover token of an upstream that ends the process when it
// is encoded.
TEST(KeyOrders, HandoverTokenThatIsNoTextIsLeftOut) {
  for (const std::string token : {"\xff\xfe", "a\x01", "\xc3"}) {
    EXPECT_EQ(platform::readHandoverToken({{"Handover", token}}), "");
    EXPECT_NO_THROW(platform::buildGrantRequest({0, 9}, 1, seconds(1), token));
  }
  EXPECT_EQ(platform::readHandoverToken({{"Handover", "5c0e7a"}}), "5c0e7a");
}

constexpr const char *ValidConfig =
    R"({"config_version":"0000000c","base_version":"00000005",
        "routes":{"r1":{"hostname":"H.Example","prefix":"/p/",
            "kind":"idempotent","timeout_s":1.5,"target_latency_s":0.6,
            "priority":2,"max_attempts":2,
            "traffic_split":[{"service":"s","weight":90},
                             {"service":"t","weight":10}]},
          "r2":{"hostname":"g","prefix":"/","kind":"non_idempotent",
            "timeout_s":1,"target_latency_s":0.8,"priority":1,
            "service":"t","max_attempts":1}},
        "services":{"s":{"health_path":"/healthz","max_connections":110,
            "protocol":"h1","tls":false,"warmup_s":3,"warmup_per_s":5.7,
            "sharded":true,"warm_s":2,"grants":"call"},
          "t":{"health_path":"/healthz","max_connections":9}},
        "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
            "header_timeout_s":3,"idle_timeout_s":15}})";

TEST(Configuration, IsDecoded) {
  const auto config = platform::decodeTrafficConfig(ValidConfig);
  ASSERT_TRUE(config.ok()) << config.status();
  EXPECT_EQ(config->Version, 12U);
  ASSERT_EQ(config->Routes.size(), 2U);
  const Route &first = config->Routes[0];
  EXPECT_EQ(first.Host, "h.example");
  EXPECT_EQ(first.Kind, RequestKind::Idempotent);
  EXPECT_EQ(first.Timeout, milliseconds(1500));
  EXPECT_EQ(first.WeightedServices.size(), 2U);
  EXPECT_EQ(config->Routes[1].WeightedServices[0].Service, ServiceId("t"));
  EXPECT_TRUE(config->Services.at(ServiceId("s")).IsDividedByKey);
  EXPECT_FALSE(config->Services.at(ServiceId("t")).IsDividedByKey);
  EXPECT_EQ(config->Limits.IdleTimeout, seconds(15));
}

// Guards against numbers of a configuration that are cut to other ones.
TEST(Configuration, LargeNumbersAreTheLargestPossible) {
  std::string text =
      replaced(ValidConfig, "\"max_attempts\":2", "\"max_attempts\":1e300");
  text = replaced(text, "16384", "4294967296");
  text = replaced(text, "\"weight\":90", "\"weight\":4294967297");
  text = replaced(text, "\"max_connections\":110", "\"max_connections\":1e99");
  const auto config = platform::decodeTrafficConfig(text);
  ASSERT_TRUE(config.ok()) << config.status();
  EXPECT_EQ(config->Routes[0].MaxAttempts, std::numeric_limits<int>::max());
  EXPECT_EQ(config->Limits.HeaderBytes,
            std::numeric_limits<std::uint32_t>::max());
  EXPECT_GT(config->Routes[0].WeightedServices[0].Weight, 1'000'000U);
  EXPECT_GT(config->Services.at(ServiceId("s")).MaxConnections, 1'000'000);
}

TEST(Configuration, UploadIsAKindThatRunsAtMostOnce) {
  const auto config = platform::decodeTrafficConfig(
      replaced(ValidConfig, "\"idempotent\"", "\"upload\""));
  ASSERT_TRUE(config.ok()) << config.status();
  EXPECT_EQ(config->Routes[0].Kind, RequestKind::Upload);
  EXPECT_FALSE(isRepeatable(RequestKind::Upload));
}

TEST(Configuration, ErrorsNameTheField) {
  const std::string text = replaced(ValidConfig, "\"idempotent\"", "\"maybe\"");
  const auto config = platform::decodeTrafficConfig(text);
  ASSERT_FALSE(config.ok());
  const std::string message(config.status().message());
  EXPECT_NE(message.find("'maybe'"), std::string::npos) << message;
  for (const char *allowed :
       {"idempotent", "non_idempotent", "download", "upload"})
    EXPECT_NE(message.find(allowed), std::string::npos) << message;
  EXPECT_FALSE(platform::decodeTrafficConfig("{").ok());
  EXPECT_FALSE(
      platform::decodeTrafficConfig(replaced(ValidConfig, "0000000c", "xyz"))
          .ok());
}

TEST(Store, TransactionsAreEncodedAndResponsesDecoded) {
  platform::StoreTransaction transaction;
  transaction.Conditions = {{"a/b", 7}};
  transaction.Writes = {{"a/b", "node-1", 5}};
  const platform::PlatformRequest call =
      platform::buildTransactionRequest(transaction);
  EXPECT_EQ(call.Target, "/v1/kv-txn");
  EXPECT_NE(call.Body.find(R"("value":"bm9kZS0x")"), std::string::npos);
  EXPECT_NE(call.Body.find(R"("lease":5)"), std::string::npos);
  const auto changes = platform::decodeStoreChanges(
      R"({"events":[{"key":"k","value":"bm9kZS0x","revision":4,
          "create_revision":4,"lease":0},
          {"key":"o","revision":5,"removed":true}],"store_revision":9})");
  ASSERT_TRUE(changes.ok());
  EXPECT_EQ(changes->Changes[0].Value, "node-1");
  EXPECT_EQ(changes->Changes[1].Value, std::nullopt);
  EXPECT_EQ(changes->StoreAt, 9U);
  EXPECT_FALSE(platform::decodeStoreChanges("{}").ok());
  EXPECT_FALSE(platform::decodeStorePage(
                   R"({"items":["x"],"has_more":false,"store_revision":1})")
                   .ok());
  EXPECT_EQ(platform::decodeStoreLease(R"({"lease":3,"ttl_s_time":1.5})")->Term,
            milliseconds(1500));
}

TEST(Headers, LoadAndExecutionStateAreRead) {
  const auto meta =
      platform::readResponseMetadata(503, {{"request-id", "q1"},
                                           {"Not-Executed", "1"},
                                           {"Backend-Load", "3,1,4,210"},
                                           {"Keep-Alive", "timeout=9, max=5"}});
  EXPECT_TRUE(meta.IsNotExecuted);
  EXPECT_FALSE(meta.IsSigned);
  EXPECT_EQ(meta.RequestId, "q1");
  ASSERT_TRUE(meta.Load.has_value());
  EXPECT_EQ(meta.Load->SlownessPercent, 210);
  EXPECT_EQ(meta.KeepAliveS, 9);
  EXPECT_TRUE(platform::readResponseMetadata(421, {}).IsNotExecuted);
  EXPECT_FALSE(platform::readResponseMetadata(503, {}).IsNotExecuted);
  EXPECT_FALSE(
      platform::readResponseMetadata(200, {{"Backend-Load", "3,x,4"}}).Load);
  const auto request = platform::readRequestMetadata(
      {{"Request-Id", "r"}, {"Deadline-Ms", "1500"}, {"Shard-Key", "70000"}});
  EXPECT_EQ(request.RemainingMs, 1500);
  EXPECT_FALSE(request.Key.has_value());
}

TEST(KeyOrders, CarryFencingTokenAndHandoverToken) {
  const auto grant = platform::buildGrantRequest({1, 9}, 12, seconds(4), "h");
  EXPECT_EQ(grant.Target, "/v1/grant");
  EXPECT_NE(grant.Body.find(R"("fence":12)"), std::string::npos);
  EXPECT_NE(grant.Body.find(R"("handover":"h")"), std::string::npos);
  EXPECT_EQ(platform::buildGrantRequest({1, 9}, 12, seconds(4), "")
                .Body.find("handover"),
            std::string::npos);
  EXPECT_EQ(platform::readHandoverToken({{"handover", "x"}}), "x");
}

TEST(HttpParser, TruncatedChunkedAndPipelinedMessages) {
  http::RequestParser requests({});
  const std::string two =
      "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\n";
  std::size_t consumed = 0;
  EXPECT_EQ(requests.put(two, consumed), http::ParseState::Done);
  EXPECT_EQ(two.substr(consumed), "GET /b HTTP/1.1\r\n");
  http::ResponseParser truncated({}, false);
  const std::string partial = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab";
  EXPECT_EQ(truncated.put(partial, consumed), http::ParseState::NeedMore);
  EXPECT_EQ(truncated.finishAtEof(), http::ParseState::Malformed);
  http::ResponseParser open({}, false);
  EXPECT_EQ(open.put("HTTP/1.1 200 OK\r\n\r\nab", consumed),
            http::ParseState::NeedMore);
  EXPECT_EQ(open.finishAtEof(), http::ParseState::Done);
  EXPECT_EQ(open.takeBody(), "ab");
  http::ResponseParser chunked({}, false);
  EXPECT_EQ(chunked.put("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "2\r\nab\r\n0\r\n\r\n",
                        consumed),
            http::ParseState::Done);
  EXPECT_EQ(chunked.takeBody(), "ab");
}

TEST(HttpParser, AmbiguousAndOversizedRequestsAreRejected) {
  std::size_t consumed = 0;
  http::RequestParser ambiguous({});
  EXPECT_EQ(ambiguous.put("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n",
                          consumed),
            http::ParseState::Malformed);
  http::ParseLimits small;
  small.HeaderBytes = 64;
  small.BodyBytes = 4;
  http::RequestParser largeHeader(small);
  EXPECT_EQ(largeHeader.put("GET / HTTP/1.1\r\nX: " + std::string(100, 'x'),
                            consumed),
            http::ParseState::HeaderTooLarge);
  http::RequestParser largeBody(small);
  EXPECT_EQ(
      largeBody.put("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n", consumed),
      http::ParseState::BodyTooLarge);
}

TEST(NodeSettings, ErrorsNameTheLineAndTheSetting) {
  const std::string good = "[vm]\nname = a\ndomain = d\n[listen]\ncallers = "
                           "1.2.3.4:1\nready = 1.2.3.4:2\npeers = "
                           "1.2.3.4:3\n[store]\naddress = 1.2.3.4:4\n";
  const auto settings = parseNodeSettings(good, "f");
  ASSERT_TRUE(settings.ok()) << settings.status();
  EXPECT_EQ(settings->Bounds.seconds("grace"), seconds(6));
  const auto bad = parseNodeSettings(good + "[bounds]\ngrace = soon\n", "f");
  ASSERT_FALSE(bad.ok());
  EXPECT_NE(std::string(bad.status().message()).find("f:11: [bounds] grace"),
            std::string::npos)
      << bad.status();
}

} // namespace
} // namespace waxwing
