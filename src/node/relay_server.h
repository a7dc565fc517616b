/**
 * @file relay_server.h
 * Accepts the requests that VMs without links to the upstreams pass to this VM.
 */
#ifndef WAXWING_NODE_RELAY_SERVER_H
#define WAXWING_NODE_RELAY_SERVER_H

#include "node/caller_connection.h"

#include <absl/status/status.h>
#include <unordered_map>

namespace waxwing {

class Gateway;

/// The connections of other VMs. Their requests go to the gateway, which
/// handles them like those of callers from then on.
class RelayServer : public ExchangeHandler {
public:
  RelayServer(boost::asio::io_context &loop, Gateway &gateway);

  /// @return Unavailable if the address cannot be listened on
  absl::Status listen(const Endpoint &address);
  /// Closes connections that exceed a timeout.
  void sweep(Time now);
  /// Closes connections without a pending request.
  void closeIdle();
  void close();
  /// @return true while a VM has not received all of a response
  bool isResponding() const;

  void beginExchange(const std::shared_ptr<Exchange> &exchange) override;
  void continueExchange(const std::shared_ptr<Exchange> &exchange) override;
  void cancelExchange(const std::shared_ptr<Exchange> &exchange,
                      ConnectionEnd why) override;
  const CallerLimits &callerLimits() const override;
  BodyMemory &bodyMemory() override;
  void onCallerClosed(const void *connection) override;

private:
  using ConnectionList = std::vector<std::shared_ptr<CallerConnection>>;

  void accept();
  /// @return the connections; closing one changes the map
  ConnectionList connections() const;

  boost::asio::ip::tcp::acceptor Acceptor;
  Gateway &Requests;
  std::unordered_map<const void *, std::shared_ptr<CallerConnection>> Peers;
};

} // namespace waxwing

#endif
