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
  Own.Vm = std::move(vm);
  Own.Process = process;
}

void RevisionReports::setOwn(const Configuration &config, Time now) {
  for (const auto &[team, document] : config.documents()) {
    Revision &known = OwnRevisions[team];
    if (known == document.Rev)
      continue;
    known = document.Rev;
    std::erase_if(Own.Recent,
                  [&](const TeamRevision &it) { return it.Team == team; });
    Own.Recent.push_back({team, document.Rev});
  }
  if (Own.Recent.size() > MaxRecentTeams)
    Own.Recent.erase(Own.Recent.begin(),
                     Own.Recent.end() -
                         static_cast<std::ptrdiff_t>(MaxRecentTeams));
  Own.Digest = digestOf(OwnRevisions);
  ++Own.Version;
  Vms[Own.Vm] = {Own, OwnRevisions, now};
  markReportUnsent(Own.Vm, Own.Vm);
  for (auto &[vm, data] : Vms)
    copyOwnIfDigestMatches(data);
}

void RevisionReports::addPeer(const VmId &peer) {
  std::set<VmId> &unsent = UnsentReports[peer];
  for (const auto &[vm, data] : Vms)
    unsent.insert(vm);
}

void RevisionReports::merge(const VmId &from,
                            const RevisionReportsUpdate &update, Time now) {
  for (const RevisionReport &report : update.Reports) {
    if (report.Vm == Own.Vm) {
      // A newer report with this VM's id is from an earlier process. This
      // process's report gets a greater version, so that it replaces that one.
      if (!isNewer(report, Own))
        continue;
      Own.Version = report.Version + 1;
      Vms[Own.Vm] = {Own, OwnRevisions, now};
      markReportUnsent(Own.Vm, Own.Vm);
      continue;
    }
    const auto [it, isNew] = Vms.try_emplace(report.Vm);
    VmData &data = it->second;
    if (!isNew && !isNewer(report, data.Report))
      continue;
    if (report.Process != data.Report.Process)
      data.Revisions.clear();
    data.Report = report;
    data.HeardAt = now;
    for (const TeamRevision &row : report.Recent)
      data.Revisions[row.Team] = row.Rev;
    copyOwnIfDigestMatches(data);
    markReportUnsent(report.Vm, from);
  }
}

std::map<VmId, RevisionReportsUpdate> RevisionReports::nextRound() {
  std::map<VmId, RevisionReportsUpdate> round;
  for (auto &[peer, unsent] : UnsentReports) {
    RevisionReportsUpdate update;
    while (!unsent.empty() && update.Reports.size() < MaxReportsPerRound)
      update.Reports.push_back(
          Vms.at(unsent.extract(unsent.begin()).value()).Report);
    if (!update.Reports.empty())
      round[peer] = std::move(update);
  }
  return round;
}

std::vector<RevisionInForce> RevisionReports::rows() const {
  std::vector<RevisionInForce> rows;
  for (const auto &[vm, data] : Vms)
    for (const auto &[team, rev] : data.Revisions)
      rows.push_back({vm, team, rev, data.HeardAt});
  return rows;
}

void RevisionReports::markReportUnsent(const VmId &vm, const VmId &except) {
  for (auto &[peer, unsent] : UnsentReports)
    if (peer != except)
      unsent.insert(vm);
}

/// Equal digests mean that the VM has the same revisions of all teams in force
/// as this one.
void RevisionReports::copyOwnIfDigestMatches(VmData &data) const {
  if (data.Report.Digest == Own.Digest)
    data.Revisions = OwnRevisions;
}

} // namespace waxwing
