/**
 * @file upstream_client_test.cpp
 * UpstreamClient against an upstream on real sockets that truncates, delays or
 * duplicates responses, or sends those of other requests. Guards against a
 * wrong execution verdict and against responses that reach the wrong request.
 */
#include "fake_tcp_upstream.h"
#include "router/upstream_client.h"
#include "support/threaded_tcp_server.h"
#include "table/reasons.h"
#include "upstream/upstream_protocol.h"

#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <future>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwing {
namespace {

constexpr std::uint16_t FirstPort = 14000;
constexpr std::uint16_t UnusedPort = 14999;
constexpr Duration AttemptTimeout = milliseconds(200);

/// Sends commands to an UpstreamClient and collects the results.
class ClientDriver {
public:
  explicit ClientDriver(std::uint16_t port)
      : To{"127.0.0.1", port}, Client(8, [this] { wake(); }) {}
  ~ClientDriver() { Client.stop(); }

  AttemptId start(const std::string &target, const std::string &method = "POST",
                  bool isForwarded = false, std::string body = "") {
    auto message = std::make_shared<HttpRequest>();
    message->Method = method;
    message->Target = target;
    message->Body = std::move(body);
    const AttemptId id(++LastAttempt);
    AttemptTarget to = UpstreamTarget{UpstreamId("u"), To, std::nullopt, {}};
    if (isForwarded)
      to = RouterTarget{VmId("vm2"), To, TierId("free")};
    Client.commands().push(StartAttempt{id, RequestId(id.Value), to,
                                        readClock() + AttemptTimeout,
                                        CallerId(), message});
    return id;
  }
  void cancel(AttemptId id) { Client.commands().push(CancelAttempt{id}); }

  /// @return the result of @p id
  AttemptEnded awaitResult(AttemptId id) {
    std::unique_lock lock(Mutex);
    ResultArrived.wait_for(lock, std::chrono::seconds(10), [&] {
      Client.attemptResults().drain([&](AttemptEnded &&end) {
        const AttemptId key = end.Attempt;
        Results[key] = std::move(end);
      });
      return Results.contains(id);
    });
    return Results.at(id);
  }

  AttemptEnded run(const std::string &target,
                   const std::string &method = "POST", bool isForwarded = false,
                   std::string body = "") {
    return awaitResult(start(target, method, isForwarded, std::move(body)));
  }

private:
  void wake() {
    const std::scoped_lock lock(Mutex);
    ResultArrived.notify_all();
  }

