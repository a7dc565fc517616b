/**
 * @file silent_store_process_test.cpp
 * Connections to the store on which nothing arrives any more, although they
 * stay open and are acknowledged, while new ones work.
 */
#include "node_fixture.h"
#include "node_soak_proxy.h"

namespace waxwing {
namespace {

/// Bound within which a change must be in force on every VM.
constexpr Duration ApplyBound = seconds(2);

class SilentStoreTest : public NodeProcessTest {
protected:
  static constexpr int VmCount = 8;

  void SetUp() override {
    NodeProcessTest::SetUp();
    for (int n = NodeCount; n < VmCount; ++n)
      startNode(n, "d0");
    // The fixture's nodes are in two domains; those of the second one are too
    // few to have readers.
    ASSERT_TRUE(waitFor([&] { return !withRole("waxwing_reader").empty(); }));
    ASSERT_TRUE(waitFor([&] { return !withRole("waxwing_leading").empty(); }));
    std::this_thread::sleep_for(seconds(2));
  }
  void TearDown() override {
    NodeProcessTest::TearDown();
    Proxies.clear();
  }
  Endpoint storeAddress(int n) const override { return address(200 + n); }
  void prepareLinks() override {
    for (int n = 0; n < VmCount; ++n)
      Proxies.push_back(
          std::make_unique<FaultProxy>(Loop, storeAddress(n), address(0)));
  }

  /// Silences the watches of a VM, or all its connections to the store.
  void silence(int n, bool isWatchOnly) {
    runOnPlatform([&] {
      if (isWatchOnly)
        Proxies[n]->silenceWaiting();
      else
        Proxies[n]->silence();
    });
  }
  static std::vector<int> withRole(const std::string &metric) {
    std::vector<int> result;
    for (int n = 0; n < VmCount; ++n)
      if (readMetric(n, metric) == 1)
        result.push_back(n);
    return result;
  }
  void putConfig() {
    std::string config = NodeConfig;
    const std::string first = "\"config_version\":\"00000001\"";
    config.replace(config.find(first), first.size(),
                   fmt::format("\"config_version\":\"{:08x}\"", ++Version));
    runOnPlatform([&] { Store->put("op/config", config); });
  }
  /// @return VMs on which the last configuration is not in force in time
  std::vector<int> lateVms() {
    const auto end = std::chrono::steady_clock::now() + ApplyBound;
    for (;;) {
      std::vector<int> late;
      for (int n = 0; n < VmCount; ++n)
        if (readMetric(n, "waxwing_config_version") != Version)
          late.push_back(n);
      if (late.empty() || std::chrono::steady_clock::now() > end)
        return late;
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

  int Version = 1;
  std::vector<std::unique_ptr<FaultProxy>> Proxies;
};

// CONFIG: a VM whose watch had become silent kept the former configuration for
// up to 26 s, while it counted as fresh since other calls were answered; the
// followers of a reader did, too.
TEST_F(SilentStoreTest, ConfigurationIsInForceInTimeDespiteASilentWatch) {
  const auto silenceAndChange = [&](const std::vector<int> &vms,
                                    const std::string &what) {
    for (const bool isWatchOnly : {true, false}) {
      for (const int n : vms)
        silence(n, isWatchOnly);
      putConfig();
      EXPECT_EQ(lateVms(), std::vector<int>()) << what << isWatchOnly;
      std::this_thread::sleep_for(seconds(1));
    }
  };
  const auto leaders = withRole("waxwing_leading");
  silenceAndChange(leaders, "leader");
  silenceAndChange(withRole("waxwing_reader"), "readers");
  silenceAndChange(withRole("waxwing_reader"), "readers, once more");
  for (int n = 0; n < NodeCount; ++n)
    silenceAndChange({n}, fmt::format("node {}", n));
  int silent = 0;
  for (int n = 0; n < VmCount; ++n)
    silent +=
        static_cast<int>(readMetric(n, "waxwing_store_watches_silent_total"));
  EXPECT_GT(silent, 0);
}

// DRAIN: an upstream that left got requests from a VM whose watch was silent.
TEST_F(SilentStoreTest, RemovalIsInForceInTimeDespiteASilentWatch) {
  constexpr std::size_t leaving = 3;
  std::atomic<int> late = 0;
  std::atomic<bool> isLate = false;
  for (const int n : withRole("waxwing_reader"))
    silence(n, true);
  silence(0, false);
  runOnPlatform([&] {
    Upstreams[leaving]->OnExecution = [&](const StandinRequest &) {
      late += isLate ? 1 : 0;
    };
    Store->remove(fmt::format("servers/i-{}", leaving));
  });
  std::this_thread::sleep_for(ApplyBound);
  isLate = true;
  for (int n = 0; n < 5 * VmCount; ++n)
    EXPECT_EQ(sendPlainRequest(n % VmCount), 200);
  EXPECT_EQ(late, 0);
}

// CONFIG: the same when the store is away for a moment in between.
TEST_F(SilentStoreTest, ConfigurationIsInForceInTimeAfterAnOutage) {
  for (const int n : withRole("waxwing_reader"))
    silence(n, true);
  runOnPlatform([&] { Store->setDown(true); });
  std::this_thread::sleep_for(seconds(2));
  runOnPlatform([&] { Store->setDown(false); });
  silence(0, true);
  putConfig();
  EXPECT_EQ(lateVms(), std::vector<int>());
}

} // namespace
} // namespace waxwing
