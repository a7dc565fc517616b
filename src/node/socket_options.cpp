/**
 * @file socket_options.cpp
 * Socket options that detect lost peers quickly.
 */
#include "node/socket_options.h"

#include <fmt/format.h>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

namespace waxwing {
namespace {

/// Time in ms without acknowledgement of sent data after which the peer counts
/// as lost. Two retransmissions fit into it.
constexpr int TcpUserTimeoutMs = 1000;
/// The same for peers that may pause reading: the kernel applies the timeout to
/// peers that acknowledge but do not read, too.
constexpr int FullWindowTimeoutMs = 15000;
/// TCP keep-alive on idle connections: first probe and interval in s, and
/// number of unanswered probes after which the peer counts as lost.
constexpr int KeepAliveIdleSeconds = 2;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbeCount = 2;

void setOption(int fd, int level, int name, int value) {
  if (setsockopt(fd, level, name, &value, sizeof(value)) != 0)
    spdlog::debug("event=socket_option_failed level={} option={} errno={}",
                  level, name, errno);
}

} // namespace

void setStreamOptions(boost::asio::ip::tcp::socket &socket) {
  boost::system::error_code ec;
  socket.non_blocking(true, ec);
  if (ec)
    spdlog::warn("event=socket_option_failed option=non_blocking error={}",
                 ec.message());
  const int fd = socket.native_handle();
  setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, TcpUserTimeoutMs);
  setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbeCount);
}

void setPeerReading(boost::asio::ip::tcp::socket &socket, bool isReading) {
  setOption(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
            isReading ? TcpUserTimeoutMs : FullWindowTimeoutMs);
}

absl::Status listenOn(boost::asio::ip::tcp::acceptor &acceptor,
                      const Endpoint &address, int backlog) {
  using boost::asio::ip::tcp;
  boost::system::error_code ec;
  const auto ip = boost::asio::ip::make_address(address.Address, ec);
  if (!ec)
    acceptor.open(tcp::v4(), ec);
  if (!ec)
    acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    acceptor.bind({ip, address.Port}, ec);
  if (!ec)
    acceptor.listen(backlog, ec);
  if (ec)
    return absl::UnavailableError(fmt::format(
        "cannot listen on {}: {}", formatEndpoint(address), ec.message()));
  return absl::OkStatus();
}

} // namespace waxwing
