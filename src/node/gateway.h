/**
 * @file gateway.h
 * Data path of waxwing-node: accepts callers' requests, chooses an upstream
 * for each and returns the responses.
 */
#ifndef WAXWING_NODE_GATEWAY_H
#define WAXWING_NODE_GATEWAY_H

#include "metrics/enum_counters.h"
#include "metrics/latency_stats.h"
#include "metrics/reason_counters.h"
#include "node/attempt.h"
#include "node/caller_connection.h"
#include "node/connection_pool.h"
#include "node/crash_guard.h"
#include "node/limit_guard.h"
#include "node/link_tester.h"
#include "node/node_clock.h"
#include "node/relay_server.h"
#include "peers/peer_message_type.h"
#include "ranges/range_type.h"
#include "routing/admission.h"
#include "routing/relay_choice.h"
#include "routing/retry_decision.h"
#include "routing/service_retry_budget.h"
#include "routing/upstream_table.h"
#include "settings/node_settings_base.h"

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <random>
#include <unordered_map>

namespace waxwing {

/// A caller that is refused at shutdown may retry at once, since its next
/// connection goes to another VM.
inline constexpr Duration ShutdownRetryAfter = milliseconds(20);

/// Counters of the data path.
struct GatewayCounters {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0; ///< upstream responses forwarded completely
  std::uint64_t Sent = 0;     ///< attempts started
  /// Attempts for a request that had already been delivered to an upstream.
  std::uint64_t Retried = 0;
  std::uint64_t Connections = 0; ///< upstream connections opened
  /// New upstream connections that failed before a request byte was written.
  std::uint64_t FailedConnections = 0;
  std::uint64_t Queued = 0; ///< insertions of requests into a queue
  /// Requests whose caller disconnected before their response was determined.
  std::uint64_t CallersDisconnected = 0;
  /// Upstream processes that announced in a response that they leave.
  std::uint64_t LeavingUpstreams = 0;
  /// Pauses that upstreams asked for when they refused a request.
  std::uint64_t UpstreamPauses = 0;
  /// Requests that were read completely and ended without a complete response,
  /// for another reason than that their caller disconnected.
  EnumCounters<ConnectionEnd, ConnectionEndCount> Cuts;
  std::uint64_t RelayedSent = 0; ///< requests passed to other VMs
  /// Other VMs' requests answered by an upstream's response.
  std::uint64_t RelayedServed = 0;
  ReasonCounters Refusals; ///< error responses made by this process
};

/// Routes callers' requests to upstreams, with queueing, retries and timeouts.
class Gateway : public ExchangeHandler, public AttemptHandler {
public:
  Gateway(boost::asio::io_context &loop, const NodeSettings &settings);

  /// Starts to accept callers.
  /// @return Unavailable if the address cannot be listened on
  absl::Status listen(const Endpoint &address);
  /// Starts to accept requests that other VMs pass to this one.
  /// @return Unavailable if the address cannot be listened on
  absl::Status listenForPeers(const Endpoint &address);

  // Changes of the routing state; each function applies to one part of it.
  void setConfig(std::shared_ptr<const RouteTable> config);
  void setRangeMap(const ServiceId &service, RangeMap map);
  void setVms(std::vector<VmInfo> vms);
  void onUpstreamsChanged();
  /// Records that a process of an upstream said in a response, to this VM or to
  /// another one, that it leaves.
  void noteLeaving(const UpstreamProcess &process, Time now);
  UpstreamTable &upstreams() { return Upstreams; }
  CrashGuard &crashes() { return Crashes; }
  LimitGuard &limits() { return Limits; }
  const RouteTable *config() const { return Config.get(); }

  /// @return false while this VM cannot open connections to upstreams
  bool areLinksWorking() const { return Links.areLinksWorking(); }
  /// @return number of test connections opened to judge the links
  std::uint64_t linkTestCount() const { return Links.testCount(); }
  /// Called when a new connection to @p upstream, of this gateway or not, was
  /// established or failed.
  void onConnectEnd(const UpstreamId &upstream, Time startedAt,
                    ConnectOutcome outcome) {
    Links.onConnectEnd(upstream, startedAt, outcome);
  }

