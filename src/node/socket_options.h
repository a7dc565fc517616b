/**
 * @file socket_options.h
 * TCP socket setup of waxwing-node.
 */
#ifndef WAXWING_NODE_SOCKET_OPTIONS_H
#define WAXWING_NODE_SOCKET_OPTIONS_H

#include "core/endpoint_type.h"

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>

namespace waxwing {

/// Makes @p socket non-blocking and enables fast detection of peers that vanish
/// without a reset.
void setStreamOptions(boost::asio::ip::tcp::socket &socket);
/// Sets how long unacknowledged data may wait.
/// @param isReading false if the peer may pause reading
void setPeerReading(boost::asio::ip::tcp::socket &socket, bool isReading);

/// Starts to listen on @p address.
/// @param backlog maximum number of connections not yet accepted
/// @return Unavailable if the address cannot be listened on
absl::Status listenOn(boost::asio::ip::tcp::acceptor &acceptor,
                      const Endpoint &address, int backlog);

} // namespace waxwing

#endif