  Endpoint To;
  std::mutex Mutex;
  std::condition_variable ResultArrived;
  std::map<AttemptId, AttemptEnded> Results;
  std::uint64_t LastAttempt = 0;
  UpstreamClient Client;
};

struct FaultCase {
  const char *Fault;
  Reason Cause;
  Verdict ExecutionVerdict;
  bool IsForwarded = false;
  const char *Method = "POST";
};

constexpr FaultCase FaultCases[] = {
    {"whole", Reason::None, Verdict::Ran},
    {"said-close", Reason::None, Verdict::Ran},
    {"interim", Reason::None, Verdict::Ran},
    {"head", Reason::None, Verdict::Ran, false, "HEAD"},
    {"close", Reason::ConnectionLost, Verdict::MayHaveRun},
    {"garbage", Reason::CutOffAnswer, Verdict::MayHaveRun},
    {"cut-off", Reason::CutOffAnswer, Verdict::MayHaveRun},
    {"cut-off-head", Reason::CutOffAnswer, Verdict::MayHaveRun},
    {"cut-off-chunk", Reason::CutOffAnswer, Verdict::MayHaveRun},
    {"unframed", Reason::CutOffAnswer, Verdict::MayHaveRun},
    {"oversize", Reason::CutOffAnswer, Verdict::MayHaveRun},
    {"crossed", Reason::CrossedAnswer, Verdict::MayHaveRun},
    {"crossed-late", Reason::CrossedAnswer, Verdict::MayHaveRun},
    {"late", Reason::UpstreamTimeout, Verdict::MayHaveRun},
    {"silent", Reason::UpstreamTimeout, Verdict::MayHaveRun},
    {"shed", Reason::UpstreamShed, Verdict::NotRun},
    {"router-refused", Reason::QueueFull, Verdict::NotRun, true},
    {"router-unknown", Reason::UpstreamTimeout, Verdict::MayHaveRun, true},
    {"whole", Reason::CutOffAnswer, Verdict::MayHaveRun, true},
    // Only a router's response may carry an execution verdict.
    {"router-refused", Reason::None, Verdict::Ran, false},
};

TEST(UpstreamClient, ReportsVerdictOfEachFault) {
  FakeTcpUpstream upstream(FirstPort);
  ClientDriver client(FirstPort);
  for (const FaultCase &it : FaultCases) {
    SCOPED_TRACE(it.Fault);
    const std::string target = std::string("/1/") + it.Fault;
    const AttemptEnded end = client.run(target, it.Method, it.IsForwarded);
    EXPECT_EQ(end.Cause, it.Cause);
    EXPECT_EQ(end.ExecutionVerdict, it.ExecutionVerdict);
    // Data left on a connection by the fault must not reach the next request.
    const AttemptEnded next = client.run("/2/whole");
    EXPECT_EQ(next.Cause, Reason::None);
    EXPECT_EQ(next.Response.Body, "/2/whole");
  }
}

TEST(UpstreamClient, ForwardsRetryAfterOfARouter) {
  FakeTcpUpstream upstream(FirstPort + 1);
  ClientDriver client(FirstPort + 1);
  EXPECT_EQ(client.run("/1/router-refused", "POST", true).RetryAfter,
            Duration(seconds(3)));
}

TEST(UpstreamClient, ReportsNotRunWhenConnectFails) {
  ClientDriver client(UnusedPort);
  const AttemptEnded end = client.run("/1/whole");
  EXPECT_EQ(end.Cause, Reason::ConnectFailed);
  EXPECT_EQ(end.ExecutionVerdict, Verdict::NotRun);
}

TEST(UpstreamClient, ReportsNotRunWhenThePoolIsFull) {
  FakeTcpUpstream upstream(FirstPort + 2);
  ClientDriver client(FirstPort + 2);
  std::vector<AttemptId> held(8);
  std::ranges::generate(held, [&, n = 0]() mutable {
    return client.start("/" + std::to_string(n++) + "/late");
  });
  const AttemptEnded end = client.run("/9/whole");
  EXPECT_EQ(end.Cause, Reason::SendFailed);
  EXPECT_EQ(end.ExecutionVerdict, Verdict::NotRun);
  EXPECT_FALSE(upstream.hasReceived("/9/whole"));
  for (const AttemptId &id : held)
    client.awaitResult(id);
}

TEST(UpstreamClient, DoesNotReuseAConnectionWithUnexpectedData) {
  FakeTcpUpstream upstream(FirstPort + 3);
  ClientDriver client(FirstPort + 3);
  EXPECT_EQ(client.run("/1/whole").Cause, Reason::None);
  EXPECT_EQ(client.run("/2/stray").Cause, Reason::None);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  const AttemptEnded end = client.run("/3/whole");
  EXPECT_EQ(end.Response.Body, "/3/whole");
  EXPECT_EQ(upstream.connections(), 2);
}

TEST(UpstreamClient, NeverReportsNotRunWhenAnOpenConnectionIsClosed) {
  FakeTcpUpstream upstream(FirstPort + 7);
  ClientDriver client(FirstPort + 7);
  for (int n = 0; n < 50; ++n) {
    EXPECT_EQ(client.run("/" + std::to_string(n) + "/answer-close").Cause ==
                  Reason::None,
              true);
    // The close may arrive before or after the next request is written.
    const std::string target = "/" + std::to_string(n) + "/whole";
    const AttemptEnded end = client.run(target);
    EXPECT_NE(end.ExecutionVerdict, Verdict::NotRun);
    if (end.Cause != Reason::None) {
      EXPECT_EQ(end.Cause, Reason::ConnectionLost);
    }
  }
}

TEST(UpstreamClient, NeverReportsNotRunWhenTheResponsePrecedesTheRequestBody) {
  FakeTcpUpstream upstream(FirstPort + 4);
  ClientDriver client(FirstPort + 4);
  const AttemptEnded end =
      client.run("/1/early-close", "POST", false, std::string(16u << 20, 'x'));
  EXPECT_NE(end.ExecutionVerdict, Verdict::NotRun);
}

/// Reads one request without a body.
/// @return its request id, or "" at the end of the stream
std::string readRequestId(boost::asio::ip::tcp::socket &socket) {
  std::string input;
  boost::system::error_code ec;
  boost::asio::read_until(socket, boost::asio::dynamic_buffer(input),
                          "\r\n\r\n", ec);
  if (ec)
    return "";
  const auto at = input.find(std::string(RequestIdHeader) + ": ") +
                  RequestIdHeader.size() + 2;
  return input.substr(at, input.find('\r', at) - at);
}

/// @return a field with the request id, or "" without one
std::string idField(const std::string &id) {
  return id.empty() ? "" : fmt::format("{}: {}\r\n", RequestIdHeader, id);
}

void writeBytes(boost::asio::ip::tcp::socket &socket,
                const std::string &bytes) {
  boost::system::error_code ec;
  boost::asio::write(socket, boost::asio::buffer(bytes), ec);
}

/// REFUSED, TWICE: an upstream sent an earlier refusal once more, with or
/// without an id, in front of the response to the next request.
TEST(UpstreamClient, RepeatedRefusalIsNoProof) {
  for (const bool hasId : {true, false}) {
    const std::uint16_t port = FirstPort + (hasId ? 20 : 21);
    const ThreadedTcpServer upstream(
        port, [hasId](boost::asio::ip::tcp::socket &socket) {
          std::string refusal;
          for (std::string id; !(id = readRequestId(socket)).empty();) {
            if (refusal.empty()) {
              writeBytes(socket,
                         fmt::format("HTTP/1.1 503 X\r\n{}{}: {}\r\n"
                                     "Content-Length: 0\r\n\r\n",
                                     idField(id), RefusalHeader,
                                     reasonInfo(Reason::UpstreamShed).Name));
              refusal = fmt::format("HTTP/1.1 503 X\r\n{}{}: {}\r\n"
                                    "Content-Length: 0\r\n\r\n",
                                    idField(hasId ? id : ""), RefusalHeader,
                                    reasonInfo(Reason::UpstreamShed).Name);
              continue;
            }
            writeBytes(socket, refusal);
            std::this_thread::sleep_for(milliseconds(20));
            writeBytes(socket, fmt::format("HTTP/1.1 200 OK\r\n{}Content-"
                                           "Length: 0\r\n\r\n",
                                           idField(id)));
          }
        });
    ClientDriver client(port);
    EXPECT_EQ(client.run("/1").ExecutionVerdict, Verdict::NotRun);
    const AttemptEnded end = client.run("/2");
    EXPECT_EQ(end.Cause, Reason::CrossedAnswer) << hasId;
    EXPECT_EQ(end.ExecutionVerdict, Verdict::MayHaveRun) << hasId;
  }
}

/// MIXED, ORDER: an upstream stopped at any byte of a response and closed.
TEST(UpstreamClient, ResponseCutAtAnyByteIsNotComplete) {
  constexpr std::size_t headAndBody = 60;
  std::atomic<std::size_t> cut = 0;
  std::atomic<std::size_t> size = headAndBody;
  const ThreadedTcpServer upstream(
      FirstPort + 22, [&](boost::asio::ip::tcp::socket &socket) {
        const std::string response =
            fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: 5\r\n\r\nhello",
                        idField(readRequestId(socket)));
        size = response.size();
        writeBytes(socket, response.substr(0, cut));
        boost::system::error_code ec;
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
      });
  ClientDriver client(FirstPort + 22);
  for (std::size_t n = 0; n < size; ++n) {
    cut = n;
    const AttemptEnded end = client.run("/1");
    EXPECT_EQ(end.Cause, n == 0 ? Reason::ConnectionLost : Reason::CutOffAnswer)
        << n;
    EXPECT_EQ(end.ExecutionVerdict, Verdict::MayHaveRun) << n;
  }
  cut = size.load();
  EXPECT_EQ(client.run("/1").Cause, Reason::None);
}

