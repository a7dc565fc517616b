/**
 * @file revision_reports_base.h
 * Spreads and gathers the VMs' reports of revisions in force, a few on each
 * link in each round, so that the traffic is bounded whatever the size.
 */
#ifndef WAXWING_RELAY_REVISION_REPORTS_BASE_H
#define WAXWING_RELAY_REVISION_REPORTS_BASE_H

#include "config/team_config_base.h"
#include "relay/revision_reports_type.h"

#include <map>
#include <set>
#include <vector>

namespace waxwing {

/// Teams named in one report.
constexpr std::size_t ReportedTeams = 4;
/// Reports sent on one link in one round.
constexpr std::size_t ReportsPerRound = 4;
/// Distance of the rounds.
constexpr Duration ReportPeriod = seconds(1);

/// What one VM knows of all VMs' revisions in force.
class RevisionReports {
public:
  RevisionReports(VmId vm, Incarnation process);

  /// @p config is in force on this VM now.
  void setOwn(const Configuration &config, Time now);
  void addPeer(const VmId &peer);
  void removePeer(const VmId &peer) { Unsent.erase(peer); }
  void take(const VmId &from, const RevisionReportsUpdate &update, Time now);

  /// @return what to send on each link in this round
  std::map<VmId, RevisionReportsUpdate> nextRound();

  /// @return one row for each VM heard of and each of its teams known
  std::vector<RevisionInForce> rows() const;

private:
  struct VmData {
    RevisionReport Report;
    std::map<TeamId, Revision> Revisions; ///< known so far
    Time HeardAt;
  };

  void markUnsent(const VmId &vm, const VmId &except);
  void fillKnown(VmData &data) const;

  RevisionReport Own;
  std::map<TeamId, Revision> OwnRevisions;
  std::map<VmId, VmData> Vms;            ///< with this VM
  std::map<VmId, std::set<VmId>> Unsent; ///< by peer: VMs to tell it of
};

} // namespace waxwing

#endif
