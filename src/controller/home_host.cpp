/**
 * @file home_host.cpp
 * Questions to the leader, answers back, homes to everyone.
 */
#include "controller/home_host.h"

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

HomeHost::HomeHost(RecordMember self, LinkPort &links, Lead lead)
    : Self(std::move(self)), Links(links), LeadershipOf(std::move(lead)) {}

void HomeHost::define(const Configuration &config, Time now) {
  for (const auto &[team, teamConfig] : config.teams())
    for (const auto &[id, service] : teamConfig.Services)
      Lessors.try_emplace(id, id, HomeLeaseTiming())
          .first->second.setResources(resourcesOf(teamConfig, id),
                                      domainsOf(teamConfig));
  tick(now);
}

void HomeHost::tick(Time now) {
  for (auto &[id, lessor] : Lessors) {
    lessor.setLeadership(LeadershipOf(id, now), now);
    if (const auto update = lessor.takeUpdate(now))
      publish(*update);
  }
}

void HomeHost::on(const LinkReceived &received, Time now) {
  if (std::holds_alternative<LinkHello>(received.Message))
    greet(received.From);
  if (const auto *ask = std::get_if<HomeLeaseRequest>(&received.Message))
    onMessage(received.From, *ask, now);
  if (const auto *answer = std::get_if<HomeLeaseResponse>(&received.Message))
    onMessage(received.From, *answer, now);
  if (const auto *update = std::get_if<HomesUpdate>(&received.Message))
    onMessage(received.From, *update, now);
}

void HomeHost::onMessage(const LinkHello &from, const HomeLeaseRequest &ask,
                         Time now) {
  const auto it = Lessors.find(ask.Service);
  if (it == Lessors.end())
    return;
  const ServiceLeadership leadership = LeadershipOf(ask.Service, now);
  it->second.setLeadership(leadership, now);
  if (leadership.IsLeader) {
    const auto answer = it->second.handleRequest(ask, now);
    if (!answer)
      return;
    if (from.Role == ProcessRole::Router)
      send({std::nullopt, ProcessRole::Router, *answer});
    else
      send({from.Self.Vm, std::nullopt, *answer});
    if (const auto update = it->second.takeUpdate(now))
      publish(*update);
    return;
  }
  // A question goes at most over one other controller.
  const bool isKnown =
      leadership.Leader != VmId() && leadership.Leader != Self.Vm;
  if (from.Role == ProcessRole::Router && isKnown)
    send({leadership.Leader, std::nullopt, ask});
}

void HomeHost::onMessage(const LinkHello &, const HomeLeaseResponse &answer,
                         Time) {
  send({std::nullopt, ProcessRole::Router, answer});
}

void HomeHost::onMessage(const LinkHello &, const HomesUpdate &update, Time) {
  publish(update);
}

void HomeHost::publish(const HomesUpdate &update) {
  const auto [it, isNew] = Homes.try_emplace(update.Service, update);
  if (!isNew && it->second.Version >= update.Version)
    return;
  it->second = update;
  send({std::nullopt, ProcessRole::Router, update});
  send({std::nullopt, ProcessRole::Controller, update});
}

void HomeHost::greet(const LinkHello &peer) {
  for (const auto &[service, update] : Homes)
    send({std::nullopt, peer.Role, update});
}

} // namespace waxwing
