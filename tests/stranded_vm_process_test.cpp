/**
 * @file stranded_vm_process_test.cpp
 * Callers of a VM whose links to all upstreams are cut are served through the
 * other VMs, and each request keeps its promises over the additional hop.
 */
#include "peers/relay_message.h"
#include "scripted_upstream_fixture.h"
#include "stranded_vm_fixture.h"

namespace waxwing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::array Cuts{LinkCut::Silent, LinkCut::Reset, LinkCut::Refused};
/// Time after the cut from which on callers must be served.
constexpr Duration ContactTime = seconds(3);
/// Callers that send at the same time, so that new connections are needed.
constexpr int CallerCount = 4;
constexpr std::size_t UploadSize = 3U << 20;

/// Connection to a node that sends whole requests as text.
class Connection {
public:
  explicit Connection(int port) {
    Socket.connect({asio::ip::make_address("127.0.0.1"),
                    static_cast<std::uint16_t>(port)});
  }
  Peer &peer() { return Stream; }
  void leave() {
    error_code ec;
    Socket.close(ec);
  }

private:
  asio::io_context Io;
  tcp::socket Socket{Io};
  Peer Stream{Socket};
};

int statusOf(const std::string &head) {
  return head.empty() ? 0 : std::stoi(head.substr(9, 3));
}

class StrandedCallersTest : public StrandedVmTest {
protected:
  using Script = std::function<void(Peer &)>;

  void TearDown() override {
    StrandedVmTest::TearDown();
    Servers.clear();
  }

  /// Adds an upstream of service "media" that runs @p script on each
  /// connection, and waits until the nodes know it.
  void addMedia(Script script) {
    StandinUpstreamSettings settings;
    settings.Id = "i-media";
    settings.Service = "media";
    settings.Domain = "d0";
    settings.Address = address(20);
    Servers.push_back(std::make_unique<ThreadedTcpServer>(
        settings.Address.Port,
        [script = std::move(script)](tcp::socket &socket) {
          Peer peer(socket);
          script(peer);
          error_code ec;
          socket.close(ec);
        }));
    runOnPlatform([&] {
      for (int n = 0; n < NodeCount; ++n)
        addLink(n, settings.Address);
      Store->put("servers/" + settings.Id,
                 makeStandinUpstreamEntry(settings, 1, false));
    });
    std::this_thread::sleep_for(milliseconds(1200));
  }

  /// Cuts the links of node @p n and sends requests until it has noticed.
  void strandAndWait(int n, LinkCut cut) {
    strand(n, cut);
    const auto end = std::chrono::steady_clock::now() + ContactTime;
    std::vector<std::jthread> callers;
    callers.reserve(CallerCount);
    for (int k = 0; k < CallerCount; ++k)
      callers.emplace_back([this, n, k, end] {
        for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
          sendRequest(callerPort(n), "POST", "/book/x",
                      fmt::format("w{}-{}-{}", n, k, i), "");
          std::this_thread::sleep_for(milliseconds(20));
        }
      });
  }

  static std::string makeHead(const std::string &path, const std::string &id,
                              const std::string &fields) {
    return fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nRequest-Id: "
                       "{}\r\nDeadline-Ms: 8000\r\n{}\r\n",
                       path, id, fields);
  }
  static std::string makeRelayed(const std::string &service,
                                 const std::string &id) {
    std::string fields = "Content-Length: 0\r\n";
    appendRelayRequest(fields,
                       {5, ServiceId(service), RequestKind::NonIdempotent, 0,
                        milliseconds(500), seconds(2), seconds(2)});
    return makeHead("/book/x", id, fields);
  }
  static int peerPort(int n) { return callerPort(n) + 3; }
  static std::optional<RelayResult> resultOf(const std::string &head) {
    const std::string value = fieldOf(head, "Waxwing-Relay-Result");
    return readRelayResult({{"Waxwing-Relay-Result", value}});
  }

  std::vector<std::unique_ptr<ThreadedTcpServer>> Servers;
  std::mutex Mutex;
};

class StrandedVmCutTest : public StrandedCallersTest,
                          public testing::WithParamInterface<LinkCut> {};

