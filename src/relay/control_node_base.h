/**
 * @file control_node_base.h
 * Membership, relay, reports and the documents in force of one controller,
 * as one state machine. No I/O, no clock, no threads.
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

/// Invariant: a document in force is never replaced by an older one.
class ControlNode {
public:
  ControlNode(const MemberEntry &self, MembershipParameters membership,
              RelayParameters relay, Time now);

  /// Takes one event.
  /// @param now this process's clock, never before an earlier now
  /// @return what to do, in this order
  std::vector<ControlAction> handle(const ControlEvent &event, Time now);

  const Configuration &configuration() const { return Config; }
  const Membership &membership() const { return Members; }
  /// @return false while a starting process waits for its peers' documents
  bool isServing() const { return Items.isServing(); }
  /// @return the newest record of each service, by name
  std::vector<OwnershipRecord> records() const;
  /// @return which VM has which revisions in force, as far as known
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

  void tell(const MembershipEvent &event, Time now);
  void tell(const RelayEvent &event, Time now);
  void carryOut(SendMembership &action, Time now);
  void carryOut(SendHeartbeat &action, Time now);
  void carryOut(SetLinkTargets &action, Time now);
  void carryOut(CloseLink &action, Time now);
  void carryOut(MembersChanged &action, Time now);
  void carryOut(SendRelay &action, Time now);
  void carryOut(UseItems &action, Time now);
  void putInForce(std::vector<TeamDocument> documents, Time now);
  void decideWatching(Time now);
  void sendReports(Time now);

  Membership Members;
  Relay Items;
  RevisionReports Reports;
  Configuration Config;
  Time JoinUntil;                    ///< nothing is decided on watching before
  bool IsWatchWanted = false;        ///< told to watch
  bool IsChosenWatcher = false;      ///< by the present members
  bool IsChoiceStale = true;         ///< members changed since it was made
  std::optional<Time> WatchChangeAt; ///< when the choice takes effect
  std::optional<Time> FailingAt;     ///< unanswered until then: say so
  Time NextReports;
  std::vector<ControlAction> Actions;
};

} // namespace waxwing

#endif
