/**
 * @file route_table.cpp
 * Route lookup by host, then by longest path prefix.
 */
#include "routing/route_table.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <functional>
#include <numeric>

namespace waxwing {

RouteTable::RouteTable(TrafficConfig config) : Config(std::move(config)) {
  for (const Route &route : Config.Routes)
    ByHost[route.Host].push_back(&route);
  for (auto &[host, routes] : ByHost)
    std::ranges::sort(routes, std::greater<>{},
                      [](const Route *route) { return route->Prefix.size(); });
}

const Route *RouteTable::find(std::string_view host,
                              std::string_view path) const {
  host = host.substr(0, host.rfind(':'));
  const auto routes = ByHost.find(
      absl::AsciiStrToLower(absl::string_view(host.data(), host.size())));
  if (routes == ByHost.end())
    return nullptr;
  path = path.substr(0, path.find('?'));
  const auto it = std::ranges::find_if(routes->second, [&](const Route *route) {
    return path.starts_with(route->Prefix);
  });
  return it == routes->second.end() ? nullptr : *it;
}

const ServiceRules *RouteTable::rules(const ServiceId &service) const {
  const auto it = Config.Services.find(service);
  return it == Config.Services.end() ? nullptr : &it->second;
}

const WeightedService &chooseService(const Route &route, double draw) {
  const auto total = std::accumulate(
      route.WeightedServices.begin(), route.WeightedServices.end(), 0.0,
      [](double sum, const WeightedService &part) {
        return sum + part.Weight;
      });
  double remaining = draw * total;
  const auto it = std::ranges::find_if(route.WeightedServices,
                                       [&](const WeightedService &part) {
                                         remaining -= part.Weight;
                                         return remaining < 0;
                                       });
  return it == route.WeightedServices.end() ? route.WeightedServices.back()
                                            : *it;
}

} // namespace waxwing
