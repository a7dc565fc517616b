/**
 * @file route_type.h
 * Routes and service rules configured by the operators, and the entries of the
 * upstreams that serve them.
 */
#ifndef WAXWING_ROUTING_ROUTE_TYPE_H
#define WAXWING_ROUTING_ROUTE_TYPE_H

#include "core/endpoint_type.h"
#include "core/id_type.h"
#include "core/time_type.h"

#include <map>
#include <string>
#include <vector>

namespace waxwing {

/// Whether a request may be sent more than once, and which part of it is large.
enum class RequestKind : std::uint8_t {
  Idempotent,    ///< may run more than once
  NonIdempotent, ///< runs at most once
  Download,      ///< idempotent, with a large response
  Upload,        ///< runs at most once, with a large body
};

/// @return true if a request of this kind may run more than once
constexpr bool isRepeatable(RequestKind kind) {
  return kind == RequestKind::Idempotent || kind == RequestKind::Download;
}

/// A service that receives part of a route's traffic.
struct WeightedService {
  ServiceId Service;
  std::uint32_t Weight = 1; ///< relative share of the route's requests

  bool operator==(const WeightedService &) const = default;
};

/// A route: maps a host and a path prefix to services.
struct Route {
  std::string Name;
  std::string Host;   ///< in lower case, without port
  std::string Prefix; ///< begins and ends with a slash
  RequestKind Kind = RequestKind::NonIdempotent;
  Duration Timeout{};       ///< longest time until the caller gets a response
  Duration TargetLatency{}; ///< latency that the operators aim for
  int MaxAttempts = 1; ///< attempts of one request, each at another upstream
  int Priority = 0;    ///< 0 is the highest priority
  std::vector<WeightedService> WeightedServices; ///< never empty

  bool operator==(const Route &) const = default;
};

/// Settings that apply to all upstreams of one service.
struct ServiceRules {
  std::string HealthPath; ///< path of the health check
  int MaxConnections = 0; ///< connections of all VMs to one upstream
  Duration WarmUp{};      ///< how long an upstream stays cold after its start
  double WarmUpRequestsPerS = 0; ///< request rate that a cold upstream sustains
  bool IsDividedByKey = false;   ///< an upstream serves only keys that it owns

  bool operator==(const ServiceRules &) const = default;
};

/// Limits on requests and connections of callers.
struct CallerLimits {
  std::uint32_t HeaderBytes = 16384;
  std::uint64_t BodyBytes = 64ULL << 20;
  /// Time limit for a request head, from its first byte.
  Duration HeaderTimeout = seconds(3);
  Duration IdleTimeout = seconds(15); ///< longest pause between two requests

  bool operator==(const CallerLimits &) const = default;
};

/// One version of the configuration written by the operators.
struct TrafficConfig {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::map<ServiceId, ServiceRules> Services;
  CallerLimits Limits;

  bool operator==(const TrafficConfig &) const = default;
};

/// An upstream's entry in the platform's store, written by the upstream.
struct UpstreamEntry {
  UpstreamId Id;
  ServiceId Service;
  Endpoint Address;
  DomainId Domain;
  /// Start time of its process, Unix ms; 0 when unknown.
  std::int64_t StartedAtMs = 0;
  /// Rises with each entry that its process writes; 0 when unknown.
  std::uint64_t Sequence = 0;
  int Slots = 1; ///< requests that it processes concurrently
  bool IsDraining = false;
  Duration WarmUpLeft{}; ///< remaining warm-up time when the entry arrived

  bool operator==(const UpstreamEntry &) const = default;
};

/// A range of keys, both ends included.
struct KeyRange {
  std::uint16_t From = 0;
  std::uint16_t To = 0;

  auto operator<=>(const KeyRange &) const = default;
  int size() const { return static_cast<int>(To) - From + 1; }
  bool contains(std::uint16_t key) const { return key >= From && key <= To; }
};

} // namespace waxwing

#endif
