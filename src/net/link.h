/**
 * @file link.h
 * Links between the processes of this project: WebSocket connections that carry
 * binary messages. This header must stay valid C++17, because link.cpp uses
 * websocketpp, which does not compile as C++20.
 */
#ifndef WAXWING_NET_LINK_H
#define WAXWING_NET_LINK_H

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace waxwing {

/// Identifies one link of a LinkHost.
using LinkId = std::uint64_t;

/// Handlers of link events, called on the thread that runs the LinkHost's
/// io_context.
struct LinkHandlers {
  std::function<void(LinkId)> OnOpen;
  std::function<void(LinkId, const std::string &)> OnMessage;
  std::function<void(LinkId)> OnClose;
};

class LinkHostImpl;

/// Accepts and opens links (WebSocket connections between processes).
/// Invariant: used only on the thread that runs its io_context.
class LinkHost {
public:
  LinkHost(boost::asio::io_context &context, LinkHandlers handlers);
  ~LinkHost();

  /// Binds to the address and accepts links.
  /// @return "" on success, else the error message
  std::string listen(const std::string &address, std::uint16_t port);

  /// Opens a link and calls OnOpen, or OnClose when the connection fails. When
  /// @p address and @p port form no valid URI, neither is called and send() to
  /// the returned id fails.
  LinkId connect(const std::string &address, std::uint16_t port);

  /// Sends one binary message.
  /// @return false when the link is closed or has too many unsent bytes
  bool send(LinkId link, const std::string &bytes);

  void close(LinkId link);

  /// Stops accepting and closes all links.
  void stop();

private:
  std::shared_ptr<LinkHostImpl> Impl;
};

} // namespace waxwing

#endif