  /// From now on, a response closes the caller's connection unless a later
  /// request of the connection was accepted before the response began.
  /// @param refuseFrom time from which requests are refused, since too little
  ///   time is left to serve them
  /// @param endsAt time at which the process ends
  void beginDraining(Time refuseFrom, Time endsAt);
  /// Refuses the requests that were not sent yet.
  void refuseWaiting();
  /// Closes caller connections without a pending request.
  void closeIdleCallers();
  /// Closes all caller connections.
  void closeCallers();
  /// @return true while a request has no response, or its caller has not
  ///   received all of it
  bool hasExchanges() const;

  /// @return time up to which the list of upstreams is complete
  std::function<Time()> UpstreamsCompleteAt;
  /// Called with service and key of each request to a service divided by key.
  std::function<void(const ServiceId &, std::uint16_t)> OnKeyRequest;
  /// Called when an upstream rejected a key, so the key's owner may have
  /// changed.
  std::function<void()> OnKeyRejected;
  /// Called when noteLeaving() recorded something new.
  std::function<void()> OnUpstreamLeaving;
  /// Called with the new value when areLinksWorking() has changed.
  std::function<void(bool)> OnLinksChanged;

  const GatewayCounters &counters() const { return Counters; }
  const std::map<std::string, LatencyStats> &latencies() const {
    return Latencies;
  }
  std::size_t queuedCount() const;
  /// @return ages of the list of upstreams when requests were sent
  LatencySummary sentListAge() const { return SentListAges.summary(); }

  void beginExchange(const std::shared_ptr<Exchange> &exchange) override;
  /// Handles a request that another VM passed to this one.
  void beginRelayed(const std::shared_ptr<Exchange> &exchange);
  void continueExchange(const std::shared_ptr<Exchange> &exchange) override;
  void cancelExchange(const std::shared_ptr<Exchange> &exchange,
                      ConnectionEnd why) override;
  const CallerLimits &callerLimits() const override;
  BodyMemory &bodyMemory() override { return Bodies; }
  bool isDraining() const override { return IsDraining; }
  bool isRefusing(Time now) const { return now >= RefuseFrom; }
  /// @return true if the end of the process may cut a request that is sent now
  bool mayBeCut(const Exchange &exchange, Time now) const {
    return isRefusing(now) && exchange.TimeoutAt >= EndsAt;
  }
  void onCallerClosed(const void *connection) override;
  void onAttemptEnd(const std::shared_ptr<Exchange> &exchange, Attempt &attempt,
                    const AttemptResult &result) override;
  bool hasLeft(const UpstreamProcess &process) const override {
    return Upstreams.hasLeft(process);
  }
  void onLoadReport(const UpstreamId &upstream,
                    const platform::LoadReport &report) override;
  void onLeavingAnnounced(const UpstreamProcess &process) override;
  void onPauseAsked(const UpstreamEntry &upstream,
                    std::chrono::duration<double> pause) override;
  void onLimitNamed(const UpstreamProcess &process,
                    std::optional<double> perS) override;
  bool wouldRetry(const Exchange &exchange) const override;

private:
  using RequestQueue = std::list<std::shared_ptr<Exchange>>;

