/**
 * @file fake_tcp_upstream.h
 * Upstream on a real socket whose fault for each request is chosen by the
 * request's target. Records the requests received.
 */
#ifndef WAXWING_TESTS_FAKE_TCP_UPSTREAM_H
#define WAXWING_TESTS_FAKE_TCP_UPSTREAM_H

#include "support/threaded_tcp_server.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <mutex>
#include <set>
#include <string>

namespace waxwing {

/// Serves each connection on its own thread. The last path segment of a
/// request's target names the fault, the one before it identifies the request.
class FakeTcpUpstream {
public:
  using Tcp = ThreadedTcpServer::Tcp;
  using Error = ThreadedTcpServer::Error;

  explicit FakeTcpUpstream(std::uint16_t port)
      : Server(port, [this](Tcp::socket &socket) { serve(socket); }) {}

  /// @return whether the header of a request with @p target was received
  bool hasReceived(const std::string &target) const {
    const std::scoped_lock lock(Mutex);
    return ReceivedTargets.contains(target);
  }
  int connections() const { return Server.connectionCount(); }

private:
  void serve(Tcp::socket &socket) {
    std::string buffer;
    for (;;) {
      Error ec;
      const std::size_t head = boost::asio::read_until(
          socket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n", ec);
      if (ec)
        return;
      const std::string text = buffer.substr(0, head);
      buffer.erase(0, head);
      const std::string target = textBetween(text, " ", " ");
      {
        const std::scoped_lock lock(Mutex);
        ReceivedTargets.insert(target);
      }
      const std::string id = textBetween(text, "X-Waxwing-Request: ", "\r\n");
      if (!respond(socket, target, id, buffer, text)) {
        socket.close(ec);
        return;
      }
    }
  }

  static std::string textBetween(const std::string &text,
                                 const std::string &open,
                                 const std::string &close) {
    const auto from = text.find(open);
    if (from == std::string::npos)
      return "";
    const auto start = from + open.size();
    return text.substr(start, text.find(close, start) - start);
  }

  static std::string makeResponse(const std::string &id,
                                  const std::string &body) {
    return "HTTP/1.1 200 OK\r\nX-Waxwing-Request: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  static void write(Tcp::socket &socket, const std::string &text) {
    Error ec;
    boost::asio::write(socket, boost::asio::buffer(text), ec);
  }

  static void sleepMs(int ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  }

  /// Responds with the fault that the last segment of @p target names. The
  /// "crossed" faults, "twice" and "stray" send a response that carries the id
  /// of another request.
  /// @return whether the connection stays open
  bool respond(Tcp::socket &socket, const std::string &target,
               const std::string &id, std::string &buffer,
               const std::string &head) {
    const std::string fault = target.substr(target.rfind('/') + 1);
    const std::string response = makeResponse(id, target);
    if (fault == "early-close") {
      write(socket, response);
      return false;
    }
    const std::string lengthText =
        textBetween(head, "Content-Length: ", "\r\n");
    const std::size_t length = lengthText.empty() ? 0 : std::stoul(lengthText);
    Error ec;
    if (buffer.size() < length)
      boost::asio::read(socket, boost::asio::dynamic_buffer(buffer),
                        boost::asio::transfer_exactly(length - buffer.size()),
                        ec);
    buffer.erase(0, length);
    if (fault == "close")
      return false;
    if (fault == "garbage") {
      write(socket, "\x01\x02 no http\r\n\r\n");
      return false;
    }
    if (fault == "cut-off") {
      write(socket, response.substr(0, response.size() - 3));
      return false;
    }
    if (fault == "cut-off-head") {
      write(socket, response.substr(0, 20));
      return false;
    }
    if (fault == "unframed") {
      write(socket, "HTTP/1.1 200 OK\r\nX-Waxwing-Request: " + id +
                        "\r\nConnection: close\r\n\r\n" + target);
      return false;
    }
    if (fault == "cut-off-chunk") {
      write(socket, "HTTP/1.1 200 OK\r\nX-Waxwing-Request: " + id +
                        "\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "5\r\nhello\r\n");
      return false;
    }
    if (fault == "crossed") {
      write(socket, makeResponse("other-7", "another caller's secret"));
      return true;
    }
    if (fault == "crossed-late") {
      write(socket, makeResponse("other-7", "another caller's secret"));
      sleepMs(20);
      write(socket, response);
      return true;
    }
    if (fault == "twice") {
      write(socket,
            response + makeResponse("other-7", "another caller's secret"));
      return true;
    }
    if (fault == "stray") {
      write(socket, response);
      sleepMs(5);
      write(socket, makeResponse("other-7", "another caller's secret"));
      return true;
    }
    if (fault == "interim") {
      write(socket, "HTTP/1.1 100 Continue\r\n\r\n"
                    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
                        response);
      return true;
    }
    if (fault == "head") {
      write(socket, response.substr(0, response.size() - target.size()));
      return true;
    }
    if (fault == "late")
      sleepMs(400);
    if (fault == "silent")
      return true;
    if (fault == "shed") {
      write(socket, "HTTP/1.1 503 Busy\r\nX-Waxwing-Request: " + id +
                        "\r\nX-Waxwing-Refusal: upstream_shed\r\n"
                        "Content-Length: 0\r\n\r\n");
      return true;
    }
    if (fault == "oversize") {
      write(socket, "HTTP/1.1 200 OK\r\nX-Waxwing-Request: " + id +
                        "\r\nContent-Length: 999999999999\r\n\r\nabc");
      return false;
    }
    if (fault == "router-refused" || fault == "router-unknown") {
      const bool isRefused = fault == "router-refused";
      write(socket, "HTTP/1.1 503 Busy\r\nX-Waxwing-Request: " + id +
                        "\r\nX-Waxwing-Verdict: " +
                        (isRefused ? "not-run" : "may-have-run") +
                        "\r\nX-Waxwing-Reason: " +
                        (isRefused ? "queue_full" : "upstream_timeout") +
                        "\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    if (fault == "said-close") {
      write(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n" +
                        response.substr(response.find("X-Waxwing")));
      return false;
    }
    write(socket, response);
    return fault != "answer-close";
  }

  mutable std::mutex Mutex;
  std::set<std::string> ReceivedTargets;
  ThreadedTcpServer Server;
};

} // namespace waxwing

#endif
