/**
 * @file upload_process_test.cpp
 * Uploads and large responses through waxwing-node with real sockets: bodies
 * of up to 64 MiB, upstreams that refuse, reset, answer early or send bytes
 * without end, and callers that leave, are slow or are refused while they send.
 */
#include "scripted_upstream_fixture.h"

namespace waxwing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t Megabyte = 1U << 20;
/// The node's [vm] memory setting when it is not given.
constexpr std::size_t DefaultVmMemory = 256 * Megabyte;

char byteAt(std::uint64_t offset) {
  return static_cast<char>('a' + (offset * 7 + offset / 4099) % 26);
}

std::string makeBody(std::size_t size) {
  std::string body(size, 0);
  for (std::size_t n = 0; n < size; ++n)
    body[n] = byteAt(n);
  return body;
}

std::string makeNotExecuted(const std::string &head) {
  return makeResponse(head, 503, "Not-Executed: 1\r\n", "");
}

/// Caller with one connection to a node.
class Caller {
public:
  /// @param receiveBuffer size of the kernel's receive buffer; 0: the default
  explicit Caller(int port, int receiveBuffer = 0) {
    Socket.open(tcp::v4());
    if (receiveBuffer > 0)
      Socket.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
    Socket.connect({asio::ip::make_address("127.0.0.1"),
                    static_cast<std::uint16_t>(port)});
  }
  Peer &peer() { return Connection; }
  /// Closes the connection without reading.
  void leave() {
    error_code ec;
    Socket.close(ec);
  }
  /// Sends the head of an upload.
  void sendHead(const std::string &path, const std::string &framing) {
    Connection.write(fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nRequest-Id: "
                                 "u{}\r\nDeadline-Ms: 60000\r\n{}\r\n\r\n",
                                 path, ++LastId, framing));
  }
  /// Sends an upload with a known length.
  void sendUpload(const std::string &path, const std::string &body) {
    sendHead(path, fmt::format("Content-Length: {}", body.size()));
    Connection.write(body);
  }
  /// @return head and body of the next response
  std::pair<std::string, std::string> readResponse() {
    const std::string head = Connection.readHead();
    const std::string length = fieldOf(head, "Content-Length");
    return {head,
            Connection.readBytes(length.empty() ? 0 : std::stoul(length))};
  }
  static int statusOf(const std::string &head) {
    return head.empty() ? 0 : std::stoi(head.substr(9, 3));
  }

private:
  static inline std::atomic<int> LastId = 0;
  asio::io_context Io;
  tcp::socket Socket{Io};
  Peer Connection{Socket};
};

class UploadProcessTest : public ScriptedUpstreamTest {
protected:
  std::vector<std::string> Bodies; ///< received by scripted upstreams
};

TEST_F(UploadProcessTest, BodiesArriveUnchanged) {
  addScripted(0, [this](Peer &peer) {
    for (std::string head; !(head = peer.readHead()).empty();) {
      const std::string length = fieldOf(head, "Content-Length");
      std::string body = length.empty() ? peer.readChunks()
                                        : peer.readBytes(std::stoul(length));
      {
        const std::scoped_lock lock(Mutex);
        Bodies.push_back(std::move(body));
      }
      peer.write(makeSuccess(head, "stored"));
    }
  });
  waitForUpstreams();
  Caller caller(callerPort(0));
  for (const std::size_t size : {std::size_t{0}, std::size_t{1},
                                 std::size_t{70000}, Megabyte, 64 * Megabyte}) {
    const std::string body = makeBody(size);
    for (const bool isChunked : {false, true}) {
      if (isChunked) {
        caller.sendHead("/bulk/x", "Transfer-Encoding: chunked");
        for (std::size_t at = 0; at < size; at += 100000) {
          const std::string piece = body.substr(at, 100000);
          caller.peer().write(
              fmt::format("{:x}\r\n{}\r\n", piece.size(), piece));
        }
        caller.peer().write("0\r\n\r\n");
      } else {
        caller.sendUpload("/bulk/x", body);
      }
      const auto [head, answer] = caller.readResponse();
      EXPECT_EQ(Caller::statusOf(head), 200) << size;
      EXPECT_EQ(answer, "stored");
      const std::scoped_lock lock(Mutex);
      ASSERT_FALSE(Bodies.empty());
      EXPECT_TRUE(Bodies.back() == body) << size;
      Bodies.clear();
    }
  }
}

