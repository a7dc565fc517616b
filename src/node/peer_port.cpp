/**
 * @file peer_port.cpp
 * UDP socket for the datagrams between the VMs.
 */
#include "node/peer_port.h"

#include "node/node_clock.h"
#include "node/node_log.h"

namespace waxwing {

namespace asio = boost::asio;
using boost::system::error_code;

absl::Status UdpPeerPort::open(const Endpoint &address, Handler onDatagram) {
  OnDatagram = std::move(onDatagram);
  error_code ec;
  const auto ip = asio::ip::make_address(address.Address, ec);
  if (!ec)
    Socket.open(asio::ip::udp::v4(), ec);
  if (!ec)
    Socket.bind({ip, address.Port}, ec);
  if (!ec)
    Socket.non_blocking(true, ec);
  if (ec)
    return absl::UnavailableError(
        fmt::format("cannot receive datagrams on {}: {}",
                    formatEndpoint(address), ec.message()));
  receive();
  return absl::OkStatus();
}

void UdpPeerPort::send(const Address &target, const std::string &bytes) {
  error_code ec;
  Socket.send_to(asio::buffer(bytes), target, 0, ec);
  if (ec)
    logLine(LogPriority::Routine, bootNow(), "datagram_not_sent", "error={}",
            sanitizeForLog(ec.message())); // hellos are repeated
}

void UdpPeerPort::receive() {
  Socket.async_receive_from(asio::buffer(Buffer), Sender,
                            [this](const error_code &ec, std::size_t size) {
                              if (ec == asio::error::operation_aborted)
                                return;
                              if (!ec)
                                OnDatagram(std::string(Buffer.data(), size),
                                           Sender);
                              receive();
                            });
}

} // namespace waxwing
