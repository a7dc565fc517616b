/**
 * @file admin_query_handler.cpp
 * Answers admin queries for key owners, revisions in force and counters from
 * this VM's state.
 */
#include "controller/admin_query_handler.h"

#include "table/control_counters.h"
#include "upstream/upstream_protocol.h"

#include <algorithm>
#include <map>

namespace waxwing {
namespace {

OwnerResponse findOwner(const OwnershipRecord &record, const std::string &key) {
  const auto [unit, owner] = ownerOf(record, hashKey(key));
  return {true, owner.Owner, owner.Fence, record.Rev, formatUnit(unit)};
}

} // namespace

AdminQueryHandler::Result
AdminQueryHandler::answer(const AdminQuery &query) const {
  return std::visit(*this, query.Call);
}

AdminQueryHandler::Result
AdminQueryHandler::operator()(const OwnerRequest &call) const {
  const std::vector<OwnershipRecord> records = NodeDriver.records();
  const auto it =
      std::ranges::find(records, call.Service, &OwnershipRecord::Service);
  if (it == records.end() || it->Shards.empty())
    return OwnerResponse();
  return findOwner(*it, call.Key);
}

AdminQueryHandler::Result
AdminQueryHandler::operator()(const RevisionsRequest &) const {
  std::map<VmId, VmRevisions> vms;
  for (const RevisionInForce &row : NodeDriver.revisionsInForce()) {
    VmRevisions &vm = vms[row.Vm];
    vm.AgeMs = static_cast<std::uint64_t>(
        std::max(Now - row.ReportReceivedAt, Duration()) / milliseconds(1));
    vm.Documents[row.Team] = row.Rev;
  }
  VmRevisions &own = vms[Self];
  own = {};
  for (const auto &[team, document] : NodeDriver.configuration().documents())
    own.Documents[team] = document.Rev;
  RevisionsResponse answer;
  for (auto &[vm, revisions] : vms) {
    revisions.Vm = vm;
    answer.Vms.push_back(std::move(revisions));
  }
  return answer;
}

AdminQueryHandler::Result
AdminQueryHandler::operator()(const CountersRequest &) const {
  CountersResponse answer;
  for (const ControlCounterInfo &info : ControlCounterTable)
    answer.Rows.push_back({std::string(info.Name), Counters.count(info.Id)});
  return answer;
}

AdminQueryHandler::Result
AdminQueryHandler::operator()(const AcceptedDocument &) const {
  return CountersResponse();
}

} // namespace waxwing
