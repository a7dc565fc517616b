/**
 * @file ownership_driver.cpp
 * Passes events to the ownership state machine of each service and executes its
 * actions.
 */
#include "controller/ownership_driver.h"

#include "core/random_func.h"

namespace waxwing {

OwnershipDriver::OwnershipDriver(RecordMember self,
                                 OwnershipParameters parameters,
                                 StoreClient &store, GrantOrderClient &orders,
                                 LinkManager &links, PublishHandler publish)
    : Self(std::move(self)), Parameters(parameters), Store(store),
      Orders(orders), Links(links), OnPublish(std::move(publish)) {}

void OwnershipDriver::tick(Time now) {
  for (auto &[service, leader] : Leaders)
    handle(service, Tick(), now);
}

void OwnershipDriver::on(RecordStoreResult &result, Time now) {
  std::visit([&](auto &it) { handle(result.Service, std::move(it), now); },
             result.Event);
}

void OwnershipDriver::on(GrantOrderAnswered &answered, Time now) {
  handle(answered.Service, UpstreamAnswered{std::move(answered.Answer)}, now);
}

void OwnershipDriver::handlePeerMessage(const RecordMember &from,
                                        const OwnershipMessage &message,
                                        Time now) {
  const ServiceId service =
      std::visit([](const auto &it) { return it.Service; }, message);
  handle(service, PeerMessageReceived{from, message}, now);
}

void OwnershipDriver::on(HotKeysReport report, ProcessRole from, Time now) {
  const OwnershipLeader *leader = find(report.Service);
  if (leader == nullptr || !leader->record() ||
      leader->record()->Members.empty())
    return;
  if (leader->isLeader())
    return handle(report.Service, HotKeysReported{std::move(report.Rates)},
                  now);
  const VmId to = leader->record()->Members.front().Vm;
  if (to != Self.Vm && from == ProcessRole::Router)
    Links.commands().push(SendLinkMessage{to, std::nullopt, std::move(report)});
}

void OwnershipDriver::receiveRecord(const OwnershipRecord &record, Time now) {
  handle(record.Service, RecordReceived{record}, now);
}

void OwnershipDriver::setConfiguration(const Configuration &config, Time now) {
  for (const auto &[team, teamConfig] : config.teams())
    for (const auto &[id, service] : teamConfig.Services)
      updateService(teamConfig, id, service, now);
}

void OwnershipDriver::setMembers(std::vector<ControllerMember> members,
                                 Time now) {
  Members = std::move(members);
  for (auto &[service, leader] : Leaders)
    handle(service, ControllersChanged{Members}, now);
}

void OwnershipDriver::updateService(const TeamConfig &team, const ServiceId &id,
                                    const ServiceConfig &service, Time now) {
  ServiceDefinition definition{service.ShardCount, {}};
  for (const auto &[name, upstream] : team.Upstreams) {
    // Upstreams of a service that is not divided by key receive no grants, but
    // the service has a leader.
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

void OwnershipDriver::handle(const ServiceId &service,
                             const OwnershipEvent &event, Time now) {
  const auto leader = Leaders.find(service);
  if (leader == Leaders.end())
    return;
  for (OwnershipAction &action : leader->second.handle(event, now))
    std::visit([&](auto &it) { execute(service, it, now); }, action);
}

void OwnershipDriver::execute(const ServiceId &service, ReadRecord &action,
                              Time now) {
  if (!Store.requests().push({service, action}))
    handle(service, RecordRead{action.Operation}, now);
}

void OwnershipDriver::execute(const ServiceId &service, WriteRecord &action,
                              Time now) {
  const std::uint64_t operation = action.Operation;
  if (!Store.requests().push({service, std::move(action)}))
    handle(service, RecordWritten{operation}, now);
}

void OwnershipDriver::execute(const ServiceId &service, SendOrder &action,
                              Time now) {
  Orders.requests().push({service, action.To, Addresses[action.To],
                          now + Parameters.GrantTerm, std::move(action.Order)});
}

void OwnershipDriver::execute(const ServiceId &service, QueryUpstream &action,
                              Time now) {
  Orders.requests().push({service, action.To, Addresses[action.To],
                          now + Parameters.GrantTerm, std::nullopt});
}

void OwnershipDriver::execute(const ServiceId &, SendPeerMessage &action,
                              Time) {
  Links.commands().push(SendLinkMessage{
      action.To, std::nullopt, OwnershipEnvelope{std::move(action.Message)}});
}

void OwnershipDriver::execute(const ServiceId &, PublishRecord &action,
                              Time now) {
  OnPublish(action.Record, now);
}

} // namespace waxwing
