/**
 * @file revision_reports_base.h
 * Distributes the VMs' reports of revisions in force. A limited number is sent
 * on each link per round, which bounds the traffic for any number of VMs.
 */
#ifndef WAXWING_RELAY_REVISION_REPORTS_BASE_H
#define WAXWING_RELAY_REVISION_REPORTS_BASE_H

#include "config/team_config_base.h"
#include "relay/revision_reports_type.h"

#include <map>
#include <set>
#include <vector>

namespace waxwing {

/// Maximum number of teams in RevisionReport::Recent.
constexpr std::size_t MaxRecentTeams = 4;
/// Maximum number of reports sent on one link per round.
constexpr std::size_t MaxReportsPerRound = 4;
/// Time between two rounds of sending reports to peers.
constexpr Duration ReportPeriod = seconds(1);

/// Collects reports of which document revisions are in force on each VM.
class RevisionReports {
public:
  RevisionReports(VmId vm, Incarnation process);

  /// Updates this VM's report to @p config, which is now in force.
  void setOwnRevisions(const Configuration &config, Time now);
  void addPeer(const VmId &peer);
  void removePeer(const VmId &peer) { UnsentReports.erase(peer); }
  void merge(const VmId &from, const RevisionReportsUpdate &update, Time now);

  /// @return the reports to send to each peer in this round
  std::map<VmId, RevisionReportsUpdate> nextRound();

  /// @return one entry for each VM and each team whose revision there is known
  std::vector<RevisionInForce> rows() const;

private:
  struct VmData {
    RevisionReport Report;
    /// Revisions in force on the VM, as far as they are known here.
    std::map<TeamId, Revision> Revisions;
    Time ReportReceivedAt;
  };

  void markReportUnsent(const VmId &vm, const VmId &except);
  void copyOwnRevisionsIfDigestMatches(VmData &data) const;

  RevisionReport OwnReport;
  std::map<TeamId, Revision> OwnRevisions;
  std::map<VmId, VmData> KnownVms; ///< includes this VM
  /// For each peer, the VMs whose newest report was not yet sent to it.
  std::map<VmId, std::set<VmId>> UnsentReports;
};

} // namespace waxwing

#endif
