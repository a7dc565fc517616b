/**
 * @file home_lease_driver.cpp
 * Routes home lease requests to the leader, responses to routers, and home
 * assignments to all processes.
 */
#include "controller/home_lease_driver.h"

namespace waxwing {
namespace {

std::vector<HomeResource> resourcesOf(const TeamConfig &team,
                                      const ServiceId &service) {
  std::vector<HomeResource> resources;
  for (const auto &[id, upstream] : team.Upstreams)
    if (upstream.Service == service)
      resources.emplace_back(id);
  for (std::uint32_t n = 0; n < PartitionCount; ++n)
    resources.emplace_back(PartitionId(n));
  return resources;
}

std::map<UpstreamId, DomainId> domainsOf(const TeamConfig &team) {
  std::map<UpstreamId, DomainId> domains;
  for (const auto &[id, upstream] : team.Upstreams)
    domains[id] = upstream.Domain;
  return domains;
}

} // namespace

HomeLeaseDriver::HomeLeaseDriver(RecordMember self, LinkManager &links,
                                 LeadershipLookup lookup)
    : Self(std::move(self)), Links(links), LeadershipOf(std::move(lookup)) {}

void HomeLeaseDriver::setConfiguration(const Configuration &config, Time now) {
  for (const auto &[team, teamConfig] : config.teams())
    for (const auto &[id, service] : teamConfig.Services)
      LeaseManagers.try_emplace(id, id, HomeLeaseTiming())
          .first->second.setResources(resourcesOf(teamConfig, id),
                                      domainsOf(teamConfig));
  tick(now);
}

void HomeLeaseDriver::tick(Time now) {
  for (auto &[id, manager] : LeaseManagers) {
    manager.setLeadership(LeadershipOf(id, now), now);
    if (const auto update = manager.takeUpdate(now))
      publish(*update);
  }
}

void HomeLeaseDriver::on(const LinkMessageReceived &received, Time now) {
  if (std::holds_alternative<LinkHello>(received.Message))
    sendKnownHomes(received.From);
  if (const auto *request = std::get_if<HomeLeaseRequest>(&received.Message))
    onMessage(received.From, *request, now);
  if (const auto *response = std::get_if<HomeLeaseResponse>(&received.Message))
    onMessage(received.From, *response, now);
  if (const auto *update = std::get_if<HomesUpdate>(&received.Message))
    onMessage(received.From, *update, now);
}

void HomeLeaseDriver::onMessage(const LinkHello &from,
                                const HomeLeaseRequest &request, Time now) {
  const auto it = LeaseManagers.find(request.Service);
  if (it == LeaseManagers.end())
    return;
  const ServiceLeadership leadership = LeadershipOf(request.Service, now);
  it->second.setLeadership(leadership, now);
  if (leadership.IsLeader) {
    const auto response = it->second.handleRequest(request, now);
    if (!response)
      return;
    if (from.Role == ProcessRole::Router)
      send({std::nullopt, ProcessRole::Router, *response});
    else
      send({from.Self.Vm, std::nullopt, *response});
    if (const auto update = it->second.takeUpdate(now))
      publish(*update);
    return;
  }
  // Requests that already came from another controller are not forwarded again.
  const bool isKnown =
      leadership.Leader != VmId() && leadership.Leader != Self.Vm;
  if (from.Role == ProcessRole::Router && isKnown)
    send({leadership.Leader, std::nullopt, request});
}

void HomeLeaseDriver::onMessage(const LinkHello &,
                                const HomeLeaseResponse &response, Time) {
  send({std::nullopt, ProcessRole::Router, response});
}

void HomeLeaseDriver::onMessage(const LinkHello &, const HomesUpdate &update,
                                Time) {
  publish(update);
}

void HomeLeaseDriver::publish(const HomesUpdate &update) {
  const auto [it, isNew] = Homes.try_emplace(update.Service, update);
  if (!isNew && it->second.Version >= update.Version)
    return;
  it->second = update;
  send({std::nullopt, ProcessRole::Router, update});
  send({std::nullopt, ProcessRole::Controller, update});
}

void HomeLeaseDriver::sendKnownHomes(const LinkHello &peer) {
  for (const auto &[service, update] : Homes)
    send({std::nullopt, peer.Role, update});
}

} // namespace waxwing
