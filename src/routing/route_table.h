/**
 * @file route_table.h
 * Finds the route of a request in one version of the configuration.
 */
#ifndef WAXWING_ROUTING_ROUTE_TABLE_H
#define WAXWING_ROUTING_ROUTE_TABLE_H

#include "routing/route_type.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace waxwing {

/// Immutable; requests keep the version that they began with alive.
class RouteTable {
public:
  explicit RouteTable(TrafficConfig config);

  /// @return the route of @p host with the longest prefix of @p path, or
  ///   nullptr; @p host may carry a port and any case
  const Route *find(std::string_view host, std::string_view path) const;
  /// @return rules of @p service, or nullptr when no service has the name
  const ServiceRules *rules(const ServiceId &service) const;
  const TrafficConfig &config() const { return Config; }

private:
  TrafficConfig Config;
  /// Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route *>> ByHost;
};

/// Chooses a service in proportion to the weights.
/// @param draw uniform in [0, 1)
const WeightedService &chooseService(const Route &route, double draw);

} // namespace waxwing

#endif