/// Pattern: many large uploads while the upstreams do not read.
TEST_F(UploadProcessTest, MemoryIsBoundedWhileUpstreamsDoNotRead) {
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  addScripted(0, [released](Peer &peer) {
    const std::string head = peer.readHead();
    released.wait();
    peer.readBytes(std::stoul("0" + fieldOf(head, "Content-Length")));
    if (!head.empty())
      peer.write(makeSuccess(head, "stored"));
  });
  waitForUpstreams();
  constexpr int uploads = 12;
  constexpr std::size_t size = 16 * Megabyte;
  const std::string body = makeBody(size);
  std::vector<std::future<int>> running;
  running.reserve(uploads);
  for (int n = 0; n < uploads; ++n)
    running.push_back(std::async(std::launch::async, [&body] {
      Caller caller(callerPort(0));
      caller.sendUpload("/bulk/x", body);
      return Caller::statusOf(caller.readResponse().first);
    }));
  std::this_thread::sleep_for(seconds(2));
  release.set_value();
  int served = 0;
  for (auto &status : running)
    served += status.get() == 200 ? 1 : 0;
  EXPECT_GT(served, 0);
  EXPECT_LT(peakMemory(0), DefaultVmMemory / 4);
}

TEST_F(UploadProcessTest, RefusedUploadGoesToTheNextUpstream) {
  for (const int n : {0, 1})
    addScripted(n, [this](Peer &peer) {
      const std::string head = peer.readHead();
      if (head.empty())
        return;
      bool isFirst = false;
      {
        const std::scoped_lock lock(Mutex);
        isFirst = Bodies.empty();
        if (isFirst)
          Bodies.emplace_back("refused");
      }
      if (isFirst) {
        peer.write(makeNotExecuted(head)); // before the body is read
        peer.readToEnd();
        return;
      }
      std::string body =
          peer.readBytes(std::stoul(fieldOf(head, "Content-Length")));
      {
        const std::scoped_lock lock(Mutex);
        Bodies.push_back(std::move(body));
      }
      peer.write(makeSuccess(head, "stored"));
    });
  waitForUpstreams();
  const std::string body = makeBody(300000);
  Caller caller(callerPort(0));
  caller.sendUpload("/media/x", body);
  EXPECT_EQ(Caller::statusOf(caller.readResponse().first), 200);
  const std::scoped_lock lock(Mutex);
  ASSERT_EQ(Bodies.size(), 2U);
  EXPECT_TRUE(Bodies[1] == body);
}

TEST_F(UploadProcessTest, RefusalOfAStreamedUploadIsReadableAndTrue) {
  addScripted(0, [](Peer &peer) {
    const std::string head = peer.readHead();
    if (head.empty())
      return;
    peer.readBytes(100000);
    peer.write(makeNotExecuted(head));
    peer.readToEnd();
  });
  waitForUpstreams();
  Caller caller(callerPort(0));
  caller.sendHead("/bulk/x", fmt::format("Content-Length: {}", 64 * Megabyte));
  // The caller reads only after it has sent a large part of its body.
  caller.peer().write(makeBody(8 * Megabyte));
  const auto [head, body] = caller.readResponse();
  EXPECT_EQ(Caller::statusOf(head), 503);
  EXPECT_EQ(body, "upstream_shed\n");
  EXPECT_EQ(fieldOf(head, "Connection"), "close");
}

TEST_F(UploadProcessTest, UploadThatWasResetIsNeitherRepeatedNorCalledNotRun) {
  std::atomic<int> arrivals = 0;
  for (const int n : {0, 1})
    addScripted(n, [&arrivals](Peer &peer) {
      if (peer.readHead().empty())
        return;
      ++arrivals;
      peer.readBytes(1000);
    });
  waitForUpstreams();
  for (const std::size_t size : {std::size_t{200000}, 8 * Megabyte}) {
    arrivals = 0;
    Caller caller(callerPort(0));
    caller.sendUpload("/bulk/x", makeBody(size));
    EXPECT_EQ(Caller::statusOf(caller.readResponse().first), 502) << size;
    EXPECT_EQ(arrivals, 1) << size;
  }
}

