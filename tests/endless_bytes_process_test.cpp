/**
 * @file endless_bytes_process_test.cpp
 * Peers that send bytes without end, in each part of a message: the VM's memory
 * stays bounded, and it goes on serving other callers.
 */
#include "scripted_upstream_fixture.h"

#include <array>

namespace waxwing {
namespace {

/// Memory of the smallest VM of the users' deployments, bytes.
constexpr std::size_t MaxMemory = 160'000'000;
/// Target latency of the route of the other callers, and the longest time after
/// a route's timeout until a caller has its response.
constexpr Duration MaxLatency = milliseconds(500);
/// Connections on which a peer sends without end at the same time.
constexpr int ConnectionCount = 4;
/// Time that the callers of endless responses state in their requests.
constexpr Duration CallerDeadline = milliseconds(2000);
/// A response that is passed on when its caller's deadline comes may go on for
/// this time; callers that still receive get the rest of a slow download.
constexpr Duration MaxResponseOvertime = seconds(5);
/// Timeout of the routes whose upstream sends without end.
constexpr Duration RouteTimeout = milliseconds(1500);

/// A message whose last part is repeated without end.
struct EndlessMessage {
  const char *Name;
  std::string Start; ///< "%ID" stands for the request's id
  std::string Repeated;
};

std::string filler() { return std::string(65536, 'x'); }

/// @param ids fields by which the response is that of the request
std::vector<EndlessMessage> endlessResponses(const std::string &ids) {
  const std::string ok = "HTTP/1.1 200 OK\r\n" + ids;
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"no response", "", filler()},
      {"status line", "HTTP/1.1 200 ", filler()},
      {"field value", ok + "A: ", filler()},
      {"field name", ok, filler()},
      {"fields", ok, "A: b\r\n"},
      {"interim responses", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
      {"interim fields", "HTTP/1.1 103 Early Hints\r\n", "A: b\r\n"},
      {"body with a length", ok + "Content-Length: 99999999999\r\n\r\n",
       filler()},
      {"body without a length", ok + "\r\n", filler()},
      {"chunks", chunked, "4\r\nabcd\r\n"},
      {"chunk", chunked + "fffffffff\r\n", filler()},
      {"chunk size", chunked, std::string(65536, '0')},
      {"chunk extension", chunked + "4;", filler()},
      {"trailer", chunked + "0\r\n", "A: b\r\n"},
      {"trailer value", chunked + "0\r\nA: ", filler()},
      {"body of a refusal",
       "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n" + ids +
           "Content-Length: 99999999999\r\n\r\n",
       filler()},
      {"body of a failure",
       "HTTP/1.1 500 X\r\n" + ids + "Content-Length: 99999999999\r\n\r\n",
       filler()},
      {"response to another request",
       "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nBackend-Signature: s\r\n"
       "Transfer-Encoding: chunked\r\n\r\n",
       "4\r\nabcd\r\n"},
  };
}

/// Sends @p message until the peer closes the connection.
void sendEndless(Peer &peer, EndlessMessage message, const std::string &id) {
  if (const auto at = message.Start.find("%ID"); at != std::string::npos)
    message.Start.replace(at, 3, id);
  std::string block;
  while (block.size() < 65536)
    block += message.Repeated;
  if (peer.write(message.Start))
    while (peer.write(block)) {
    }
}

class EndlessBytesTest : public ScriptedUpstreamTest {
protected:
  /// Sends a request and receives until the connection ends.
  static void receiveAll(const std::string &id) {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    boost::system::error_code ec;
    socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                    static_cast<std::uint16_t>(callerPort(0))},
                   ec);
    boost::asio::write(
        socket,
        boost::asio::buffer(fmt::format(
            "GET /lookup/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {}\r\n"
            "Deadline-Ms: {}\r\nConnection: close\r\n\r\n",
            id, toMilliseconds(CallerDeadline))),
        ec);
    std::vector<char> buffer(1 << 20);
    while (!ec)
      socket.read_some(boost::asio::buffer(buffer), ec);
  }
  /// Sends requests to an upstream that is not at fault until @p end.
  void expectServed(int node, std::chrono::steady_clock::time_point end,
                    const std::string &what) {
    int requests = 0;
    while (std::chrono::steady_clock::now() < end) {
      const auto begin = std::chrono::steady_clock::now();
      EXPECT_EQ(sendPlainRequest(node), 200) << what;
      EXPECT_LT(std::chrono::steady_clock::now() - begin, MaxLatency) << what;
      ++requests;
    }
    EXPECT_GT(requests, 0);
    EXPECT_LT(peakMemory(node), MaxMemory) << what;
  }

  void TearDown() override {
    std::printf("peak memory of node 0: %zu kB\n", peakMemory(0) / 1000);
    ScriptedUpstreamTest::TearDown();
  }
};

// Guards against a VM that keeps all bytes that a faulty upstream sends without
// end, runs out of memory and ends, and with it the requests of other callers.
TEST_F(EndlessBytesTest, OfAnUpstreamLeaveOtherCallersServed) {
  const auto responses =
      endlessResponses("Request-Id: %ID\r\nBackend-Signature: s\r\n");
  std::atomic<std::size_t> form = 0;
  addScripted(0, [&](Peer &peer) {
    const std::string head = peer.readHead();
    if (!head.empty())
      sendEndless(peer, responses[form], fieldOf(head, "Request-Id"));
  });
  waitForUpstreams();
  for (; form < responses.size(); ++form) {
    const auto begin = std::chrono::steady_clock::now();
    std::vector<std::thread> callers;
    callers.reserve(ConnectionCount);
    for (int n = 0; n < ConnectionCount; ++n)
      callers.emplace_back([&, n] {
        const auto sentAt = std::chrono::steady_clock::now();
        receiveAll(fmt::format("e{}-{}", form.load(), n));
        EXPECT_LT(std::chrono::steady_clock::now() - sentAt,
                  CallerDeadline + MaxResponseOvertime + MaxLatency)
            << responses[form].Name;
      });
    expectServed(0, begin + RouteTimeout, responses[form].Name);
    for (std::thread &caller : callers)
      caller.join();
  }
}

