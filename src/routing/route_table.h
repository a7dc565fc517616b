/**
 * @file route_table.h
 * Looks up the route of a request in one version of the configuration.
 */
#ifndef WAXWING_ROUTING_ROUTE_TABLE_H
#define WAXWING_ROUTING_ROUTE_TABLE_H

#include "routing/route_type.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace waxwing {

/// Immutable table of the routes and services of one configuration version. A
/// request shares ownership of the table that was current when it arrived.
class RouteTable {
public:
  explicit RouteTable(TrafficConfig config);

  /// @return the route of @p host whose prefix is the longest match of @p path,
  ///   or nullptr. @p host is case-insensitive and may include a port.
  const Route *find(std::string_view host, std::string_view path) const;
  /// @return rules of @p service, or nullptr when the service is unknown
  const ServiceRules *rules(const ServiceId &service) const;
  const TrafficConfig &config() const { return Config; }

private:
  TrafficConfig Config;
  /// Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route *>> ByHost;
};

/// Chooses a service of @p route with a probability proportional to its weight.
/// @param draw random number in [0, 1)
const WeightedService &chooseService(const Route &route, double draw);

} // namespace waxwing

#endif
