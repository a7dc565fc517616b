/**
 * @file gateway.h
 * Data path of waxwing-node: accepts callers' requests, chooses an upstream
 * for each and returns the responses.
 */
#ifndef WAXWING_NODE_GATEWAY_H
#define WAXWING_NODE_GATEWAY_H

#include "metrics/latency_stats.h"
#include "metrics/reason_counters.h"
#include "node/attempt.h"
#include "node/caller_connection.h"
#include "node/connection_pool.h"
#include "node/node_clock.h"
#include "ranges/range_type.h"
#include "routing/admission.h"
#include "routing/service_retry_budget.h"
#include "routing/upstream_table.h"
#include "settings/node_settings_base.h"

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <random>
#include <unordered_map>

namespace waxwing {

/// Counters of the data path.
struct GatewayCounters {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0;    ///< with an upstream's response
  std::uint64_t Sent = 0;        ///< attempts
  std::uint64_t Repeated = 0;    ///< attempts after the first of a request
  std::uint64_t Connections = 0; ///< opened to upstreams
  std::uint64_t FailedConnections = 0; ///< of these, not established
  std::uint64_t Waited = 0;            ///< requests that were queued
  std::uint64_t CallersLeft = 0;       ///< before their response
  ReasonCounters Refusals;             ///< responses of this process itself
};

/// Routes callers' requests to upstreams, with queueing, retries and timeouts.
class Gateway : public CallerHost, public AttemptHost {
public:
  Gateway(boost::asio::io_context &loop, const NodeSettings &settings);

  /// Starts to accept callers.
  /// @return Unavailable if the address cannot be listened on
  absl::Status listen(const Endpoint &address);

  // Routing state; each call passes one change.
  void setConfig(std::shared_ptr<const RouteTable> config);
  void setRanges(const ServiceId &service, RangeMap map);
  void setVms(std::vector<VmId> vms);
  void onUpstreamsChanged();
  UpstreamTable &upstreams() { return Upstreams; }
  const RouteTable *config() const { return Config.get(); }

  /// From now on, connections are closed after their response.
  void beginDraining();
  /// From now on, requests are refused, since too little time is left to serve
  /// them. Refuses the queued ones too.
  void beginRefusing();
  /// Closes caller connections without a pending request.
  void closeIdleCallers();
  bool hasExchanges() const { return ActiveExchanges > 0; }

  /// Called for each request to a service divided by key.
  std::function<void(const ServiceId &, std::uint16_t)> OnKeyRequest;
  /// Called when an upstream rejected a key, so its owner may have changed.
  std::function<void()> OnMisplaced;

  const GatewayCounters &counters() const { return Counters; }
  const std::map<std::string, LatencyStats> &latencies() const {
    return Latencies;
  }
  std::size_t waiting() const;

  void beginExchange(const std::shared_ptr<Exchange> &exchange) override;
  void continueExchange(const std::shared_ptr<Exchange> &exchange) override;
  void cancelExchange(const std::shared_ptr<Exchange> &exchange) override;
  const CallerLimits &callerLimits() const override;
  bool isDraining() const override { return IsDraining; }
  void onCallerClosed(const void *connection) override;
  void onAttemptEnd(const std::shared_ptr<Exchange> &exchange, Attempt &attempt,
                    const AttemptResult &result) override;
  void onLoadReport(const UpstreamId &upstream,
                    const platform::LoadReport &report) override;
  bool wouldRepeat(const Exchange &exchange) const override;

private:
  using Waiting = std::list<std::shared_ptr<Exchange>>;

  void accept();
  double draw() { return std::uniform_real_distribution<>(0, 1)(Random); }
  /// Sends, queues or refuses the request.
  void place(const std::shared_ptr<Exchange> &exchange);
  /// @param canBeServedLater set to false if waiting cannot help
  /// @return true if the request was sent
  bool trySend(const std::shared_ptr<Exchange> &exchange, Time now,
               bool &isServable);
  void send(const std::shared_ptr<Exchange> &exchange, Upstream &upstream,
            Time now);
  void wait(const std::shared_ptr<Exchange> &exchange, Time now,
            bool isServable);
  void drainQueue(const ServiceId &service);
  void drainQueues();
  void checkTimeouts();
  void armTimeout(const std::shared_ptr<Exchange> &exchange);
  void finishExpired(const std::shared_ptr<Exchange> &exchange, Time now);
  /// Responds to the caller with an error of this process.
  void refuse(const std::shared_ptr<Exchange> &exchange, Reason reason,
              Duration returnAfter);
  const RangeRow *findRow(const Exchange &exchange) const;
  const ServiceSummary &summary(const ServiceId &service, Time now);
  AdmissionDecision admission(const Exchange &exchange, Time now,
                              bool isServable);
  void retryOrFinish(const std::shared_ptr<Exchange> &exchange,
                     const AttemptResult &result, Time now);
  void leaveQueue(const std::shared_ptr<Exchange> &exchange);
  void noteFinished(const std::shared_ptr<Exchange> &exchange);
  ServiceRetryBudget &allowance(const ServiceId &service);
  void sweep();

  boost::asio::io_context &Loop;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::mt19937_64 Random;
  RetryBudgetLimits Retries;
  ChoiceContext Context;
  std::shared_ptr<const RouteTable>
      Config; ///< nullptr before the first configuration
  std::map<ServiceId, RangeMap> Ranges;
  UpstreamTable Upstreams;
  ConnectionPool Pool;
  std::map<ServiceId, ServiceRetryBudget> Allowances;
  std::map<ServiceId, std::pair<ServiceSummary, Time>> Summaries;
  std::map<ServiceId, Waiting> Queues; ///< ordered by priority, then arrival
  std::unordered_map<const void *, std::shared_ptr<CallerConnection>> Callers;
  std::multimap<Time, std::weak_ptr<Exchange>> Timeouts; ///< by TimeoutAt
  DeadlineTimer TimeoutTimer;
  DeadlineTimer QueueTimer;
  DeadlineTimer SweepTimer;
  GatewayCounters Counters;
  std::map<std::string, LatencyStats> Latencies; ///< by route kind
  int ActiveExchanges = 0;
  bool IsDraining = false;
  bool IsRefusing = false;
};

} // namespace waxwing

#endif
