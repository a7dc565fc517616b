/**
 * @file node_soak_proxy.h
 * TCP proxy on loopback that delays, holds, drops or resets connections, each
 * direction for itself.
 */
#ifndef WAXWING_TESTS_NODE_SOAK_PROXY_H
#define WAXWING_TESTS_NODE_SOAK_PROXY_H

#include "core/endpoint_type.h"
#include "core/time_type.h"

#include <algorithm>
#include <array>
#include <utility>

// Boost 1.74 needs <utility> first.
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <exception>
#include <memory>
#include <vector>

namespace waxwing {

namespace asio = boost::asio;
using asio::ip::tcp;

using Task = asio::awaitable<void>;

/// Runs @p task on @p loop; its exceptions end the loop's run().
inline void spawnTask(asio::io_context &loop, Task task) {
  asio::co_spawn(loop, std::move(task), [](const std::exception_ptr &error) {
    if (error)
      std::rethrow_exception(error);
  });
}

inline Task sleepFor(asio::io_context &loop, Duration span) {
  boost::system::error_code ec;
  asio::steady_timer timer(loop, span);
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

inline void resetSocket(tcp::socket &socket) {
  boost::system::error_code ec;
  socket.set_option(asio::socket_base::linger(true, 0), ec);
  socket.close(ec); // the descriptor is released even on error
}

inline tcp::endpoint toTcp(const Endpoint &address) {
  return {asio::ip::make_address(address.Address), address.Port};
}

/// What a proxy does with the bytes of one direction.
struct ProxyFlow {
  Duration Delay{};       ///< added to each piece of at most 16 KiB
  bool IsHolding = false; ///< nothing passes until it is unset or reset()
};

/// Forwards the connections to one address to another one.
class FaultProxy {
public:
  FaultProxy(asio::io_context &loop, const Endpoint &address,
             const Endpoint &target)
      : Loop(loop), Address(toTcp(address)), Target(toTcp(target)),
        Acceptor(loop) {
    open();
  }

  ProxyFlow ToTarget;
  ProxyFlow ToCaller;

  /// Resets all connections; bytes on their way are dropped.
  void reset() {
    for (const auto &weak : std::exchange(Links, {}))
      if (const auto link = weak.lock())
        link->reset();
  }
  /// Lets nothing more pass on the present connections whose caller waits for a
  /// response. They stay open and acknowledge what is sent; others work.
  void silenceWaiting() {
    for (const auto &weak : Links)
      if (const auto link = weak.lock())
        link->IsSilent |= link->IsWaiting;
  }
  /// The same for all present connections.
  void silence() {
    for (const auto &weak : Links)
      if (const auto link = weak.lock())
        link->IsSilent = true;
  }
  /// Refuses further connections and resets the present ones.
  void close() {
    boost::system::error_code ec;
    Acceptor.close(ec); // the descriptor is released even on error
    reset();
  }
  /// Refuses further connections; the present ones stay.
  void refuse() {
    boost::system::error_code ec;
    Acceptor.close(ec); // the descriptor is released even on error
  }
  /// Lets further connections hang while they are opened, as if their packets
  /// were lost; the present ones stay.
  void hang() {
    refuse();
    Acceptor.open(Address.protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Acceptor.bind(Address);
    Acceptor.listen(0);
    // The kernel drops opening packets while the queue of the acceptor is full.
    for (int n = 0; n < FillerCount; ++n) {
      Fillers.push_back(std::make_shared<tcp::socket>(Loop));
      Fillers.back()->async_connect(
          Address, [filler = Fillers.back()](const auto & /*ec*/) {});
    }
  }
  /// Listens again after close(), refuse() or hang().
  void open() {
    if (!Fillers.empty())
      refuse();
    for (const auto &filler : std::exchange(Fillers, {}))
      resetSocket(*filler);
    if (Acceptor.is_open())
      return;
    Acceptor.open(Address.protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Acceptor.bind(Address);
    Acceptor.listen();
    accept();
  }

private:
  static constexpr Duration HoldCheckInterval = milliseconds(10);
  static constexpr int FillerCount = 4; ///< more than fit into the queue

  /// A forwarded connection.
  struct Link {
    explicit Link(asio::io_context &loop) : Caller(loop), Upstream(loop) {}
    void reset() {
      resetSocket(Caller);
      resetSocket(Upstream);
    }
    tcp::socket Caller;
    tcp::socket Upstream;
    bool IsSilent = false;  ///< nothing passes until reset()
    bool IsWaiting = false; ///< the caller has sent the last bytes
  };

  void accept() {
    const auto link = std::make_shared<Link>(Loop);
    Acceptor.async_accept(
        link->Caller, [this, link](const boost::system::error_code &ec) {
          if (ec)
            return;
          std::erase_if(Links, [](const auto &it) { return it.expired(); });
          Links.push_back(link);
          spawnTask(Loop, connect(link));
          accept();
        });
  }

  Task connect(std::shared_ptr<Link> link) {
    boost::system::error_code ec;
    co_await link->Upstream.async_connect(
        Target, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      link->reset();
      co_return;
    }
    link->Caller.set_option(tcp::no_delay(true), ec);
    link->Upstream.set_option(tcp::no_delay(true), ec);
    spawnTask(Loop, forward(link, link->Caller, link->Upstream, ToTarget));
    co_await forward(link, link->Upstream, link->Caller, ToCaller);
  }

  /// @param link keeps both sockets alive
  Task forward(std::shared_ptr<Link> link, tcp::socket &from, tcp::socket &to,
               const ProxyFlow &flow) {
    std::array<char, 16384> buffer{};
    for (;;) {
      boost::system::error_code ec;
      const std::size_t n = co_await from.async_read_some(
          asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
      link->IsWaiting = &to == &link->Upstream;
      if (flow.Delay > Duration())
        co_await sleepFor(Loop, flow.Delay);
      while ((flow.IsHolding || link->IsSilent) && link->Caller.is_open())
        co_await sleepFor(Loop, HoldCheckInterval);
      if (ec == asio::error::eof) {
        to.shutdown(tcp::socket::shutdown_send, ec);
        co_return;
      }
      if (!ec)
        co_await asio::async_write(
            to, asio::buffer(buffer.data(), n),
            asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        link->reset();
        co_return;
      }
    }
  }

  asio::io_context &Loop;
  tcp::endpoint Address;
  tcp::endpoint Target;
  tcp::acceptor Acceptor;
  std::vector<std::weak_ptr<Link>> Links;
  /// Connections that fill the acceptor's queue while hang() applies.
  std::vector<std::shared_ptr<tcp::socket>> Fillers;
};

} // namespace waxwing

#endif