/// Guards against the loss of a VM's callers when the VM has lost its links to
/// the upstreams, though other VMs have theirs.
TEST_P(StrandedVmCutTest, CallersOfAVmWithoutLinksAreServed) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  const int vm = follower();
  strandAndWait(vm, GetParam());
  int served = 0;
  int sent = 0;
  for (int n = 0; n < 30; ++n) {
    served += sendKeyedRequest(vm, n * 2100) == 200 ? 1 : 0;
    served += sendPlainRequest(vm) == 200 ? 1 : 0;
    sent += 2;
  }
  RecordProperty("served", served);
  EXPECT_GE(served * 3, sent * 2) << served << " of " << sent;
  EXPECT_GT(readMetric(vm, "waxwing_relayed_sent_total"), 0);
  // After the cut, requests take the direct way again.
  heal(vm);
  EXPECT_TRUE(waitFor([&] {
    const double before = readMetric(vm, "waxwing_relayed_sent_total");
    return sendPlainRequest(vm) == 200 && sendKeyedRequest(vm, 1) == 200 &&
           readMetric(vm, "waxwing_relayed_sent_total") == before;
  }));
}

INSTANTIATE_TEST_SUITE_P(Cuts, StrandedVmCutTest, testing::ValuesIn(Cuts));

/// Guards against bodies that are lost, changed or held in memory on their way
/// over a second VM.
TEST_F(StrandedCallersTest, UploadsPassThroughAnotherVm) {
  std::vector<std::string> bodies;
  addMedia([&](Peer &peer) {
    for (std::string head; !(head = peer.readHead()).empty();) {
      const std::string length = fieldOf(head, "Content-Length");
      std::string body = length.empty() ? peer.readChunks()
                                        : peer.readBytes(std::stoul(length));
      const std::scoped_lock lock(Mutex);
      bodies.push_back(std::move(body));
      peer.write(makeSuccess(head, "stored"));
    }
  });
  const int vm = follower();
  strandAndWait(vm, LinkCut::Refused);
  std::string body(UploadSize, 0);
  for (std::size_t n = 0; n < body.size(); ++n)
    body[n] = static_cast<char>('a' + (n * 7 + n / 4099) % 26);
  Connection caller(callerPort(vm));
  caller.peer().write(makeHead(
      "/bulk/x", "u1", fmt::format("Content-Length: {}\r\n", body.size())));
  caller.peer().write(body);
  EXPECT_EQ(statusOf(caller.peer().readHead()), 200);
  EXPECT_EQ(caller.peer().readBytes(6), "stored");
  caller.peer().write(
      makeHead("/bulk/x", "u2", "Transfer-Encoding: chunked\r\n"));
  for (std::size_t at = 0; at < body.size(); at += 100000) {
    const std::string piece = body.substr(at, 100000);
    caller.peer().write(fmt::format("{:x}\r\n{}\r\n", piece.size(), piece));
  }
  caller.peer().write("0\r\n\r\n");
  EXPECT_EQ(statusOf(caller.peer().readHead()), 200);
  const std::scoped_lock lock(Mutex);
  ASSERT_EQ(bodies.size(), 2U);
  EXPECT_TRUE(bodies[0] == body);
  EXPECT_TRUE(bodies[1] == body);
}

/// Guards against upstreams that work on for callers that have left the VM
/// behind which another VM sent the request.
TEST_F(StrandedCallersTest, CallerThatLeavesCancelsAtTheUpstream) {
  std::promise<void> started;
  std::promise<void> ended;
  addMedia([&](Peer &peer) {
    if (peer.readHead().empty())
      return; // a connection that tests the links
    started.set_value();
    peer.readToEnd();
    ended.set_value();
  });
  const int vm = follower();
  strandAndWait(vm, LinkCut::Refused);
  Connection caller(callerPort(vm));
  caller.peer().write(makeHead("/lookup/x", "c1", "Content-Length: 0\r\n"));
  ASSERT_EQ(started.get_future().wait_for(seconds(2)),
            std::future_status::ready);
  caller.leave();
  EXPECT_EQ(ended.get_future().wait_for(milliseconds(500)),
            std::future_status::ready);
}

/// Guards against a request that must not run twice being sent again, or being
/// called not run, when the VM that it was passed to dies.
TEST_F(StrandedCallersTest, RequestRunsOnceWhenTheOtherVmDies) {
  std::atomic<int> runs = 0;
  addMedia([&](Peer &peer) {
    if (peer.readHead().empty())
      return;
    ++runs;
    peer.readToEnd();
  });
  const int vm = follower();
  strandAndWait(vm, LinkCut::Refused);
  std::vector<double> before;
  before.reserve(NodeCount);
  for (int n = 0; n < NodeCount; ++n)
    before.push_back(readMetric(n, "waxwing_attempts_total"));
  Connection caller(callerPort(vm));
  caller.peer().write(makeHead("/media/x", "d1", "Content-Length: 0\r\n"));
  ASSERT_TRUE(waitFor([&] { return runs == 1; }));
  for (int n = 0; n < NodeCount; ++n)
    if (n != vm && readMetric(n, "waxwing_attempts_total") > before[n])
      Nodes[n]->signal(SIGKILL);
  EXPECT_EQ(statusOf(caller.peer().readHead()), 502);
  std::this_thread::sleep_for(seconds(2));
  EXPECT_EQ(runs, 1);
}