TEST_F(UploadProcessTest, UploadGoesElsewhereWhenNoByteWasDelivered) {
  for (const int n : {0, 1, 2})
    addEntry(n); // nobody listens there
  addScripted(3, [](Peer &peer) {
    for (std::string head; !(head = peer.readHead()).empty();) {
      peer.readBytes(std::stoul(fieldOf(head, "Content-Length")));
      peer.write(makeSuccess(head, "stored"));
    }
  });
  waitForUpstreams();
  for (int n = 0; n < 5; ++n) {
    Caller caller(callerPort(0));
    caller.sendUpload("/bulk/x", makeBody(8 * Megabyte));
    EXPECT_EQ(Caller::statusOf(caller.readResponse().first), 200);
  }
}

/// An upstream may answer before it has read the body and read on later.
TEST_F(UploadProcessTest, UpstreamThatAnswersEarlyGetsNoOtherBytes) {
  std::promise<std::string> received;
  std::atomic<int> requests = 0;
  addScripted(0, [&](Peer &peer) {
    const std::string head = peer.readHead();
    if (head.empty())
      return;
    if (++requests > 1) {
      peer.readBytes(std::stoul(fieldOf(head, "Content-Length")));
      peer.write(makeSuccess(head, "later"));
      return;
    }
    peer.write(makeSuccess(head, "early"));
    std::this_thread::sleep_for(milliseconds(600));
    received.set_value(peer.readToEnd());
  });
  waitForUpstreams();
  const std::string body = makeBody(32 * Megabyte);
  Caller caller(callerPort(0));
  caller.sendUpload("/bulk/x", body);
  const auto [head, answer] = caller.readResponse();
  EXPECT_EQ(Caller::statusOf(head), 200);
  EXPECT_EQ(answer, "early");
  Caller next(callerPort(0));
  next.sendUpload("/bulk/y", "second");
  EXPECT_EQ(next.readResponse().second, "later");
  const std::string rest = received.get_future().get();
  EXPECT_TRUE(body.starts_with(rest)) << rest.size();
}

TEST_F(UploadProcessTest, CallerThatLeavesInMidBodyEndsTheUpload) {
  std::promise<void> ended;
  addScripted(0, [&ended](Peer &peer) {
    if (peer.readHead().empty())
      return;
    peer.readToEnd();
    ended.set_value();
  });
  waitForUpstreams();
  Caller caller(callerPort(0));
  caller.sendHead("/bulk/x", fmt::format("Content-Length: {}", 64 * Megabyte));
  caller.peer().write(makeBody(2 * Megabyte));
  caller.leave();
  EXPECT_EQ(ended.get_future().wait_for(std::chrono::seconds(10)),
            std::future_status::ready);
}

TEST_F(UploadProcessTest, SlowBodyHoldsNoUpstreamAndTimesOut) {
  std::atomic<int> arrivals = 0;
  addScripted(0, [&arrivals](Peer &peer) {
    if (!peer.readHead().empty())
      ++arrivals;
  });
  waitForUpstreams();
  Caller caller(callerPort(0));
  caller.sendHead("/media/x", "Content-Length: 100000");
  caller.peer().write(makeBody(50000));
  const auto [head, body] = caller.readResponse();
  EXPECT_EQ(Caller::statusOf(head), 503);
  EXPECT_EQ(arrivals, 0);
}

TEST_F(UploadProcessTest, RefusalInMidBodyIsReadable) {
  Caller caller(callerPort(0));
  caller.sendHead("/none/x", fmt::format("Content-Length: {}", 64 * Megabyte));
  caller.peer().write(makeBody(16 * Megabyte));
  const auto [head, body] = caller.readResponse();
  EXPECT_EQ(Caller::statusOf(head), 404);
  EXPECT_EQ(body, "unknown_route\n");
  // A service without upstreams is refused before the body has arrived.
  Caller hopeless(callerPort(0));
  hopeless.sendHead("/media/x", "Content-Length: 100000");
  EXPECT_EQ(Caller::statusOf(hopeless.readResponse().first), 503);
}