TEST(UpstreamClient, CancellationIsSentToTheUpstream) {
  FakeTcpUpstream upstream(FirstPort + 5);
  ClientDriver client(FirstPort + 5);
  const AttemptId id = client.start("/1/late");
  while (!upstream.hasReceived("/1/late"))
    std::this_thread::yield();
  client.cancel(id);
  const AttemptEnded end = client.awaitResult(id);
  EXPECT_EQ(end.Cause, Reason::Cancelled);
  EXPECT_EQ(end.ExecutionVerdict, Verdict::MayHaveRun);
  for (int n = 0; n < 200 && !upstream.hasReceived("/waxwing/cancel"); ++n)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  EXPECT_TRUE(upstream.hasReceived("/waxwing/cancel"));
}

/// Concurrent requests with random faults: none receives another's response,
/// and only requests that the upstream never received are reported as not run.
RC_GTEST_PROP(UpstreamClient,
              NeverMixesResponsesOrReportsNotRunForAReceivedRequest, ()) {
  static FakeTcpUpstream upstream(FirstPort + 6);
  static ClientDriver client(FirstPort + 6);
  static int runNumber = 0;
  const auto faults = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("whole", "answer-close", "interim", "close",
                                    "garbage", "cut-off", "cut-off-head",
                                    "unframed", "crossed", "crossed-late",
                                    "twice", "stray", "shed", "oversize"));
  std::vector<std::pair<std::string, AttemptId>> started;
  ++runNumber;
  for (std::size_t n = 0; n < faults.size(); ++n) {
    const std::string target = "/" + std::to_string(runNumber) + "-" +
                               std::to_string(n) + "/" + faults[n];
    started.emplace_back(target, client.start(target));
  }
  for (const auto &[target, id] : started) {
    const AttemptEnded end = client.awaitResult(id);
    if (end.Cause == Reason::None)
      RC_ASSERT(end.Response.Body == target);
    if (end.ExecutionVerdict == Verdict::NotRun &&
        end.Cause != Reason::UpstreamShed)
      RC_ASSERT(!upstream.hasReceived(target));
  }
}

} // namespace
} // namespace waxwing
