/**
 * @file route_type.h
 * The operators' routes, the rules of their services and the upstreams that
 * serve them, as the decisions use them.
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

/// What may be repeated.
enum class RequestKind : std::uint8_t {
  Idempotent,    ///< may run more than once
  NonIdempotent, ///< runs at most once
  Download,      ///< idempotent with a large answer
};

/// One service of a route's traffic.
struct WeightedService {
  ServiceId Service;
  std::uint32_t Weight = 1; ///< share of the route's requests, relative
};

/// One route of the operators.
struct Route {
  std::string Name;
  std::string Host;   ///< lower case, without port
  std::string Prefix; ///< begins and ends with a slash
  RequestKind Kind = RequestKind::NonIdempotent;
  Duration Timeout{};       ///< longest time that a caller waits
  Duration TargetLatency{}; ///< an answer in this time earns most
  int MaxAttempts = 1;      ///< upstreams that one request may be sent to
  int Priority = 0;         ///< 0 is the most urgent
  std::vector<WeightedService> WeightedServices; ///< never empty
};

/// What holds for all upstreams of one service.
struct ServiceRules {
  std::string HealthPath;
  int MaxConnections = 0;        ///< of one upstream, from all callers
  Duration WarmUp{};             ///< an upstream is cold this long
  double WarmUpRequestsPerS = 0; ///< what a cold upstream bears
  bool IsDividedByKey = false;   ///< an upstream serves only keys it holds
};

/// What callers may send.
struct CallerLimits {
  std::uint32_t HeaderBytes = 16384;
  std::uint64_t BodyBytes = 64ULL << 20;
  Duration HeaderTimeout = seconds(3); ///< from the first byte of a head
  Duration IdleTimeout = seconds(15);  ///< between requests
};

/// One version of the operators' configuration.
struct TrafficConfig {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::map<ServiceId, ServiceRules> Services;
  CallerLimits Limits;
};

/// What an upstream says of itself in the platform's list.
struct UpstreamEntry {
  UpstreamId Id;
  ServiceId Service;
  Endpoint Address;
  DomainId Domain;
  std::int64_t StartedAtMs =
      0;         ///< start of this life, Unix ms; 0 when not told
  int Slots = 1; ///< requests that it processes at a time
  bool IsDraining = false;
  Duration WarmUpLeft{}; ///< how long it stays cold, from the entry's arrival

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
