/**
 * @file exchange.h
 * State of one caller request, from its head to the last response byte.
 */
#ifndef WAXWING_NODE_EXCHANGE_H
#define WAXWING_NODE_EXCHANGE_H

#include "core/verdict_type.h"
#include "headers.h"
#include "node/request_body.h"
#include "peers/relay_message.h"
#include "routing/request_order.h"
#include "routing/route_table.h"
#include "traffic/crash_report_type.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace waxwing {

class Attempt;
class ClientConnection;

/// Response bytes on their way to the caller.
struct ResponseBuffer {
  std::string Bytes; ///< not yet moved to the caller's connection
  /// Bytes were added, so neither a retry nor another response is possible.
  bool IsStarted = false;
  bool IsWhole = false; ///< the end of the response was added
  /// The response is truncated, so the caller's connection must be closed.
  bool IsBroken = false;
  bool MustClose = false; ///< the connection is closed after the response
  /// Only the end of the connection marks the end of the response, so a
  /// connection that ends earlier is reset.
  bool EndsWithConnection = false;
};

/// What another VM said about a request that it passed to this one.
struct RelayedRequest {
  RelayRequest Request;
  /// The terms of Request as a route. It allows one delivery that may have been
  /// executed; the other VM decides whether a further one follows.
  Route Terms;
};

/// One caller request and its response.
struct Exchange {
  http::RequestHead Head;
  platform::RequestMetadata Meta;
  RequestBody Body;
  /// The caller waits for an interim response before it sends the body.
  bool NeedsContinue = false;

  /// Address of the caller, without port; empty if it is not known.
  std::string Caller;
  /// Identifies repetitions of the request; valid once it was to be sent.
  RequestFingerprint Fingerprint;

  Time ArrivedAt;        ///< time at which the request head was complete
  Time CallerDeadlineAt; ///< time at which the caller gives up
  Time TimeoutAt;        ///< earlier of route timeout and caller deadline
  /// Configuration in force when the request arrived.
  std::shared_ptr<const RouteTable> Config;
  const Route *MatchedRoute = nullptr; ///< nullptr if none matches
  ServiceId Service;
  /// Set if the request was passed to this VM by another one, which is then the
  /// caller; MatchedRoute is RelayedRequest::Terms. It is not passed on again.
  std::optional<RelayedRequest> Relayed;

  std::set<UpstreamId> TriedUpstreams;
  /// Connections of earlier attempts. A second delivery on one of them would
  /// have the same request id, so a repeated response to the first delivery
  /// could not be told from the response to the second.
  std::vector<std::weak_ptr<ClientConnection>> UsedConnections;
  std::set<VmId> TriedPeers; ///< VMs to which the request was passed
  /// Upstream of the last attempt; its id is empty if there is none.
  UpstreamProcess LastUpstream;
  int DeliveryCount = 0;          ///< attempts that reached an upstream
  int PossibleExecutionCount = 0; ///< deliveries that may have been executed
  bool IsQueued = false;          ///< in the queue of its service
  Time QueuedSince;               ///< valid if IsQueued
  Time NextCheckAt; ///< next try of a request that is not first in its queue
  /// Fence of the key's range when an upstream last rejected the key as not
  /// held; 0 if none did. The request is not sent while the range map still has
  /// this fence, and is given up at WaitForOwnerUntil.
  std::uint64_t FenceOfRejectedKey = 0;
  Time WaitForOwnerUntil;
  /// Fence of the key's range when the last attempt was started.
  std::uint64_t SentFence = 0;
  /// All upstreams for the request want none before this time, as found when
  /// it was last tried to send it; Time() if some accept requests.
  Time UpstreamsPausedUntil;
  Reason LastReason = Reason::None; ///< failure reason of the last attempt
  bool IsFinished = false;          ///< the final response is determined
  bool IsCallerDisconnected = false;
  /// A later request of the connection was accepted, so the connection is not
  /// closed after this one.
  bool HasSuccessor = false;

  ResponseBuffer Response;
  std::shared_ptr<Attempt> CurrentAttempt; ///< attempt in progress, if any
  std::function<void()> OnResponse;        ///< called when Response has changed
  std::function<void()> OnBodyConsumed;    ///< called when Body has space again
  /// Checks immediately whether the caller has closed its connection, in case
  /// the event loop lags behind and has not read the end of stream yet.
  std::function<void()> CheckCallerConnected;

  /// Position in the queue of the service.
  QueuePosition position() const {
    return {MatchedRoute->Priority, ArrivedAt + MatchedRoute->TargetLatency};
  }
  bool mayRetry() const {
    return MatchedRoute != nullptr && isRepeatable(MatchedRoute->Kind);
  }
};

} // namespace waxwing

#endif
