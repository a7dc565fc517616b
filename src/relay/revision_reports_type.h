/**
 * @file revision_reports_type.h
 * Reports of the revisions that each VM has in force, exchanged over links.
 */
#ifndef WAXWING_RELAY_REVISION_REPORTS_TYPE_H
#define WAXWING_RELAY_REVISION_REPORTS_TYPE_H

#include "core/id_type.h"
#include "core/time_type.h"

#include <vector>

namespace waxwing {

struct TeamRevision {
  TeamId Team;
  Revision Rev;
  bool operator==(const TeamRevision &) const = default;
};

/// Revisions of the team documents in force on one VM. The report is bounded in
/// size: teams that are not in Recent are represented only by the digest.
struct RevisionReport {
  VmId Vm;
  Incarnation Process;
  std::uint64_t Version = 0;        ///< increased only by the reporting VM
  std::uint64_t Digest = 0;         ///< digest of all teams' revisions in force
  std::vector<TeamRevision> Recent; ///< most recently changed teams
  bool operator==(const RevisionReport &) const = default;
};

/// Reports that the receiver may not have.
struct RevisionReportsUpdate {
  std::vector<RevisionReport> Reports;
};

/// Revision of one team's document in force on one VM, as listed by the
/// administration API.
struct RevisionInForce {
  VmId Vm;
  TeamId Team;
  Revision Rev;
  Time ReportReceivedAt; ///< when the VM's newest report was received
};

} // namespace waxwing

#endif
