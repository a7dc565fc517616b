/**
 * @file node_fixture.h
 * Test fixture with waxwing-node processes and a stand-in platform that runs
 * on a thread of the test process.
 */
#ifndef WAXWING_TESTS_NODE_FIXTURE_H
#define WAXWING_TESTS_NODE_FIXTURE_H

#include "standin/platform_base.h"
#include "support/child_process.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace waxwing {

inline constexpr std::uint16_t NodeBasePort = 27100;
inline constexpr const char *NodeConfig =
    R"({"config_version":"00000001","base_version":"00000000","routes":{
      "keys":{"hostname":"h","prefix":"/keys/","kind":"idempotent",
        "timeout_s":2,"target_latency_s":0.5,"priority":1,"max_attempts":2,
        "service":"divided"},
      "book":{"hostname":"h","prefix":"/book/","kind":"non_idempotent",
        "timeout_s":2,"target_latency_s":0.5,"priority":0,"max_attempts":1,
        "service":"plain"},
      "media":{"hostname":"h","prefix":"/media/","kind":"upload",
        "timeout_s":1.5,"target_latency_s":0.5,"priority":0,"max_attempts":3,
        "service":"media"},
      "bulk":{"hostname":"h","prefix":"/bulk/","kind":"upload",
        "timeout_s":60,"target_latency_s":9,"priority":1,"max_attempts":1,
        "service":"media"},
      "lookup":{"hostname":"h","prefix":"/lookup/","kind":"idempotent",
        "timeout_s":1.5,"target_latency_s":0.5,"priority":0,"max_attempts":2,
        "service":"media"}},
    "services":{
      "media":{"health_path":"/healthz","max_connections":100},
      "divided":{"health_path":"/healthz","max_connections":100,
        "sharded":true},
      "plain":{"health_path":"/healthz","max_connections":100}},
    "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
      "header_timeout_s":3,"idle_timeout_s":15}})";

/// Runs the platform's store and upstreams on one thread and the nodes as
/// child processes.
class NodeProcessTest : public testing::Test {
protected:
  void SetUp() override {
    Store = std::make_unique<StandinPlatformStore>(Loop, address(0));
    // Upstreams[n] has the id i-n.
    for (int n = 0; n < 6; ++n)
      addUpstream(n, n < 3 ? "divided" : "plain", n < 3);
    Store->put("op/config", NodeConfig);
    prepareLinks();
    Thread = std::thread([this] { Loop.run(); });
    for (int n = 0; n < NodeCount; ++n)
      startNode(n);
    for (int n = 0; n < NodeCount; ++n)
      ASSERT_TRUE(waitFor([&] {
        return sendRequest(readyPort(n), "GET", "/", "", "") == 200;
      }));
  }

  void TearDown() override {
    Nodes.clear();
    Loop.stop();
    Thread.join();
    std::filesystem::remove_all(Folder);
  }

  static constexpr int NodeCount = 3;

  static Endpoint address(int offset) {
    return {"127.0.0.1", static_cast<std::uint16_t>(NodeBasePort + offset)};
  }
  /// Called before the nodes start.
  virtual void prepareLinks() {}
  /// @return address at which node @p n reaches the store
  virtual Endpoint storeAddress(int /*n*/) const { return address(0); }
  static int callerPort(int node) { return NodeBasePort + 30 + node * 10; }
  static int readyPort(int node) { return callerPort(node) + 1; }

  void addUpstream(int n, const std::string &service, bool isDivided) {
    StandinUpstreamSettings settings;
    settings.Id = "i-" + std::to_string(n);
    settings.Service = service;
    settings.Domain = "d" + std::to_string(n % 2);
    settings.Address = address(1 + n);
    settings.IsDividedByKey = isDivided;
    Upstreams.push_back(std::make_unique<StandinUpstreamHost>(Loop, settings));
    Store->put("servers/" + settings.Id, Upstreams.back()->entry(false));
  }

