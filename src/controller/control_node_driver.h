/**
 * @file control_node_driver.h
 * Drives the control node: feeds it link and store events, and executes its
 * actions on links, the store watch and connected routers.
 */
#ifndef WAXWING_CONTROLLER_CONTROL_NODE_DRIVER_H
#define WAXWING_CONTROLLER_CONTROL_NODE_DRIVER_H

#include "controller/link_manager.h"
#include "controller/store_client.h"
#include "ownership/ownership_leader_type.h"
#include "relay/control_node_base.h"
#include "settings/vm_settings_base.h"

#include <functional>
#include <vector>

namespace waxwing {

/// Callbacks of ControlNodeDriver, called on the decision thread.
struct ControlNodeHandlers {
  /// New documents are in force.
  std::function<void(Time now)> OnConfiguration;
  /// The set of members or the state of a member changed.
  std::function<void(std::vector<ControllerMember> members, Time now)>
      OnMembers;
  /// A newer ownership record was received or published.
  std::function<void(const OwnershipRecord &record, Time now)> OnRecord;
};

/// Runs the ControlNode state machine of this VM. Used on the decision thread
/// only.
class ControlNodeDriver {
public:
  ControlNodeDriver(const RecordMember &self, const VmSettings &settings,
                    StoreClient &store, LinkManager &links,
                    ControlCounters &counters, ControlNodeHandlers handlers,
                    Time now);

  /// @return the documents in force on this VM
  const Configuration &configuration() const { return Node.configuration(); }
  /// @return the known revisions in force on each VM
  std::vector<RevisionInForce> revisionsInForce() const {
    return Node.revisionsInForce();
  }
  /// @return all known members except this VM, including dead ones
  std::vector<MemberEntry> members() const {
    return Node.membership().others();
  }

  /// @return the newest known ownership record of each service
  std::vector<OwnershipRecord> records() const { return Node.records(); }

  void tick(Time now);
  /// Announces to peers that this process is shutting down.
  void leave(Time now) { handle(ShutdownStarted(), now); }
  /// Puts a document into force that the store has accepted.
  void apply(const TeamDocument &document, Time now) {
    handle(DocumentAccepted{document}, now);
  }
  /// Distributes a record published by this VM's ownership state machine.
  void publish(const OwnershipRecord &record, Time now) {
    handle(RecordPublished{record}, now);
  }

  void on(DocumentsRead &read, Time now);
  void on(const VmListRead &read, Time now) {
    handle(VmListUpdated{read.Vms}, now);
  }
  void on(const LinkMessageReceived &received, Time now);
  void on(const LinkLost &lost, Time now);

private:
  void handle(const ControlEvent &event, Time now);
  void execute(SendControl &action, Time now);
  void execute(SetLinkTargets &action, Time now);
  void execute(CloseLink &action, Time now);
  void execute(MembersChanged &action, Time now);
  void execute(WatchStore &action, Time now);
  void execute(WriteDocumentAgain &action, Time now);
  void execute(DocumentsInForce &action, Time now);
  void execute(DocumentRejected &action, Time now);
  void execute(RecordUpdated &action, Time now);
  void sendStateToRouters();
  void logMemberStateChanges();
  MembersUpdate fallbackControllers() const;
  void send(SendLinkMessage message) {
    Links.commands().push(std::move(message));
  }

  RecordMember Self;
  StoreClient &Store;
  LinkManager &Links;
  ControlCounters &Counters;
  ControlNodeHandlers Handlers;
  ControlNode Node;
  std::map<VmId, Endpoint> Targets; ///< controllers to keep links to
  Time NextRouterHeartbeat;
  std::map<VmId, MemberState> LoggedStates; ///< last logged, by member
};

} // namespace waxwing

#endif
