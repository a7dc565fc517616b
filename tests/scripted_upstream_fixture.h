/**
 * @file scripted_upstream_fixture.h
 * Test fixture with waxwing-node processes before upstreams that are scripts on
 * real sockets.
 */
#ifndef WAXWING_TESTS_SCRIPTED_UPSTREAM_FIXTURE_H
#define WAXWING_TESTS_SCRIPTED_UPSTREAM_FIXTURE_H

#include "node_fixture.h"
#include "support/threaded_tcp_server.h"

#include <boost/asio/read_until.hpp>

namespace waxwing {

/// Blocking HTTP peer on one socket.
class Peer {
public:
  explicit Peer(boost::asio::ip::tcp::socket &socket) : Socket(socket) {}

  /// @return the next head, or "" at the end of the stream
  std::string readHead() {
    boost::system::error_code ec;
    const std::size_t n = boost::asio::read_until(
        Socket, boost::asio::dynamic_buffer(Input), "\r\n\r\n", ec);
    if (ec)
      return "";
    std::string head = Input.substr(0, n);
    Input.erase(0, n);
    return head;
  }
  /// @return up to @p size bytes, fewer at the end of the stream
  std::string readBytes(std::size_t size) {
    boost::system::error_code ec;
    if (Input.size() < size)
      boost::asio::read(Socket, boost::asio::dynamic_buffer(Input),
                        boost::asio::transfer_exactly(size - Input.size()), ec);
    std::string bytes = Input.substr(0, size);
    Input.erase(0, bytes.size());
    return bytes;
  }
  std::string readToEnd() {
    boost::system::error_code ec;
    boost::asio::read(Socket, boost::asio::dynamic_buffer(Input), ec);
    return std::exchange(Input, {});
  }
  /// Reads a body in chunks.
  std::string readChunks() {
    std::string body;
    for (;;) {
      boost::system::error_code ec;
      const std::size_t n = boost::asio::read_until(
          Socket, boost::asio::dynamic_buffer(Input), "\r\n", ec);
      if (ec)
        return body;
      const std::size_t size = std::stoul(Input.substr(0, n), nullptr, 16);
      Input.erase(0, n);
      body += readBytes(size);
      readBytes(2);
      if (size == 0)
        return body;
    }
  }
  /// @return false if the peer has closed the connection
  bool write(const std::string &bytes) {
    boost::system::error_code ec;
    boost::asio::write(Socket, boost::asio::buffer(bytes), ec);
    return !ec;
  }
  /// Ends the sending direction, which does not drop what was written.
  void end() {
    boost::system::error_code ec;
    Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    readToEnd();
  }

private:
  boost::asio::ip::tcp::socket &Socket;
  std::string Input;
};

inline std::string fieldOf(const std::string &head, const std::string &name) {
  const auto at = head.find(name + ": ");
  if (at == std::string::npos)
    return "";
  const auto from = at + name.size() + 2;
  return head.substr(from, head.find('\r', from) - from);
}

inline std::string makeResponse(const std::string &head, int status,
                                const std::string &fields,
                                const std::string &body) {
  return fmt::format("HTTP/1.1 {} X\r\nRequest-Id: {}\r\n{}Content-Length: "
                     "{}\r\n\r\n{}",
                     status, fieldOf(head, "Request-Id"), fields, body.size(),
                     body);
}

inline std::string makeSuccess(const std::string &head,
                               const std::string &body) {
  return makeResponse(head, 200, "Backend-Signature: s\r\n", body);
}

/// Nodes before upstreams of service "media" whose connections run scripts.
class ScriptedUpstreamTest : public NodeProcessTest {
protected:
  using Script = std::function<void(Peer &)>;

  /// Adds an upstream of service "media" that runs @p script on each
  /// connection.
  void addScripted(int n, Script script) {
    serve(n, std::move(script));
    addEntry(n);
  }
  /// Runs @p script on each connection to the address of upstream @p n.
  void serve(int n, Script script) {
    const Endpoint where = address(60 + n);
    Servers.push_back(std::make_unique<ThreadedTcpServer>(
        where.Port,
        [script = std::move(script)](boost::asio::ip::tcp::socket &socket) {
          Peer peer(socket);
          script(peer);
          boost::system::error_code ec;
          socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
          socket.close(ec);
        }));
  }
  void addEntry(int n, const std::string &service = "media") {
    StandinUpstreamSettings settings;
    settings.Id = "i-media-" + std::to_string(n);
    settings.Service = service;
    settings.Domain = "d0";
    settings.Address = address(60 + n);
    const std::string entry = makeStandinUpstreamEntry(settings, 1, false);
    runOnPlatform([&] { Store->put("servers/" + settings.Id, entry); });
  }
  /// Waits until node 0 has an upstream of service "media".
  void waitForUpstreams() { std::this_thread::sleep_for(milliseconds(1200)); }
  /// @return peak memory of a node in bytes
  std::size_t peakMemory(int node) const {
    std::ifstream status(fmt::format("/proc/{}/status", Nodes[node]->pid()));
    for (std::string line; std::getline(status, line);)
      if (line.starts_with("VmHWM:"))
        return std::stoul(line.substr(6)) * 1024;
    return 0;
  }

  std::vector<std::unique_ptr<ThreadedTcpServer>> Servers;
  std::mutex Mutex;
};

} // namespace waxwing

#endif