  void startNode(int n) { startNode(n, fmt::format("d{}", n % 2)); }
  void startNode(int n, const std::string &domain) {
    std::filesystem::create_directories(Folder);
    const std::string path = Folder + "/node" + std::to_string(n) + ".ini";
    std::ofstream(path) << fmt::format(
        "[vm]\nname = vm{0}\ndomain = {1}\n[listen]\ncallers = "
        "127.0.0.1:{2}\nready = 127.0.0.1:{3}\nmetrics = 127.0.0.1:{4}\n"
        "peers = 127.0.0.1:{5}\n[store]\naddress = {6}\n",
        n, domain, callerPort(n), readyPort(n), callerPort(n) + 2,
        callerPort(n) + 3, formatEndpoint(storeAddress(n)));
    Nodes.resize(std::max<std::size_t>(Nodes.size(), n + 1));
    Nodes[n] = std::make_unique<ChildProcess>(
        std::vector<std::string>{"waxwing-node", "--settings", path},
        Folder + "/node" + std::to_string(n) + ".log");
  }

  /// Runs @p action on the platform's thread and waits for its end.
  template <class F> void runOnPlatform(F action) {
    std::promise<void> done;
    boost::asio::post(Loop, [&] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }

  /// Polls @p condition for up to 15 s.
  template <class F> static bool waitFor(F condition) {
    const auto end = std::chrono::steady_clock::now() + seconds(15);
    while (std::chrono::steady_clock::now() < end) {
      if (condition())
        return true;
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }

  /// Sends one request on a new connection.
  /// @return HTTP status, or 0 if there was no response
  static int sendRequest(int port, const std::string &method,
                         const std::string &path, const std::string &id,
                         const std::string &key) {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    boost::system::error_code ec;
    socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                    static_cast<std::uint16_t>(port)},
                   ec);
    if (ec)
      return 0;
    std::string request =
        fmt::format("{} {} HTTP/1.1\r\nHost: h\r\nRequest-Id: {}\r\n"
                    "Deadline-Ms: 2000\r\nContent-Length: 0\r\n"
                    "Connection: close\r\n",
                    method, path, id);
    if (!key.empty())
      request += "Shard-Key: " + key + "\r\n";
    boost::asio::write(socket, boost::asio::buffer(request + "\r\n"), ec);
    std::string response;
    boost::asio::read(socket, boost::asio::dynamic_buffer(response), ec);
    int code = 0;
    return std::sscanf(response.c_str(), "HTTP/1.1 %d", &code) == 1 ? code : 0;
  }

  /// @return value of @p name on the node's metrics page, or -1 if absent or
  ///   the node is not running
  static double readMetric(int node, const std::string &name) {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    boost::system::error_code ec;
    socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                    static_cast<std::uint16_t>(callerPort(node) + 2)},
                   ec);
    if (ec)
      return -1;
    boost::asio::write(
        socket,
        boost::asio::buffer(
            std::string("GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n")),
        ec);
    std::string page;
    boost::asio::read(socket, boost::asio::dynamic_buffer(page), ec);
    const auto at = page.find("\n" + name + " ");
    return at == std::string::npos
               ? -1
               : std::stod(page.substr(at + name.size() + 2));
  }

  /// Waits until all nodes know each other.
  static bool waitUntilNodesAreKnown() {
    return waitFor([] {
      for (int n = 0; n < NodeCount; ++n)
        if (readMetric(n, "waxwing_vms") != NodeCount)
          return false;
      return true;
    });
  }

  /// Sends a request to the service divided by key (each upstream serves only
  /// the keys it owns).
  /// @return HTTP status
  int sendKeyedRequest(int node, int key) {
    return sendRequest(callerPort(node), "GET", "/keys/x",
                       "k" + std::to_string(++LastId), std::to_string(key));
  }
  /// Sends a request to the service that any upstream can serve.
  /// @return HTTP status
  int sendPlainRequest(int node) {
    return sendRequest(callerPort(node), "POST", "/book/x",
                       "b" + std::to_string(++LastId), "");
  }
  /// Waits until keys at both ends and in the middle of the key space are
  /// served.
  bool waitUntilKeysAreServed(int node) {
    return waitFor([&] {
      return sendKeyedRequest(node, 0) == 200 &&
             sendKeyedRequest(node, 30000) == 200 &&
             sendKeyedRequest(node, 65535) == 200;
    });
  }

  boost::asio::io_context Loop;
  std::unique_ptr<StandinPlatformStore> Store;
  std::vector<std::unique_ptr<StandinUpstreamHost>> Upstreams;
  std::vector<std::unique_ptr<ChildProcess>> Nodes;
  std::thread Thread;
  std::string Folder = fmt::format("/tmp/waxwing-node-test-{}", getpid());
  int LastId = 0;
};

} // namespace waxwing

#endif