  void accept();
  double randomFraction() {
    return std::uniform_real_distribution<>(0, 1)(Random);
  }
  /// Sends, queues or refuses the request.
  void dispatch(const std::shared_ptr<Exchange> &exchange);
  /// @param canBeServedLater set to false if the request cannot be served even
  ///   after waiting
  /// @return true if the request was sent
  bool trySend(const std::shared_ptr<Exchange> &exchange, Time now,
               bool &canBeServedLater);
  void send(const std::shared_ptr<Exchange> &exchange, Upstream &upstream,
            Time now);
  /// Passes the request to another VM.
  /// @return false if there is none that can send it
  bool tryRelay(const std::shared_ptr<Exchange> &exchange, Time now);
  Reason whyNotRelaying(const RelayRequest &request) const;
  /// @return the fields that tell another VM why its request has no response of
  ///   an upstream; empty for callers' requests
  static std::string relayFields(const Exchange &exchange, Reason reason,
                                 Duration retryAfter);
  /// Updates what is known of the target of @p attempt, and keeps the
  /// connection if it can be reused.
  void recordAttemptEnd(const Attempt &attempt, const AttemptResult &result,
                        Time now);
  /// The same for an attempt that is withdrawn.
  void recordCancelled(const Attempt &attempt, Time now);
  void enqueue(const std::shared_ptr<Exchange> &exchange, Time now,
               bool canBeServedLater);
  void sendQueued(const ServiceId &service);
  void sendAllQueued();
  void checkTimeouts();
  void armTimeout(const std::shared_ptr<Exchange> &exchange);
  void refuseExpired(const std::shared_ptr<Exchange> &exchange, Time now);
  /// Refuses the request if it crashes upstreams.
  /// @return true if it was refused
  bool refuseIfSuspect(const std::shared_ptr<Exchange> &exchange, Time now);
  /// Records what the end of an attempt says about the request: whether its
  /// upstream may have crashed under it, or has executed it.
  void recordCrashEvidence(const Exchange &exchange, const Attempt &attempt,
                           const AttemptResult &result, Time now);
  /// Responds to the caller with an error of this process.
  void refuse(const std::shared_ptr<Exchange> &exchange, Reason reason,
              Duration retryAfter);
  const RangeRow *findRangeRow(const Exchange &exchange) const;
  const ServiceSummary &serviceSummary(const ServiceId &service, Time now);
  AdmissionDecision admission(const Exchange &exchange, Time now,
                              bool canBeServedLater);
  /// Handles an upstream's response that it does not run the request.
  void onRejected(const std::shared_ptr<Exchange> &exchange,
                  const Attempt &attempt, Time now);
  void retryOrFinish(const std::shared_ptr<Exchange> &exchange,
                     const AttemptResult &result, Time now);
  /// Adds the request to the queue of its service, in order.
  void insertIntoQueue(const std::shared_ptr<Exchange> &exchange);
  void removeFromQueue(const std::shared_ptr<Exchange> &exchange);
  bool isDividedByKey(const ServiceId &service) const;
  /// Logs and counts the end of a request whose response is not complete.
  void recordCut(const Exchange &exchange, ConnectionEnd why, Time now);
  void onExchangeFinished(const std::shared_ptr<Exchange> &exchange);
  ServiceRetryBudget &retryBudget(const ServiceId &service);
  void onLinksChanged(bool isWorking);
  void sweep();

  boost::asio::io_context &Loop;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::mt19937_64 Random;
  RetryBudgetLimits Retries;
  UpstreamChoiceContext Context;
  std::shared_ptr<const RouteTable> Config; ///< nullptr initially
  std::map<ServiceId, RangeMap> Ranges;
  UpstreamTable Upstreams;
  ConnectionPool Pool; ///< connections to upstreams
  LinkTester Links;
  CrashGuard Crashes;
  LimitGuard Limits;
  RelayPeers Peers;
  ConnectionPool PeerPool; ///< connections to other VMs
  RelayServer Relays;
  std::uint64_t LastRelayNumber = 0; ///< RelayRequest::Number
  std::map<ServiceId, ServiceRetryBudget> RetryBudgets;
  std::map<ServiceId, std::pair<ServiceSummary, Time>> ServiceSummaryCache;
  /// Queued requests of each service, ordered by Exchange::position().
  std::map<ServiceId, RequestQueue> Queues;
  /// Requests whose body is being received before they are sent.
  std::set<std::shared_ptr<Exchange>> AwaitingBody;
  BodyMemory Bodies;
  std::unordered_map<const void *, std::shared_ptr<CallerConnection>> Callers;
  std::multimap<Time, std::weak_ptr<Exchange>> Timeouts; ///< by TimeoutAt
  DeadlineTimer TimeoutTimer;
  DeadlineTimer QueueTimer;
  DeadlineTimer SweepTimer;
  GatewayCounters Counters;
  std::map<std::string, LatencyStats> Latencies; ///< by route name
  LatencyStats SentListAges;
  /// VMs that can open connections to upstreams; the requests of the others are
  /// sent by these. At least 1.
  std::size_t LinkedVmCount = 1;
  int ActiveExchanges = 0;
  bool IsDraining = false;
  Time RefuseFrom = Time::max();
  Time EndsAt = Time::max(); ///< not before RefuseFrom
};

} // namespace waxwing

#endif
