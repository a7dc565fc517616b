/**
 * @file status_port.h
 * Small pages for the balancer and for metrics: one GET, one answer.
 */
#ifndef WAXWING_NODE_STATUS_PORT_H
#define WAXWING_NODE_STATUS_PORT_H

#include "core/endpoint_type.h"

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace waxwing {

class StatusPort {
public:
  struct Page {
    int Status = 200;
    std::string Body;
  };

  StatusPort(boost::asio::io_context &loop, std::function<Page()> makePage)
      : Acceptor(loop), MakePage(std::move(makePage)) {}

  /// @return Unavailable when the address cannot be listened on
  absl::Status listen(const Endpoint &address);

private:
  void accept();

  boost::asio::ip::tcp::acceptor Acceptor;
  std::function<Page()> MakePage;
};

} // namespace waxwing

#endif
