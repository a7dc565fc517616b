/**
 * @file repeated_refusal_process_test.cpp
 * Upstreams that send an earlier refusal once more on a kept connection: it
 * proves nothing about the request that waits for its response.
 */
#include "scripted_upstream_fixture.h"

#include <map>

namespace waxwing {
namespace {

using Clock = std::chrono::steady_clock;

/// Time from a repeated refusal to the true response.
constexpr Duration ResponseDelay = milliseconds(60);

constexpr const char *KeyedConfig =
    R"({"config_version":"00000002","base_version":"00000001","routes":{
      "once":{"hostname":"h","prefix":"/once/","kind":"non_idempotent",
        "timeout_s":2,"target_latency_s":0.5,"priority":0,"max_attempts":2,
        "service":"media"},
      "keyed":{"hostname":"h","prefix":"/keyed/","kind":"non_idempotent",
        "timeout_s":2,"target_latency_s":0.5,"priority":0,"max_attempts":2,
        "service":"keyed"}},
    "services":{
      "media":{"health_path":"/healthz","max_connections":100},
      "keyed":{"health_path":"/healthz","max_connections":100,
        "sharded":true}},
    "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
      "header_timeout_s":3,"idle_timeout_s":15}})";

std::string makeRefusal(int status, const std::string &idField) {
  return fmt::format(
      "HTTP/1.1 {} X\r\nNot-Executed: 1\r\n{}Content-Length: 0\r\n\r\n", status,
      idField);
}

bool isRefusal(int status) {
  return status == 503 || status == 429 || status == 421 || status == 408;
}

class RepeatedRefusalTest : public ScriptedUpstreamTest {
protected:
  void useKeyedConfig() {
    runOnPlatform([&] { Store->put("op/config", KeyedConfig); });
    ASSERT_TRUE(
        waitFor([] { return readMetric(0, "waxwing_config_version") == 2; }));
  }
  void recordExecution(const std::string &id) {
    const std::scoped_lock lock(Mutex);
    ++Executions[id];
  }
  /// Checks what the caller of request @p id was told.
  void expectNoBrokenPromise(const std::string &id, int status) {
    const std::scoped_lock lock(Mutex);
    const auto found = Executions.find(id);
    const int count = found == Executions.end() ? 0 : found->second;
    EXPECT_LE(count, 1) << id << " was executed twice";
    EXPECT_FALSE(isRefusal(status) && count > 0)
        << id << " was executed and refused with " << status;
  }

  std::map<std::string, int> Executions; ///< by request id
};

/// REFUSED, TWICE: a refusal without a request id that was sent once more was
/// taken for the response to the next request, which was running.
TEST_F(RepeatedRefusalTest, RefusalWithoutIdIsNotTakenForTheNextRequest) {
  for (const int n : {0, 1})
    addScripted(n, [&](Peer &peer) {
      for (std::string head; !(head = peer.readHead()).empty();) {
        const std::string id = fieldOf(head, "Request-Id");
        recordExecution(id);
        if (id.starts_with("repeat"))
          peer.write(makeRefusal(503, ""));
        std::this_thread::sleep_for(ResponseDelay);
        peer.write(makeSuccess(head, "x"));
      }
    });
  useKeyedConfig();
  waitForUpstreams();
  int served = 0;
  for (int n = 0; n < 10; ++n)
    for (const char *kind : {"plain", "repeat"}) {
      const std::string id = fmt::format("{}{}", kind, n);
      const int status = sendRequest(callerPort(0), "POST", "/once/x", id, "");
      expectNoBrokenPromise(id, status);
      served += status == 200 ? 1 : 0;
    }
  EXPECT_GE(served, 10);
}

} // namespace
} // namespace waxwing