TEST_F(UploadProcessTest, InterimResponseIsSentUnlessTheUploadIsRefused) {
  addScripted(0, [](Peer &peer) {
    for (std::string head; !(head = peer.readHead()).empty();) {
      peer.readBytes(std::stoul(fieldOf(head, "Content-Length")));
      peer.write(makeSuccess(head, "stored"));
    }
  });
  waitForUpstreams();
  Caller caller(callerPort(0));
  for (int n = 0; n < 2; ++n) {
    caller.sendHead("/media/x",
                    "Expect: 100-continue\r\nContent-Length: 100000");
    EXPECT_EQ(Caller::statusOf(caller.peer().readHead()), 100);
    caller.peer().write(makeBody(100000));
    EXPECT_EQ(Caller::statusOf(caller.readResponse().first), 200);
  }
  caller.sendHead("/none/x", "Expect: 100-continue\r\nContent-Length: 100000");
  EXPECT_EQ(Caller::statusOf(caller.readResponse().first), 404);
}

/// The kernel would give up a caller that acknowledges without reading.
TEST_F(UploadProcessTest, CallerThatPausesGetsTheWholeResponse) {
  const std::string body = makeBody(32 * Megabyte);
  addScripted(0, [&body](Peer &peer) {
    if (const std::string head = peer.readHead(); !head.empty()) {
      peer.write(makeSuccess(head, body));
      peer.readToEnd(); // a reset would discard what is not yet delivered
    }
  });
  waitForUpstreams();
  Caller caller(callerPort(0));
  caller.sendUpload("/bulk/x", "short");
  std::this_thread::sleep_for(seconds(3));
  const auto [head, answer] = caller.readResponse();
  EXPECT_EQ(Caller::statusOf(head), 200);
  EXPECT_TRUE(answer == body) << answer.size();
  EXPECT_LT(peakMemory(0), DefaultVmMemory / 4);
}

/// Pattern: a planned stop while callers still receive responses that their
/// upstreams have finished.
TEST_F(UploadProcessTest, StoppingNodeSendsTheRestOfItsResponses) {
  const std::string body = makeBody(450000);
  addScripted(0, [&body](Peer &peer) {
    for (std::string head; !(head = peer.readHead()).empty();) {
      peer.readBytes(std::stoul(fieldOf(head, "Content-Length")));
      peer.write(makeSuccess(head, body));
    }
  });
  waitForUpstreams();
  Caller caller(callerPort(0), 4096);
  caller.sendUpload("/bulk/x", "short");
  std::this_thread::sleep_for(milliseconds(300));
  Nodes[0]->signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(3500));
  const auto [head, answer] = caller.readResponse();
  EXPECT_EQ(Caller::statusOf(head), 200);
  EXPECT_TRUE(answer == body) << answer.size();
}

/// Upstreams in trouble send bytes that are no response, without end.
TEST_F(UploadProcessTest, BytesWithoutEndDoNotFillTheMemory) {
  const std::string filler(65536, 'x');
  const std::string longRefusal = fmt::format(
      "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: {}\r\n\r\n",
      99999999999);
  const std::vector<std::string> starts = {
      "",                        // no line end
      "HTTP/1.1 200 OK\r\nA: ",  // a field without end
      "HTTP/1.1 500 X\r\n\r\n",  // failure, body by close
      "HTTP/1.1 200 OK\r\n\r\n", // unsigned, body by close
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", // chunk head
      longRefusal};
  std::atomic<std::size_t> next = 0;
  std::atomic<std::size_t> closed = 0;
  addScripted(0, [&](Peer &peer) {
    if (peer.readHead().empty())
      return;
    const std::size_t at = next++ % (starts.size() + 1);
    // The last kind is a series of interim responses.
    std::string bytes = filler;
    if (at == starts.size()) {
      bytes.clear();
      while (bytes.size() < filler.size())
        bytes += "HTTP/1.1 100 Continue\r\n\r\n";
    } else if (!peer.write(starts[at])) {
      ++closed;
      return;
    }
    while (peer.write(bytes)) {
    }
    ++closed;
  });
  waitForUpstreams();
  for (std::size_t n = 0; n < 2 * (starts.size() + 1); ++n) {
    const int status = sendRequest(callerPort(0), n % 2 == 0 ? "GET" : "POST",
                                   n % 2 == 0 ? "/lookup/x" : "/media/x",
                                   "e" + std::to_string(n), "");
    EXPECT_NE(status, 200);
    EXPECT_NE(status, 0);
  }
  EXPECT_TRUE(waitFor([&] { return closed == next; }));
  EXPECT_LT(peakMemory(0), DefaultVmMemory / 4);
  EXPECT_EQ(sendPlainRequest(0), 200);
}

} // namespace
} // namespace waxwing
