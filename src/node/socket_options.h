/**
 * @file socket_options.h
 * Options of all TCP sockets of waxwing-node.
 */
#ifndef WAXWING_NODE_SOCKET_OPTIONS_H
#define WAXWING_NODE_SOCKET_OPTIONS_H

#include <boost/asio/ip/tcp.hpp>

namespace waxwing {

/// Makes @p socket non-blocking and quick to notice a peer that is gone
/// without a reset.
void setStreamOptions(boost::asio::ip::tcp::socket &socket);

} // namespace waxwing

#endif
