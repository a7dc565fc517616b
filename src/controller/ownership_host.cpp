/**
 * @file ownership_host.cpp
 * Events in, actions out, for each service.
 */
#include "controller/ownership_host.h"

#include "core/random_func.h"

namespace waxwing {

OwnershipHost::OwnershipHost(RecordMember self, OwnershipParameters terms,
                             StorePort &store, OrderPort &orders,
                             LinkPort &links, Publish publish)
    : Self(std::move(self)), Parameters(terms), Store(store), Orders(orders),
      Links(links), PublishToAll(std::move(publish)) {}

void OwnershipHost::tick(Time now) {
  for (auto &[service, leader] : Leaders)
    handle(service, Tick(), now);
}

void OwnershipHost::on(RecordResult &result, Time now) {
  std::visit([&](auto &it) { handle(result.Service, std::move(it), now); },
             result.Event);
}

void OwnershipHost::on(OrderAnswered &answered, Time now) {
  handle(answered.Service, UpstreamAnswered{std::move(answered.Answer)}, now);
}

void OwnershipHost::onPeer(const RecordMember &from,
                           const OwnershipMessage &message, Time now) {
  const ServiceId service =
      std::visit([](const auto &it) { return it.Service; }, message);
  handle(service, PeerMessageReceived{from, message}, now);
}

void OwnershipHost::on(HotKeysReport report, ProcessRole from, Time now) {
  const OwnershipLeader *leader = find(report.Service);
  if (leader == nullptr || !leader->record() ||
      leader->record()->Members.empty())
    return;
  if (leader->isLeader())
    return handle(report.Service, HotKeysReported{std::move(report.Rates)},
                  now);
  const VmId to = leader->record()->Members.front().Vm;
  if (to != Self.Vm && from == ProcessRole::Router)
    Links.commands().push(LinkSend{to, std::nullopt, std::move(report)});
}

void OwnershipHost::hear(const OwnershipRecord &record, Time now) {
  handle(record.Service, RecordReceived{record}, now);
}

void OwnershipHost::define(const Configuration &config, Time now) {
  for (const auto &[team, teamConfig] : config.teams())
    for (const auto &[id, service] : teamConfig.Services)
      defineService(teamConfig, id, service, now);
}

void OwnershipHost::setMembers(std::vector<ControllerMember> members,
                               Time now) {
  Members = std::move(members);
  for (auto &[service, leader] : Leaders)
    handle(service, ControllersChanged{Members}, now);
}

void OwnershipHost::defineService(const TeamConfig &team, const ServiceId &id,
                                  const ServiceConfig &service, Time now) {
  ServiceDefinition definition{service.ShardCount, {}};
  for (const auto &[name, upstream] : team.Upstreams) {
    // A service without shards has a leader, and its upstreams no grants.
    if (upstream.Service != id || !service.IsDividedByKey)
      continue;
    definition.Upstreams.push_back(
        {name, upstream.Domain,
         upstream.IsDrained || team.Domains.at(upstream.Domain).IsTakenOut,
         service.ChecksOrders});
    Addresses[name] = upstream.Address;
  }
  const bool isNew =
      Leaders.try_emplace(id, id, Self, Parameters, randomNumber()).second;
  if (isNew && !Members.empty())
    handle(id, ControllersChanged{Members}, now);
  handle(id, ServiceChanged{std::move(definition)}, now);
}

void OwnershipHost::handle(const ServiceId &service,
                           const OwnershipEvent &event, Time now) {
  const auto it = Leaders.find(service);
  if (it == Leaders.end())
    return;
  for (OwnershipAction &action : it->second.handle(event, now))
    std::visit([&](auto &what) { carryOut(service, what, now); }, action);
}

void OwnershipHost::carryOut(const ServiceId &service, ReadRecord &action,
                             Time now) {
  if (!Store.requests().push({service, action}))
    handle(service, RecordRead{action.Operation}, now);
}

void OwnershipHost::carryOut(const ServiceId &service, WriteRecord &action,
                             Time now) {
  const std::uint64_t operation = action.Operation;
  if (!Store.requests().push({service, std::move(action)}))
    handle(service, RecordWritten{operation}, now);
}

void OwnershipHost::carryOut(const ServiceId &service, SendOrder &action,
                             Time now) {
  Orders.requests().push({service, action.To, Addresses[action.To],
                          now + Parameters.GrantTerm, std::move(action.Order)});
}

void OwnershipHost::carryOut(const ServiceId &service, QueryUpstream &action,
                             Time now) {
  Orders.requests().push({service, action.To, Addresses[action.To],
                          now + Parameters.GrantTerm, std::nullopt});
}

void OwnershipHost::carryOut(const ServiceId &, SendPeerMessage &action, Time) {
  Links.commands().push(LinkSend{action.To, std::nullopt,
                                 OwnershipEnvelope{std::move(action.Message)}});
}

void OwnershipHost::carryOut(const ServiceId &, PublishRecord &action,
                             Time now) {
  PublishToAll(action.Record, now);
}

} // namespace waxwing
