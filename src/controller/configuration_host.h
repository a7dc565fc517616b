/**
 * @file configuration_host.h
 * Membership and the relay: which controllers are linked, which documents
 * and ownership records are passed on to them and to routers.
 */
#ifndef WAXWING_CONTROLLER_CONFIGURATION_HOST_H
#define WAXWING_CONTROLLER_CONFIGURATION_HOST_H

#include "controller/link_port.h"
#include "controller/store_port.h"

#include <functional>
#include <map>
#include <vector>

namespace waxwing {

/// Used on the decision thread only.
class ConfigurationHost {
public:
  /// Called after documents came into force.
  using Changed = std::function<void(Time now)>;

  ConfigurationHost(RecordMember self, LinkPort &links, Changed changed);

  /// @return the documents in force on this VM
  const Configuration &configuration() const { return Config; }

  /// @return the newest ownership records known here
  const std::map<ServiceId, OwnershipRecord> &owners() const { return Owners; }

  /// Puts documents into force that are newer, and passes them on.
  void apply(const std::vector<TeamDocument> &documents, Time now);
  /// Keeps a newer record and tells the routers linked to this VM.
  void takeOwners(const OwnershipRecord &record);
  /// Passes on a record that this VM's state machine published.
  void publish(const OwnershipRecord &record);

  void on(const VmListRead &read, Time now);
  void on(const LinkReceived &received, Time now);
  void on(const LinkLost &lost, Time now);

private:
  void greet(const LinkHello &peer);
  void send(LinkSend message) { Links.commands().push(std::move(message)); }

  RecordMember Self;
  LinkPort &Links;
  Changed ConfigurationChanged;
  Configuration Config;
  std::vector<ListedVm> Vms;
  std::map<ServiceId, OwnershipRecord> Owners;
};

} // namespace waxwing

#endif
