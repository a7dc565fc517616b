/**
 * @file link.cpp
 * Implements LinkHost with websocketpp. The only source compiled as C++17.
 */
#include "net/link.h"

#include <map>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace waxwing {
namespace {

/// send() fails on a link that has more unsent bytes than this.
constexpr std::size_t MaxBufferedBytes = 8u << 20;
/// Largest WebSocket message that is accepted.
constexpr std::size_t MaxMessageBytes = 8u << 20;

struct LinkServerConfig : websocketpp::config::asio {
  static const std::size_t max_message_size = MaxMessageBytes;
};
struct LinkClientConfig : websocketpp::config::asio_client {
  static const std::size_t max_message_size = MaxMessageBytes;
};
using Server = websocketpp::server<LinkServerConfig>;
using Client = websocketpp::client<LinkClientConfig>;
using ConnectionHandle = websocketpp::connection_hdl;

/// A link and which side opened it.
struct LinkEntry {
  ConnectionHandle Connection;
  bool IsClient; ///< this process opened the link
};

} // namespace

class LinkHostImpl : public std::enable_shared_from_this<LinkHostImpl> {
public:
  LinkHostImpl(boost::asio::io_context &context, LinkHandlers handlers)
      : Handlers(std::move(handlers)) {
    initEndpoint(Acceptor, context);
    initEndpoint(Connector, context);
    Acceptor.set_reuse_addr(true);
    Acceptor.set_open_handler([this](const ConnectionHandle &handle) {
      const LinkId id = NextId++;
      Links[id] = LinkEntry{handle, false};
      setHandlers(Acceptor, handle, id);
      if (Handlers.OnOpen)
        Handlers.OnOpen(id);
    });
  }

  std::string listen(const std::string &address, std::uint16_t port) {
    websocketpp::lib::error_code ec;
    Acceptor.listen(address, std::to_string(port), ec);
    if (!ec)
      Acceptor.start_accept(ec);
    return ec ? ec.message() : "";
  }

  LinkId connect(const std::string &address, std::uint16_t port) {
    const LinkId id = NextId++;
    websocketpp::lib::error_code ec;
    auto connection = Connector.get_connection(
        "ws://" + address + ":" + std::to_string(port) + "/link", ec);
    if (ec)
      return id;
    Links[id] = LinkEntry{connection->get_handle(), true};
    connection->set_open_handler([this, id](const ConnectionHandle &) {
      if (Handlers.OnOpen)
        Handlers.OnOpen(id);
    });
    connection->set_fail_handler(
        [this, id](const ConnectionHandle &) { removeLink(id); });
    setHandlers(Connector, connection->get_handle(), id);
    Connector.connect(connection);
    return id;
  }

  bool send(LinkId id, const std::string &bytes) {
    const auto it = Links.find(id);
    if (it == Links.end())
      return false;
    return it->second.IsClient
               ? sendMessage(Connector, it->second.Connection, bytes)
               : sendMessage(Acceptor, it->second.Connection, bytes);
  }

  void close(LinkId id) {
    const auto it = Links.find(id);
    if (it == Links.end())
      return;
    websocketpp::lib::error_code ec;
    const ConnectionHandle handle = it->second.Connection;
    if (it->second.IsClient)
      Connector.close(handle, websocketpp::close::status::going_away, "", ec);
    else
      Acceptor.close(handle, websocketpp::close::status::going_away, "", ec);
  }

  void stop() {
    websocketpp::lib::error_code ec;
    Acceptor.stop_listening(ec);
    std::map<LinkId, LinkEntry> links = Links;
    for (const auto &link : links)
      close(link.first);
  }

  /// Removes the event handlers, because the LinkHost is being destroyed.
  void clearHandlers() { Handlers = {}; }

private:
  /// Disables the logs of websocketpp and attaches the endpoint to @p context.
  template <class WsEndpoint>
  void initEndpoint(WsEndpoint &endpoint, boost::asio::io_context &context) {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&context);
  }

  template <class WsEndpoint>
  void setHandlers(WsEndpoint &endpoint, const ConnectionHandle &handle,
                   LinkId id) {
    websocketpp::lib::error_code ec;
    auto connection = endpoint.get_con_from_hdl(handle, ec);
    if (ec)
      return;
    connection->set_message_handler(
        [this, id](const ConnectionHandle &,
                   const typename WsEndpoint::message_ptr &message) {
          if (Handlers.OnMessage)
            Handlers.OnMessage(id, message->get_payload());
        });
    connection->set_close_handler(
        [this, id](const ConnectionHandle &) { removeLink(id); });
  }

  template <class WsEndpoint>
  bool sendMessage(WsEndpoint &endpoint, const ConnectionHandle &handle,
                   const std::string &bytes) {
    websocketpp::lib::error_code ec;
    auto connection = endpoint.get_con_from_hdl(handle, ec);
    if (ec || connection->get_buffered_amount() > MaxBufferedBytes)
      return false;
    connection->send(bytes.data(), bytes.size(),
                     websocketpp::frame::opcode::binary);
    return true;
  }

  /// Removes a link that closed or failed to open and calls OnClose.
  void removeLink(LinkId id) {
    if (Links.erase(id) != 0 && Handlers.OnClose)
      Handlers.OnClose(id);
  }

  LinkHandlers Handlers;
  Server Acceptor;
  Client Connector;
  std::map<LinkId, LinkEntry> Links;
  LinkId NextId = 1;
};

LinkHost::LinkHost(boost::asio::io_context &context, LinkHandlers handlers)
    : Impl(std::make_shared<LinkHostImpl>(context, std::move(handlers))) {}

LinkHost::~LinkHost() { Impl->clearHandlers(); }

std::string LinkHost::listen(const std::string &address, std::uint16_t port) {
  return Impl->listen(address, port);
}

LinkId LinkHost::connect(const std::string &address, std::uint16_t port) {
  return Impl->connect(address, port);
}

bool LinkHost::send(LinkId link, const std::string &bytes) {
  return Impl->send(link, bytes);
}

void LinkHost::close(LinkId link) { Impl->close(link); }

void LinkHost::stop() { Impl->stop(); }

} // namespace waxwing
