/**
 * @file revision_reports.cpp
 * Merges revision reports and selects those to send.
 */
#include "relay/revision_reports_base.h"

#include "core/hash_func.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace waxwing {
namespace {

std::uint64_t digestOf(const std::map<TeamId, Revision> &revisions) {
  std::uint64_t digest = 0;
  for (const auto &[team, rev] : revisions)
    digest ^= hashText(team.Value, rev.Value);
  return digest;
}

bool isNewer(const RevisionReport &a, const RevisionReport &b) {
  return std::tuple(a.Version, a.Process) > std::tuple(b.Version, b.Process);
}

} // namespace

RevisionReports::RevisionReports(VmId vm, Incarnation process) {
  OwnReport.Vm = std::move(vm);
  OwnReport.Process = process;
}

void RevisionReports::setOwnRevisions(const Configuration &config, Time now) {
  for (const auto &[team, document] : config.documents()) {
    Revision &known = OwnRevisions[team];
    if (known == document.Rev)
      continue;
    known = document.Rev;
    std::erase_if(OwnReport.Recent,
                  [&](const TeamRevision &it) { return it.Team == team; });
    OwnReport.Recent.push_back({team, document.Rev});
  }
  if (OwnReport.Recent.size() > MaxRecentTeams)
    OwnReport.Recent.erase(OwnReport.Recent.begin(),
                           OwnReport.Recent.end() -
                               static_cast<std::ptrdiff_t>(MaxRecentTeams));
  OwnReport.Digest = digestOf(OwnRevisions);
  ++OwnReport.Version;
  KnownVms[OwnReport.Vm] = {OwnReport, OwnRevisions, now};
  markReportUnsent(OwnReport.Vm, OwnReport.Vm);
  for (auto &[vm, data] : KnownVms)
    copyOwnRevisionsIfDigestMatches(data);
}

void RevisionReports::addPeer(const VmId &peer) {
  std::set<VmId> &unsent = UnsentReports[peer];
  for (const auto &[vm, data] : KnownVms)
    unsent.insert(vm);
}

void RevisionReports::merge(const VmId &from,
                            const RevisionReportsUpdate &update, Time now) {
  for (const RevisionReport &report : update.Reports) {
    if (report.Vm == OwnReport.Vm) {
      // A report of this VM that is newer than the local one is from an earlier
      // process. The local report gets a greater version in order to replace
      // it.
      if (!isNewer(report, OwnReport))
        continue;
      OwnReport.Version = report.Version + 1;
      KnownVms[OwnReport.Vm] = {OwnReport, OwnRevisions, now};
      markReportUnsent(OwnReport.Vm, OwnReport.Vm);
      continue;
    }
    const auto [it, isNew] = KnownVms.try_emplace(report.Vm);
    VmData &data = it->second;
    if (!isNew && !isNewer(report, data.Report))
      continue;
    if (report.Process != data.Report.Process)
      data.Revisions.clear();
    data.Report = report;
    data.ReportReceivedAt = now;
    for (const TeamRevision &row : report.Recent)
      data.Revisions[row.Team] = row.Rev;
    copyOwnRevisionsIfDigestMatches(data);
    markReportUnsent(report.Vm, from);
  }
}

std::map<VmId, RevisionReportsUpdate> RevisionReports::nextRound() {
  std::map<VmId, RevisionReportsUpdate> round;
  for (auto &[peer, unsent] : UnsentReports) {
    RevisionReportsUpdate update;
    while (!unsent.empty() && update.Reports.size() < MaxReportsPerRound)
      update.Reports.push_back(
          KnownVms.at(unsent.extract(unsent.begin()).value()).Report);
    if (!update.Reports.empty())
      round[peer] = std::move(update);
  }
  return round;
}

std::vector<RevisionInForce> RevisionReports::rows() const {
  std::vector<RevisionInForce> rows;
  for (const auto &[vm, data] : KnownVms)
    for (const auto &[team, rev] : data.Revisions)
      rows.push_back({vm, team, rev, data.ReportReceivedAt});
  return rows;
}

void RevisionReports::markReportUnsent(const VmId &vm, const VmId &except) {
  for (auto &[peer, unsent] : UnsentReports)
    if (peer != except)
      unsent.insert(vm);
}

/// If a VM's digest equals the local one, that VM has the same revisions in
/// force as this one for all teams, also for those that its report leaves out.
void RevisionReports::copyOwnRevisionsIfDigestMatches(VmData &data) const {
  if (data.Report.Digest == OwnReport.Digest)
    data.Revisions = OwnRevisions;
}

} // namespace waxwing
