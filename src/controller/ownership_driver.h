/**
 * @file ownership_driver.h
 * Runs the ownership state machine of each service and executes its actions.
 */
#ifndef WAXWING_CONTROLLER_OWNERSHIP_DRIVER_H
#define WAXWING_CONTROLLER_OWNERSHIP_DRIVER_H

#include "controller/grant_order_client.h"
#include "controller/link_manager.h"
#include "controller/store_client.h"
#include "ownership/ownership_leader_base.h"

#include <functional>
#include <map>
#include <vector>

namespace waxwing {

/// Runs the OwnershipLeader state machines of all services. Used on the
/// decision thread only.
class OwnershipDriver {
public:
  /// Distributes a service's ownership record to all processes.
  using PublishHandler =
      std::function<void(const OwnershipRecord &record, Time now)>;

  OwnershipDriver(RecordMember self, OwnershipParameters parameters,
                  StoreClient &store, GrantOrderClient &orders,
                  LinkManager &links, PublishHandler publish);

  void tick(Time now);
  void on(RecordStoreResult &result, Time now);
  void on(GrantOrderAnswered &answered, Time now);
  void handlePeerMessage(const RecordMember &from,
                         const OwnershipMessage &message, Time now);

  /// @return the service's state machine, or nullptr if the service is unknown
  const OwnershipLeader *find(const ServiceId &service) const {
    const auto it = Leaders.find(service);
    return it == Leaders.end() ? nullptr : &it->second;
  }

  /// Handles hot keys reported by a router, if this controller leads the
  /// service, or else forwards the report to the leader. A report forwarded by
  /// a controller is not forwarded again.
  void on(HotKeysReport report, ProcessRole from, Time now);
  /// Handles a record published by another controller.
  void receiveRecord(const OwnershipRecord &record, Time now);
  /// Updates the services from the configuration in force.
  void setConfiguration(const Configuration &config, Time now);
  /// Updates the members known to the state machines.
  void setMembers(std::vector<ControllerMember> members, Time now);

private:
  void updateService(const TeamConfig &team, const ServiceId &id,
                     const ServiceConfig &service, Time now);
  void handle(const ServiceId &service, const OwnershipEvent &event, Time now);
  void execute(const ServiceId &service, ReadRecord &action, Time now);
  void execute(const ServiceId &service, WriteRecord &action, Time now);
  void execute(const ServiceId &service, SendOrder &action, Time now);
  void execute(const ServiceId &service, QueryUpstream &action, Time now);
  void execute(const ServiceId &service, SendPeerMessage &action, Time now);
  void execute(const ServiceId &service, PublishRecord &action, Time now);

  RecordMember Self;
  OwnershipParameters Parameters;
  StoreClient &Store;
  GrantOrderClient &Orders;
  LinkManager &Links;
  PublishHandler OnPublish;
  std::map<ServiceId, OwnershipLeader> Leaders;
  std::map<UpstreamId, Endpoint> Addresses;
  std::vector<ControllerMember> Members;
};

} // namespace waxwing

#endif
