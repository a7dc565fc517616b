/**
 * @file threaded_tcp_server.h
 * TCP server for tests that serves each connection on a thread of its own.
 */
#ifndef WAXWING_TESTS_SUPPORT_THREADED_TCP_SERVER_H
#define WAXWING_TESTS_SUPPORT_THREADED_TCP_SERVER_H

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace waxwing {

/// Accepts connections on loopback until it is destroyed.
class ThreadedTcpServer {
public:
  using Tcp = boost::asio::ip::tcp;
  using Error = boost::system::error_code;
  /// Serves one connection; runs on its own thread.
  using Handler = std::function<void(Tcp::socket &)>;

  ThreadedTcpServer(std::uint16_t port, Handler handler)
      : Serve(std::move(handler)),
        Acceptor(
            Context,
            Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port)),
        Thread([this] { acceptAll(); }) {}

  ~ThreadedTcpServer() {
    IsStopping = true;
    Tcp::socket waker(Context);
    Error ec;
    waker.connect(Acceptor.local_endpoint(), ec);
    Thread.join();
    {
      const std::scoped_lock lock(Mutex);
      for (const auto &socket : Sockets)
        socket->shutdown(Tcp::socket::shutdown_both, ec);
    }
    for (std::thread &thread : Threads)
      thread.join();
  }
  ThreadedTcpServer(const ThreadedTcpServer &) = delete;
  ThreadedTcpServer &operator=(const ThreadedTcpServer &) = delete;

  int connectionCount() const {
    const std::scoped_lock lock(Mutex);
    return static_cast<int>(Sockets.size());
  }

private:
  void acceptAll() {
    while (!IsStopping) {
      auto socket = std::make_shared<Tcp::socket>(Context);
      Error ec;
      Acceptor.accept(*socket, ec);
      if (ec || IsStopping)
        continue;
      const std::scoped_lock lock(Mutex);
      Sockets.push_back(socket);
      Threads.emplace_back([this, socket] { Serve(*socket); });
    }
  }

  Handler Serve;
  boost::asio::io_context Context;
  Tcp::acceptor Acceptor;
  mutable std::mutex Mutex;
  std::vector<std::shared_ptr<Tcp::socket>> Sockets;
  std::vector<std::thread> Threads;
  std::atomic<bool> IsStopping{false};
  std::thread Thread;
};

} // namespace waxwing

#endif
