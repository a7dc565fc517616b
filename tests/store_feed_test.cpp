/**
 * @file store_feed_test.cpp
 * Changes that a reader passes on after a load of several pages was repeated.
 */
#include "node/store_feed.h"
#include "scripted_upstream_fixture.h"

#include <gtest/gtest.h>
#include <mutex>

namespace waxwing {
namespace {

/// @return a port of the loopback interface that is free now
std::uint16_t findFreePort() {
  boost::asio::io_context io;
  return boost::asio::ip::tcp::acceptor(
             io, {boost::asio::ip::make_address("127.0.0.1"), 0})
      .local_endpoint()
      .port();
}

std::string makePage(const std::string &key, const std::string &value,
                     int revision, bool hasMore, int storeAt) {
  return fmt::format(R"({{"items":[{{"key":"{}","value":"{}","revision":{},)"
                     R"("create_revision":1,"lease":0}}],"has_more":{},)"
                     R"("store_revision":{}}})",
                     key, value, revision, hasMore, storeAt);
}

// CONFIG, DRAIN: followers missed the changes of a page for good when the load
// failed at a later page and was repeated.
TEST(StoreFeed, RepeatedLoadPassesOnTheChangesOfTheFailedOne) {
  const std::uint16_t port = findFreePort();
  int loads = 0;
  ThreadedTcpServer server(port, [&loads](auto &socket) {
    Peer peer(socket);
    const auto answer = [&peer](int status, const std::string &body) {
      peer.write(fmt::format("HTTP/1.1 {} X\r\nStore-Era: 1\r\n"
                             "Content-Length: {}\r\n\r\n{}",
                             status, body.size(), body));
    };
    for (std::string head; !(head = peer.readHead()).empty();) {
      const bool isWatch = head.find("kv-watch") != std::string::npos;
      const bool isSecondPage = head.find("after=") != std::string::npos;
      if (isWatch)
        answer(loads == 1 ? 410 : 503, "{}");
      else if (!isSecondPage)
        answer(200, ++loads == 1 ? makePage("s/a", "QQ==", 5, true, 10)
                                 : makePage("s/a", "Qg==", 15, true, 20));
      else if (loads == 2)
        answer(503, "{}");
      else
        answer(200, makePage("s/b", "QQ==", 6, false, loads == 1 ? 10 : 20));
    }
  });
  boost::asio::io_context loop;
  HttpCallClient calls(loop);
  StoreHealth health;
  NodeStoreClient store(loop, calls, health, {"127.0.0.1", port}, true);
  StoreFeed feed(loop, store, health, {"s/", Duration()});
  std::vector<ChangeBatch> batches;
  feed.OnBatchRead = [&](const ChangeBatch &batch) {
    batches.push_back(batch);
    if (batches.size() == 2)
      loop.stop();
  };
  std::map<std::string, std::string> own;
  feed.start(
      [&](const platform::StoreChange &change) {
        own[change.Key] = change.Value.value_or("");
      },
      [] {});
  loop.run_for(std::chrono::seconds(6));
  ASSERT_EQ(batches.size(), 2U);
  EXPECT_EQ(own["s/a"], "B"); // the reader has the change
  EXPECT_EQ(counterOf(batches[1].Base), 10U);
  EXPECT_EQ(counterOf(batches[1].To), 20U);
  ASSERT_EQ(batches[1].Changes.size(), 1U); // its followers must get it
  EXPECT_EQ(batches[1].Changes[0].Key, "s/a");
}

// DRAIN: after a watch that failed, a VM loaded all keys over the link that had
// just failed, before it learned that an upstream leaves.
TEST(StoreFeed, WatchThatWasCutContinuesAtItsRevision) {
  const std::uint16_t port = findFreePort();
  std::vector<std::string> calls;
  std::mutex mutex;
  ThreadedTcpServer server(port, [&](auto &socket) {
    Peer peer(socket);
    const auto answer = [&peer](int status, const std::string &body) {
      peer.write(fmt::format("HTTP/1.1 {} X\r\nStore-Era: 1\r\n"
                             "Content-Length: {}\r\n\r\n{}",
                             status, body.size(), body));
    };
    for (std::string head; !(head = peer.readHead()).empty();) {
      const bool isWatch = head.find("kv-watch") != std::string::npos;
      std::size_t count = 0;
      {
        const std::scoped_lock lock(mutex);
        calls.push_back(isWatch ? "watch" : "load");
        count = calls.size();
      }
      if (!isWatch)
        answer(200, makePage("s/a", "QQ==", 5, false, 10));
      else if (count == 2)
        peer.end(); // the first watch is cut
      else if (count == 3) {
        // The store may tell only at the end of a watch that its history is
        // gone.
        EXPECT_NE(head.find("wait_ms=300"), std::string::npos) << head;
        answer(200, R"({"events":[{"key":"s/a","revision":12,"removed":true}],)"
                    R"("store_revision":12})");
      } else
        answer(410, "{}"); // the history is gone
    }
  });
  boost::asio::io_context loop;
  HttpCallClient client(loop);
  StoreHealth health;
  NodeStoreClient store(loop, client, health, {"127.0.0.1", port}, true);
  StoreFeed feed(loop, store, health, {"s/", Duration()});
  Time removedAt;
  int loads = 0;
  feed.OnBatchRead = [&](const ChangeBatch &batch) {
    if (counterOf(batch.To) == 12 && removedAt == Time())
      removedAt = bootNow();
    if (feed.source().Path == ChangePath::Load && ++loads == 2)
      loop.stop();
  };
  feed.start([](const platform::StoreChange &) {}, [] {});
  loop.run_for(std::chrono::seconds(6));
  const std::scoped_lock lock(mutex);
  EXPECT_EQ(calls, (std::vector<std::string>{"load", "watch", "watch", "watch",
                                             "load"}));
  EXPECT_NE(removedAt, Time());
}

} // namespace
} // namespace waxwing
