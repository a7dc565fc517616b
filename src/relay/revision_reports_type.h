/**
 * @file revision_reports_type.h
 * Which revisions each VM has in force, as told over links.
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

/// One VM's word on what it has in force. Its size is bounded: the digest
/// stands for the teams that are not in Recent.
struct RevisionReport {
  VmId Vm;
  Incarnation Process;
  std::uint64_t Version = 0;        ///< raised by the VM itself only
  std::uint64_t Digest = 0;         ///< of all teams' revisions in force
  std::vector<TeamRevision> Recent; ///< the last to come into force
  bool operator==(const RevisionReport &) const = default;
};

/// Reports that the receiver may lack.
struct RevisionReportsUpdate {
  std::vector<RevisionReport> Reports;
};

/// One row for the administration API.
struct RevisionInForce {
  VmId Vm;
  TeamId Team;
  Revision Rev;
  Time HeardAt; ///< when the VM's newest report arrived here
};

} // namespace waxwing

#endif
