/**
 * @file odd_entry_process_test.cpp
 * Entries that another writer left in the list of upstreams while VMs serve.
 */
#include "node_fixture.h"

namespace waxwing {
namespace {

/// Changes of a sound entry, and entries that are none.
std::vector<std::string> oddValues(const std::string &sound) {
  constexpr std::size_t depth = 300'000;
  const std::string nested = std::string(depth, '[') + std::string(depth, ']');
  std::vector<std::string> values{"",
                                  "null",
                                  "[]",
                                  "\xff\xfe",
                                  nested,
                                  std::string(depth, '{'),
                                  R"({"later":)" + nested + "," +
                                      sound.substr(1)};
  for (const auto &[field, odd] :
       {std::pair<std::string, std::string>{R"("slots":4)", R"("slots":1e400)"},
        {R"("slots":4)", R"("slots":4294967300)"},
        {R"("slots":4)", R"("slots":2147483647)"},
        {R"("sequence":1)", R"("sequence":99999999999999999999)"},
        {R"("sequence":1)", R"("sequence":-1)"},
        {R"("address":"127.0.0.1:)", R"("address":"127.0.0.1:9)"},
        {R"("address":"127.0.0.1:)", R"("address":"[::1]:)"},
        {R"("born":)", R"("born":99999999999)"}}) {
    std::string value = sound;
    const auto at = value.find(field);
    EXPECT_NE(at, std::string::npos) << field;
    values.push_back(value.replace(at, field.size(), odd));
  }
  return values;
}

// Guards against VMs that end, stop following the list, or send requests to
// upstreams that do not exist, once an odd entry is in it.
TEST_F(NodeProcessTest, OddEntriesAreLeftOutAndTheOthersHold) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  std::vector<pid_t> pids;
  std::ranges::transform(Nodes, std::back_inserter(pids),
                         [](const auto &node) { return node->pid(); });
  runOnPlatform([&] {
    int count = 0;
    for (const std::string &value : oddValues(Upstreams[3]->entry(false)))
      Store->put("servers/odd-" + std::to_string(++count), value);
    Store->put("servers/odd\r\nX-Injected: 1", Upstreams[4]->entry(false));
    Store->put("op/evacuate/odd", "[[[");
  });
  std::this_thread::sleep_for(seconds(2));
  // Only the new upstream of the service is left.
  runOnPlatform([this] {
    addUpstream(6, "plain", false);
    for (int n = 3; n < 6; ++n)
      Store->remove("servers/i-" + std::to_string(n));
  });
  for (int n = 0; n < NodeCount; ++n) {
    EXPECT_TRUE(waitFor([&] {
      const bool isServed = sendPlainRequest(n) == 200;
      bool isNew = false;
      runOnPlatform([&] { isNew = !Upstreams[6]->executions().empty(); });
      return isServed && isNew;
    }));
    EXPECT_EQ(kill(pids[n], 0), 0);
    EXPECT_EQ(sendKeyedRequest(n, 30000), 200);
  }
  int served = 0;
  for (int n = 0; n < 60; ++n)
    served += sendPlainRequest(n % NodeCount) == 200 ? 1 : 0;
  EXPECT_EQ(served, 60);
}

} // namespace
} // namespace waxwing
