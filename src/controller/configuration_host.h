/**
 * @file configuration_host.h
 * Carries out what the control node asks for: links, watching the store,
 * and news for routers.
 */
#ifndef WAXWING_CONTROLLER_CONFIGURATION_HOST_H
#define WAXWING_CONTROLLER_CONFIGURATION_HOST_H

#include "controller/link_port.h"
#include "controller/store_port.h"
#include "ownership/ownership_leader_type.h"
#include "relay/control_node_base.h"
#include "settings/vm_settings_base.h"

#include <functional>
#include <vector>

namespace waxwing {

/// Called on the decision thread.
struct ConfigurationHandlers {
  /// Documents came into force.
  std::function<void(Time now)> OnConfiguration;
  /// Membership's view changed.
  std::function<void(std::vector<ControllerMember> members, Time now)>
      OnMembers;
  /// A record is known to be written.
  std::function<void(const OwnershipRecord &record, Time now)> OnRecord;
};

/// Used on the decision thread only.
class ConfigurationHost {
public:
  ConfigurationHost(const RecordMember &self, const VmSettings &settings,
                    StorePort &store, LinkPort &links,
                    ControlCounters &counters, ConfigurationHandlers handlers,
                    Time now);

  /// @return the documents in force on this VM
  const Configuration &configuration() const { return Node.configuration(); }
  /// @return which VM has which revisions in force, as far as known
  std::vector<RevisionInForce> revisionsInForce() const {
    return Node.revisionsInForce();
  }
  /// @return members that are known, dead ones included, without this VM
  std::vector<MemberEntry> members() const {
    return Node.membership().others();
  }

  /// @return the newest ownership records known here
  std::vector<OwnershipRecord> records() const { return Node.records(); }

  void tick(Time now);
  /// This process is shutting down.
  void leave(Time now) { handle(ShutdownStarted(), now); }
  /// Puts a document into force whose write is known to have taken effect.
  void apply(const TeamDocument &document, Time now) {
    handle(DocumentAccepted{document}, now);
  }
  /// Passes on a record that this VM's state machine published.
  void publish(const OwnershipRecord &record, Time now) {
    handle(RecordPublished{record}, now);
  }

  void on(DocumentsRead &read, Time now);
  void on(const VmListRead &read, Time now) {
    handle(VmListUpdated{read.Vms}, now);
  }
  void on(const LinkReceived &received, Time now);
  void on(const LinkLost &lost, Time now);

private:
  void handle(const ControlEvent &event, Time now);
  void carryOut(SendControl &action, Time now);
  void carryOut(SetLinkTargets &action, Time now);
  void carryOut(CloseLink &action, Time now);
  void carryOut(MembersChanged &action, Time now);
  void carryOut(WatchStore &action, Time now);
  void carryOut(DocumentsInForce &action, Time now);
  void carryOut(DocumentRejected &action, Time now);
  void carryOut(RecordUpdated &action, Time now);
  void greetRouter();
  void logStates();
  MembersUpdate controllersForRouters() const;
  void send(LinkSend message) { Links.commands().push(std::move(message)); }

  RecordMember Self;
  StorePort &Store;
  LinkPort &Links;
  ControlCounters &Counters;
  ConfigurationHandlers Handlers;
  ControlNode Node;
  std::map<VmId, Endpoint> Targets;
  Time NextRouterHeartbeat;
  std::map<VmId, MemberState> Logged; ///< states that were logged last
};

} // namespace waxwing

#endif
