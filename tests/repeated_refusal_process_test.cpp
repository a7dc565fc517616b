/**
 * @file repeated_refusal_process_test.cpp
 * Upstreams that send an earlier refusal once more on a kept connection: it
 * proves nothing about the request that waits for its response.
 */
#include "scripted_upstream_fixture.h"

#include <map>
#include <nlohmann/json.hpp>

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

/// REFUSED, TWICE: the owner of a key rejected a request and got it again on
/// the same connection; the rejection sent once more was taken for the response
/// to the second delivery, since both have the request's id.
TEST_F(RepeatedRefusalTest, RefusalOfTheFirstDeliveryDoesNotEndTheSecond) {
  std::atomic<bool> isRejecting = false;
  std::atomic<int> rejected = 0;
  std::atomic<std::uint64_t> refusedFence = 0;
  std::atomic<bool> isFenceRefused = false;
  addEntry(0, "keyed");
  serve(0, [&](Peer &peer) {
    std::string refusal;
    for (std::string head; !(head = peer.readHead()).empty();) {
      const std::string length = fieldOf(head, "Content-Length");
      const std::string body =
          peer.readBytes(length.empty() ? 0 : std::stoul(length));
      if (head.starts_with("POST /v1/")) {
        const auto fence =
            nlohmann::json::parse(body)["fence"].get<std::uint64_t>();
        if (isFenceRefused.exchange(false)) {
          refusedFence = fence;
          isRejecting = true;
        }
        const bool isRefused = fence <= refusedFence;
        if (!isRefused)
          isRejecting = false;
        peer.write(fmt::format("HTTP/1.1 {} X\r\nHandover: t\r\n"
                               "Content-Length: 0\r\n\r\n",
                               isRefused ? 409 : 200));
        continue;
      }
      const std::string id = fieldOf(head, "Request-Id");
      if (isRejecting) {
        ++rejected;
        refusal = makeRefusal(421, fmt::format("Request-Id: {}\r\n", id));
        peer.write(refusal);
        continue;
      }
      recordExecution(id);
      if (refusal.find(id) != std::string::npos)
        peer.write(refusal);
      std::this_thread::sleep_for(ResponseDelay);
      peer.write(makeSuccess(head, "x"));
    }
  });
  useKeyedConfig();
  ASSERT_TRUE(waitFor([&] {
    return sendRequest(callerPort(0), "POST", "/keyed/x", "first", "7") == 200;
  }));
  int served = 0;
  for (int round = 0; round < 6; ++round) {
    isFenceRefused = true;
    const auto end = Clock::now() + seconds(2);
    for (int n = 0; Clock::now() < end; ++n) {
      const std::string id = fmt::format("r{}-{}", round, n);
      const int status =
          sendRequest(callerPort(0), "POST", "/keyed/x", id, "7");
      expectNoBrokenPromise(id, status);
      served += status == 200 ? 1 : 0;
    }
  }
  EXPECT_GT(rejected, 0);
  EXPECT_GT(served, 20);
}

} // namespace
} // namespace waxwing
