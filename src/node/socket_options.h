/**
 * @file socket_options.h
 * Options of all TCP sockets of waxwing-node.
 */
#ifndef WAXWING_NODE_SOCKET_OPTIONS_H
#define WAXWING_NODE_SOCKET_OPTIONS_H

#include "core/endpoint_type.h"

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>

namespace waxwing {

/// Makes @p socket non-blocking and quick to notice a peer that is gone
/// without a reset.
void setStreamOptions(boost::asio::ip::tcp::socket &socket);

/// Opens @p acceptor on @p address.
/// @param backlog connections that wait to be accepted
/// @return Unavailable when the address cannot be listened on
absl::Status listenOn(boost::asio::ip::tcp::acceptor &acceptor,
                      const Endpoint &address, int backlog);

} // namespace waxwing

#endif
