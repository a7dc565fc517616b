/**
 * @file status_port.h
 * HTTP server for small generated pages: readiness and metrics.
 */
#ifndef WAXWING_NODE_STATUS_PORT_H
#define WAXWING_NODE_STATUS_PORT_H

#include "core/endpoint_type.h"

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace waxwing {

/// HTTP server that responds to every request with the page of MakePage.
class StatusPort {
public:
  struct Page {
    int Status = 200;
    std::string Body;
  };

  StatusPort(boost::asio::io_context &loop, std::function<Page()> makePage)
      : Acceptor(loop), MakePage(std::move(makePage)) {}

  /// Starts to serve.
  /// @return Unavailable if the address cannot be listened on
  absl::Status listen(const Endpoint &address);

private:
  void accept();

  boost::asio::ip::tcp::acceptor Acceptor;
  std::function<Page()> MakePage;
};

} // namespace waxwing

#endif
