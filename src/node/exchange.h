/**
 * @file exchange.h
 * State of one caller request, from its head to the last response byte.
 */
#ifndef WAXWING_NODE_EXCHANGE_H
#define WAXWING_NODE_EXCHANGE_H

#include "core/verdict_type.h"
#include "headers.h"
#include "routing/route_table.h"

#include <functional>
#include <memory>
#include <set>

namespace waxwing {

class Attempt;

/// Response bytes on their way to the caller.
struct ResponseBuffer {
  std::string Bytes;      ///< not yet moved to the caller's connection
  bool IsStarted = false; ///< bytes were added; no retry or other response
  bool IsWhole = false;   ///< the end of the response was added
  bool IsBroken = false;  ///< truncated; the connection must be closed
  bool MustClose = false; ///< the connection is closed after the response
};

/// One caller request and its response.
struct Exchange {
  http::RequestHead Head;
  platform::RequestMetadata Meta;
  std::string Body;             ///< received and not yet forwarded
  bool IsBodyWhole = false;     ///< completely received
  bool IsBodyForwarded = false; ///< part was forwarded and dropped; no retry

  Time ArrivedAt;        ///< request head was complete
  Time CallerDeadlineAt; ///< the caller disconnects then
  Time TimeoutAt;        ///< earlier of route timeout and caller deadline
  /// Configuration in force when the request arrived.
  std::shared_ptr<const RouteTable> Config;
  const Route *MatchedRoute = nullptr; ///< nullptr if none matches
  ServiceId Service;

  std::set<UpstreamId> TriedUpstreams;
  int Deliveries = 0;         ///< attempts that reached an upstream
  int PossibleExecutions = 0; ///< deliveries that may have been executed
  bool IsQueued = false;      ///< in the queue of its service
  Time QueuedSince;           ///< valid if IsQueued
  Time NextCheckAt; ///< next try of a request that is not first in its queue
  /// Fence of the key's range when an upstream last rejected the key as not
  /// held; 0 if none did. Until WaitForOwnerUntil, the request is not sent
  /// while the range map still has this fence.
  std::uint64_t RejectedFence = 0;
  Time WaitForOwnerUntil;
  Reason LastReason = Reason::None; ///< failure reason of the last attempt
  bool IsFinished = false;          ///< the final response is determined
  bool IsCallerDisconnected = false;

  ResponseBuffer Response;
  std::shared_ptr<Attempt> CurrentAttempt; ///< attempt in progress, if any
  std::function<void()> OnResponse;        ///< called when Response has changed
  std::function<void()> OnBodyConsumed;    ///< called when Body has space again
  /// Checks immediately whether the caller has closed its connection, in case
  /// the event loop lags behind and has not read the end of stream yet.
  std::function<void()> CheckCallerConnected;

  bool mayRetry() const {
    return MatchedRoute != nullptr &&
           MatchedRoute->Kind != RequestKind::NonIdempotent;
  }
};

} // namespace waxwing

#endif