/// Guards against requests that are passed around, or wait, when no VM has
/// links.
TEST_F(StrandedCallersTest, RequestsAreRefusedAtOnceWhenNoVmHasLinks) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  for (int n = 0; n < NodeCount; ++n)
    strandAndWait(n, LinkCut::Reset);
  std::this_thread::sleep_for(seconds(1));
  const int vm = follower();
  const double relayed = readMetric(vm, "waxwing_relayed_sent_total");
  const auto begin = std::chrono::steady_clock::now();
  for (int n = 0; n < 10; ++n)
    EXPECT_EQ(sendPlainRequest(vm), 503);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, seconds(1));
  EXPECT_LE(readMetric(vm, "waxwing_relayed_sent_total"), relayed + 20);
}

/// Guards against loops: a VM without links must not pass on what another VM
/// passed to it, and must say that the request has not run.
TEST_F(StrandedCallersTest, RelayedRequestsAreNotPassedOn) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  const int vm = follower();
  Connection working(peerPort(vm));
  working.peer().write(makeRelayed("plain", "r1"));
  std::string head = working.peer().readHead();
  EXPECT_EQ(statusOf(head), 200);
  auto result = resultOf(head);
  ASSERT_TRUE(result) << head;
  EXPECT_EQ(result->Number, 5U);
  EXPECT_EQ(result->Execution, Verdict::Ran);
  EXPECT_EQ(result->Deliveries, 1);

  strandAndWait(vm, LinkCut::Refused);
  const double relayed = readMetric(vm, "waxwing_relayed_sent_total");
  Connection stranded(peerPort(vm));
  const auto begin = std::chrono::steady_clock::now();
  stranded.peer().write(makeRelayed("plain", "r2"));
  head = stranded.peer().readHead();
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(300));
  result = resultOf(head);
  ASSERT_TRUE(result) << head;
  EXPECT_EQ(result->Execution, Verdict::NotRun);
  EXPECT_EQ(result->Cause, Reason::NoLinks);
  EXPECT_EQ(result->Deliveries, 0);
  EXPECT_EQ(readMetric(vm, "waxwing_relayed_sent_total"), relayed);
}

/// Guards against a VM that takes requests of others while it shuts down, which
/// would be cut at its end.
TEST_F(StrandedCallersTest, VmThatShutsDownRefusesRelayedRequests) {
  ASSERT_TRUE(waitUntilKeysAreServed(0));
  Connection peer(peerPort(0));
  Nodes[0]->signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(300));
  peer.peer().write(makeRelayed("plain", "s1"));
  const std::string head = peer.peer().readHead();
  const auto result = resultOf(head);
  ASSERT_TRUE(result) << head;
  EXPECT_EQ(result->Execution, Verdict::NotRun);
  EXPECT_EQ(result->Cause, Reason::Draining);
}

/// Guards against callers and upstreams that use the fields of relayed requests
/// for themselves.
TEST_F(StrandedCallersTest, FieldsOfRelayedRequestsAreNotForwarded) {
  std::string received;
  addMedia([&](Peer &peer) {
    for (std::string head; !(head = peer.readHead()).empty();) {
      {
        const std::scoped_lock lock(Mutex);
        received = head;
      }
      peer.write(makeResponse(head, 200,
                              "Backend-Signature: s\r\n"
                              "Waxwing-Relay-Result: 5 0 33 0 0 \r\n",
                              "x"));
    }
  });
  Connection caller(callerPort(0));
  std::string fields = "Content-Length: 0\r\n";
  appendRelayRequest(fields, {5, ServiceId("plain"), RequestKind::Idempotent, 0,
                              milliseconds(500), seconds(9), seconds(9)});
  caller.peer().write(makeHead("/lookup/x", "f1", fields));
  const std::string head = caller.peer().readHead();
  EXPECT_EQ(statusOf(head), 200);
  EXPECT_EQ(head.find("Waxwing-Relay"), std::string::npos) << head;
  const std::scoped_lock lock(Mutex);
  EXPECT_FALSE(received.empty());
  EXPECT_EQ(received.find("Waxwing-Relay"), std::string::npos) << received;
}

} // namespace
} // namespace waxwing