/// One VM reaches the store through a server that can send without end.
class EndlessStoreTest : public EndlessBytesTest {
protected:
  static constexpr int StoreNode = 0;

  Endpoint storeAddress(int n) const override {
    return n == StoreNode ? address(99) : address(0);
  }
  /// Forwards calls to the store, unless its responses have no end.
  void prepareLinks() override {
    View = std::make_unique<ThreadedTcpServer>(
        storeAddress(StoreNode).Port, [this](auto &socket) {
          Peer peer(socket);
          for (std::string head; !(head = peer.readHead()).empty();) {
            const std::string size = fieldOf(head, "Content-Length");
            if (!size.empty())
              head += peer.readBytes(std::stoul(size));
            if (const int form = Form; form >= 0) {
              sendEndless(peer, Responses[form], "");
              return;
            }
            if (!peer.write(forward(head)))
              return;
          }
        });
  }
  void TearDown() override {
    // A watch that the view has forwarded waits until the store ends it.
    Nodes.clear();
    runOnPlatform([this] { Store->setDown(true); });
    std::this_thread::sleep_for(milliseconds(200));
    EndlessBytesTest::TearDown();
    View.reset();
  }

  const std::vector<EndlessMessage> Responses =
      endlessResponses("Store-Era: 1\r\n");
  std::atomic<int> Form = -1; ///< index in Responses; -1: whole responses

private:
  static std::string forward(const std::string &call) {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    boost::system::error_code ec;
    socket.connect(
        {boost::asio::ip::make_address("127.0.0.1"), address(0).Port}, ec);
    Peer store(socket);
    store.write(call);
    const std::string head = store.readHead();
    const std::string size = fieldOf(head, "Content-Length");
    return size.empty() ? head : head + store.readBytes(std::stoul(size));
  }

  std::unique_ptr<ThreadedTcpServer> View;
};

// Guards against the same for the store, whose responses are kept until they
// are complete.
TEST_F(EndlessStoreTest, OfTheStoreLeaveCallersServed) {
  ASSERT_EQ(sendPlainRequest(StoreNode), 200);
  for (std::size_t n = 0; n < Responses.size(); ++n) {
    Form = static_cast<int>(n);
    expectServed(StoreNode, std::chrono::steady_clock::now() + seconds(2),
                 Responses[n].Name);
  }
  Form = -1;
  // The VM follows the store again.
  runOnPlatform([&] { Store->remove("servers/i-3"); });
  EXPECT_TRUE(waitFor([&] {
    bool isKnown = false;
    double revision = 0;
    runOnPlatform([&] { revision = Store->revisionOf("op/config"); });
    isKnown = readMetric(StoreNode, "waxwing_store_revision") > revision;
    return isKnown && sendPlainRequest(StoreNode) == 200;
  }));
}

// Guards against the same for other VMs, which pass requests on.
TEST_F(EndlessBytesTest, OfAnotherVmLeaveCallersServed) {
  const std::string post = "POST /book/x HTTP/1.1\r\nHost: h\r\nRequest-Id: p"
                           "\r\nDeadline-Ms: 900\r\n";
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<EndlessMessage> requests = {
      {"no request", "", filler()},
      {"target", "POST /", filler()},
      {"field value", post + "A: ", filler()},
      {"fields", post, "A: b\r\n"},
      {"body", post + "Content-Length: 99999999999\r\n\r\n", filler()},
      {"chunks", chunked, "4\r\nabcd\r\n"},
      {"chunk extension", chunked + "4;", filler()},
      {"trailer", chunked + "0\r\n", "A: b\r\n"},
      {"requests", "", post + "Content-Length: 0\r\n\r\n"},
  };
  for (const EndlessMessage &request : requests) {
    std::vector<std::thread> senders;
    senders.reserve(ConnectionCount);
    std::atomic<bool> isStopping = false;
    for (int n = 0; n < ConnectionCount; ++n)
      senders.emplace_back([&] {
        boost::asio::io_context io;
        boost::asio::ip::tcp::socket socket(io);
        boost::system::error_code ec;
        socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                        static_cast<std::uint16_t>(callerPort(0) + 3)},
                       ec);
        ASSERT_FALSE(ec) << ec.message();
        socket.non_blocking(true);
        std::string bytes = request.Start;
        while (!isStopping && (!ec || ec == boost::asio::error::would_block)) {
          while (bytes.size() < 65536)
            bytes += request.Repeated;
          bytes.erase(0, socket.write_some(boost::asio::buffer(bytes), ec));
          if (ec)
            std::this_thread::sleep_for(milliseconds(1));
        }
      });
    expectServed(0, std::chrono::steady_clock::now() + seconds(2),
                 request.Name);
    isStopping = true;
    for (std::thread &sender : senders)
      sender.join();
  }
}

} // namespace
} // namespace waxwing
