/**
 * @file gateway.h
 * The data path of waxwing-node: takes callers' requests, decides where each
 * goes, and brings the answers back.
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
  std::uint64_t Answered = 0;          ///< with an upstream's answer
  std::uint64_t Sent = 0;              ///< attempts
  std::uint64_t Repeated = 0;          ///< attempts beyond a request's first
  std::uint64_t Connections = 0;       ///< opened to upstreams
  std::uint64_t FailedConnections = 0; ///< of these, did not open
  std::uint64_t Waited = 0;            ///< requests that stood in a queue
  std::uint64_t CallersLeft = 0;
  ReasonCounters Refusals; ///< by reason
};

class Gateway : public CallerHost, public AttemptHost {
public:
  Gateway(boost::asio::io_context &loop, const NodeSettings &settings);

  /// Accepts callers at @p address. @return Unavailable when it cannot
  absl::Status listen(const Endpoint &address);

  // Beliefs; each call says what changed.
  void setConfig(std::shared_ptr<const RouteTable> config);
  void setRanges(const ServiceId &service, RangeMap map);
  void setVms(std::vector<VmId> vms);
  void onUpstreamsChanged();
  UpstreamTable &upstreams() { return Upstreams; }
  const RouteTable *config() const { return Config.get(); }

  /// From now on answers close their connections.
  void beginDraining();
  /// From now on requests are refused: there is no time left to serve them.
  void beginRefusing();
  /// Closes callers' connections that have no request.
  void closeIdleCallers();
  bool hasExchanges() const { return ActiveExchanges > 0; }

  /// Called with the key of each request to a service divided by key.
  std::function<void(const ServiceId &, std::uint16_t)> OnKeyRequest;
  /// Called when an upstream refused a key, so its owner may have changed.
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
  /// Sends the request, or lets it wait, or refuses it.
  void place(const std::shared_ptr<Exchange> &exchange);
  /// @return true when the request was sent
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
  /// Gives the caller an answer of this program's own.
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
  std::shared_ptr<const RouteTable> Config; ///< nullptr before the first
  std::map<ServiceId, RangeMap> Ranges;
  UpstreamTable Upstreams;
  ConnectionPool Pool;
  std::map<ServiceId, ServiceRetryBudget> Allowances;
  std::map<ServiceId, std::pair<ServiceSummary, Time>> Summaries;
  std::map<ServiceId, Waiting> Queues; ///< by priority, then arrival
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
