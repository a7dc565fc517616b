/**
 * @file ownership_host.h
 * Runs the ownership state machine of each service and
 * carries out what they ask for.
 */
#ifndef WAXWING_CONTROLLER_OWNERSHIP_HOST_H
#define WAXWING_CONTROLLER_OWNERSHIP_HOST_H

#include "controller/link_port.h"
#include "controller/order_port.h"
#include "controller/store_port.h"
#include "ownership/ownership_leader_base.h"

#include <functional>
#include <map>
#include <vector>

namespace waxwing {

/// Used on the decision thread only.
class OwnershipHost {
public:
  /// Tells everyone who owns a service's keys.
  using Publish = std::function<void(const OwnershipRecord &record, Time now)>;

  OwnershipHost(RecordMember self, OwnershipParameters terms, StorePort &store,
                OrderPort &orders, LinkPort &links, Publish publish);

  void tick(Time now);
  void on(RecordResult &result, Time now);
  void on(OrderAnswered &answered, Time now);
  void onPeer(const RecordMember &from, const OwnershipMessage &message,
              Time now);

  /// @return the service's state machine, or nullptr
  const OwnershipLeader *find(const ServiceId &service) const {
    const auto it = Leaders.find(service);
    return it == Leaders.end() ? nullptr : &it->second;
  }

  /// A router found hot keys: this controller leads their service, or passes
  /// the report on to the one that does. What a controller passed on is not
  /// passed on again.
  void on(HotKeysReport report, ProcessRole from, Time now);
  /// Another controller published a record.
  void hear(const OwnershipRecord &record, Time now);
  /// The configuration in force changed.
  void define(const Configuration &config, Time now);
  /// Membership's view changed.
  void setMembers(std::vector<ControllerMember> members, Time now);

private:
  void defineService(const TeamConfig &team, const ServiceId &id,
                     const ServiceConfig &service, Time now);
  void handle(const ServiceId &service, const OwnershipEvent &event, Time now);
  void carryOut(const ServiceId &service, ReadRecord &action, Time now);
  void carryOut(const ServiceId &service, WriteRecord &action, Time now);
  void carryOut(const ServiceId &service, SendOrder &action, Time now);
  void carryOut(const ServiceId &service, QueryUpstream &action, Time now);
  void carryOut(const ServiceId &service, SendPeerMessage &action, Time now);
  void carryOut(const ServiceId &service, PublishRecord &action, Time now);

  RecordMember Self;
  OwnershipParameters Parameters;
  StorePort &Store;
  OrderPort &Orders;
  LinkPort &Links;
  Publish PublishToAll;
  std::map<ServiceId, OwnershipLeader> Leaders;
  std::map<UpstreamId, Endpoint> Addresses;
  std::vector<ControllerMember> Members;
};

} // namespace waxwing

#endif
