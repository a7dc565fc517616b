/**
 * @file relay_message.h
 * Header fields with which a VM that has no links to the upstreams passes a
 * request to a VM that has, and with which that VM returns the outcome. The
 * rest of both messages is the caller's request and the upstream's response.
 */
#ifndef WAXWING_PEERS_RELAY_MESSAGE_H
#define WAXWING_PEERS_RELAY_MESSAGE_H

#include "core/verdict_type.h"
#include "http/message_type.h"
#include "routing/leaving_upstreams.h"
#include "routing/route_type.h"

#include <optional>
#include <string>

namespace waxwing {

/// What the VM that accepted a request has decided about it. The VM that sends
/// it to an upstream decides on the upstream only.
struct RelayRequest {
  std::uint64_t Number = 0; ///< identifies the request to the VM that relays it
  ServiceId Service;
  RequestKind Kind = RequestKind::NonIdempotent;
  int Priority = 0;         ///< Route::Priority
  Duration TargetLatency{}; ///< Route::TargetLatency
  Duration TimeLeft{};      ///< until the request's timeout; positive
  /// Until the caller gives up; at least TimeLeft.
  Duration CallerTimeLeft{};
  /// Address of the caller; empty if not known, or too long to be one.
  std::string Caller;

  bool operator==(const RelayRequest &) const = default;
};

/// Outcome of a relayed request.
struct RelayResult {
  std::uint64_t Number = 0; ///< RelayRequest::Number
  /// Ran: the rest of the message is the upstream's response. Otherwise it is
  /// an error response of the VM and of no interest.
  Verdict Execution = Verdict::MayHaveRun;
  Reason Cause = Reason::None; ///< why there is no response of an upstream
  int Deliveries = 0;          ///< attempts that reached an upstream
  Duration RetryAfter{};       ///< proposed delay of a retry; 0: none
  /// Last process that got the request; its id is empty if there is none.
  UpstreamProcess Upstream;

  bool operator==(const RelayResult &) const = default;
};

/// @return true for the fields of this file, which neither callers nor
///   upstreams may set
bool isRelayField(std::string_view name);

void appendRelayRequest(std::string &head, const RelayRequest &request);
void appendRelayResult(std::string &head, const RelayResult &result);
/// @return nullopt if the field is missing, repeated or malformed
std::optional<RelayRequest> readRelayRequest(const http::Fields &fields);
/// @return nullopt if the field is missing, repeated or malformed
std::optional<RelayResult> readRelayResult(const http::Fields &fields);

} // namespace waxwing

#endif
