/**
 * @file control_node_base.h
 * State machine of one controller that combines membership, relay, revision
 * reports and the documents in force. It does no I/O, reads no clock and has no
 * threads.
 */
#ifndef WAXWING_RELAY_CONTROL_NODE_BASE_H
#define WAXWING_RELAY_CONTROL_NODE_BASE_H

#include "membership/membership_base.h"
#include "relay/control_node_type.h"
#include "relay/relay_base.h"
#include "relay/revision_reports_base.h"

#include <optional>
#include <vector>

namespace waxwing {

/// State machine of the members, team documents and ownership records known to
/// one controller.
/// Invariant: a document in force is never replaced by an older revision.
class ControlNode {
public:
  ControlNode(const MemberEntry &self, MembershipParameters membership,
              RelayParameters relay, Time now);

  /// Handles one event.
  /// @param now current time; never earlier than in the previous call
  /// @return actions to execute, in this order
  std::vector<ControlAction> handle(const ControlEvent &event, Time now);

  const Configuration &configuration() const { return Config; }
  const Membership &membership() const { return MembershipState; }
  /// @return false while a starting process waits for the team documents and
  ///   ownership records of its peers
  bool isServing() const { return RelayState.isServing(); }
  /// @return the newest record of each service, ordered by service
  std::vector<OwnershipRecord> records() const;
  /// @return the known revisions in force on each VM
  std::vector<RevisionInForce> revisionsInForce() const {
    return Reports.rows();
  }

private:
  void on(const ControlTick &, Time now);
  void on(const VmListUpdated &event, Time now);
  void on(const PeerLinked &event, Time now);
  void on(const PeerUnlinked &event, Time now);
  void on(const PeerMessage &event, Time now);
  void on(const DocumentsWatched &event, Time now);
  void on(const DocumentAccepted &event, Time now);
  void on(const RecordPublished &event, Time now);
  void on(const ShutdownStarted &event, Time now);
  void onMessage(const VmId &from, const LinkMessage &message, Time now);

  void dispatch(const MembershipEvent &event, Time now);
  void dispatch(const RelayEvent &event, Time now);
  void execute(SendMembership &action, Time now);
  void execute(SendHeartbeat &action, Time now);
  void execute(SetLinkTargets &action, Time now);
  void execute(CloseLink &action, Time now);
  void execute(MembersChanged &action, Time now);
  void execute(SendRelay &action, Time now);
  void execute(ApplyItems &action, Time now);
  void putInForce(std::vector<TeamDocument> documents, Time now);
  void updateWatch(Time now);
  void sendReports(Time now);

  Membership MembershipState;
  Relay RelayState;
  RevisionReports Reports;
  Configuration Config;
  /// Watching the store's documents is not started or stopped before this time.
  Time WatchDecisionStart;
  /// IsWanted of the last WatchStore action.
  bool IsWatchRequested = false;
  bool IsSelectedWatcher = false;
  bool IsWatcherSelectionStale = true;
  /// When the pending start or stop of the watch takes effect.
  std::optional<Time> WatchChangeDeadline;
  /// Time at which a store failure is reported if the store has not answered.
  std::optional<Time> StoreFailureDeadline;
  Time NextReportRound;
  std::vector<ControlAction> Actions;
};

} // namespace waxwing

#endif
