/**
 * @file peer_port.h
 * Datagrams between the VMs.
 */
#ifndef WAXWING_NODE_PEER_PORT_H
#define WAXWING_NODE_PEER_PORT_H

#include "core/endpoint_type.h"

#include <absl/status/status.h>
#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>

namespace waxwing {

/// Sends and receives datagrams. Any of them may be lost, late or repeated.
class PeerPort {
public:
  using Address = boost::asio::ip::udp::endpoint;
  using Handler =
      std::function<void(const std::string &bytes, const Address &sender)>;

  PeerPort() = default;
  PeerPort(const PeerPort &) = delete;
  PeerPort &operator=(const PeerPort &) = delete;
  virtual ~PeerPort() = default;

  /// Starts to receive at @p address.
  /// @return Unavailable if the address cannot be bound
  virtual absl::Status open(const Endpoint &address, Handler onDatagram) = 0;
  virtual void send(const Address &target, const std::string &bytes) = 0;
};

/// Port on a UDP socket.
class UdpPeerPort : public PeerPort {
public:
  explicit UdpPeerPort(boost::asio::io_context &loop) : Socket(loop) {}

  absl::Status open(const Endpoint &address, Handler onDatagram) override;
  void send(const Address &target, const std::string &bytes) override;

private:
  void receive();

  boost::asio::ip::udp::socket Socket;
  std::array<char, 65536> Buffer{};
  Address Sender; ///< of the datagram in Buffer
  Handler OnDatagram;
};

} // namespace waxwing

#endif
