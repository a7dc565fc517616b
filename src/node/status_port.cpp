/**
 * @file status_port.cpp
 * HTTP/1.1 server with persistent connections for a single page.
 */
#include "node/status_port.h"

#include "http/parser.h"
#include "node/socket_options.h"

#include <array>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <memory>

namespace waxwing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int Backlog = 64;

/// One client connection; serves one request at a time.
class StatusConnection : public std::enable_shared_from_this<StatusConnection> {
public:
  StatusConnection(tcp::socket socket,
                   const std::function<StatusPort::Page()> &makePage)
      : Socket(std::move(socket)), MakePage(makePage) {}

  void read() {
    Socket.async_read_some(
        asio::buffer(Buffer),
        [self = shared_from_this()](const error_code &ec, std::size_t n) {
          if (!ec)
            self->onRead(n);
        });
  }

private:
  void onRead(std::size_t n) {
    UnparsedInput.append(Buffer.data(), n);
    std::size_t consumed = 0;
    const http::ParseState state = Parser.put(UnparsedInput, consumed);
    UnparsedInput.erase(0, consumed);
    if (state == http::ParseState::NeedMore) {
      read();
      return;
    }
    if (state != http::ParseState::Done)
      return;
    const StatusPort::Page page = MakePage();
    const bool isKeepAlive = Parser.head().IsKeepAlive;
    UnwrittenOutput = fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: text/plain\r\n"
        "Content-Length: {}\r\n{}\r\n{}",
        page.Status, page.Status == 200 ? "OK" : "Service Unavailable",
        page.Body.size(), isKeepAlive ? "" : "Connection: close\r\n",
        page.Body);
    Parser = http::RequestParser({});
    asio::async_write(Socket, asio::buffer(UnwrittenOutput),
                      [self = shared_from_this(),
                       isKeepAlive](const error_code &ec, std::size_t) {
                        if (!ec && isKeepAlive)
                          self->read();
                      });
  }

  tcp::socket Socket;
  const std::function<StatusPort::Page()> &MakePage;
  http::RequestParser Parser{http::ParseLimits{}};
  std::array<char, 4096> Buffer{};
  std::string UnparsedInput;
  std::string UnwrittenOutput;
};

} // namespace

absl::Status StatusPort::listen(const Endpoint &address) {
  if (absl::Status status = listenOn(Acceptor, address, Backlog); !status.ok())
    return status;
  accept();
  return absl::OkStatus();
}

void StatusPort::accept() {
  Acceptor.async_accept([this](const error_code &ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted)
      return;
    if (!ec) {
      setStreamOptions(socket);
      std::make_shared<StatusConnection>(std::move(socket), MakePage)->read();
    }
    accept();
  });
}

} // namespace waxwing
