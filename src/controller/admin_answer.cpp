/**
 * @file admin_answer.cpp
 * Owners, revisions in force and counters, as this VM knows them.
 */
#include "controller/admin_answer.h"

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

AdminAnswerer::Result AdminAnswerer::answer(const AdminQuery &query) const {
  return std::visit(*this, query.Call);
}

AdminAnswerer::Result AdminAnswerer::operator()(const OwnerCall &call) const {
  const std::vector<OwnershipRecord> records = Configurations.records();
  const auto it =
      std::ranges::find(records, call.Service, &OwnershipRecord::Service);
  if (it == records.end() || it->Shards.empty())
    return OwnerResponse();
  return findOwner(*it, call.Key);
}

AdminAnswerer::Result AdminAnswerer::operator()(const RevisionsCall &) const {
  std::map<VmId, VmRevisions> vms;
  for (const RevisionInForce &row : Configurations.revisionsInForce()) {
    VmRevisions &vm = vms[row.Vm];
    vm.AgeMs = static_cast<std::uint64_t>(
        std::max(Now - row.HeardAt, Duration()) / milliseconds(1));
    vm.Documents[row.Team] = row.Rev;
  }
  VmRevisions &own = vms[Self];
  own = {};
  for (const auto &[team, document] :
       Configurations.configuration().documents())
    own.Documents[team] = document.Rev;
  RevisionsResponse answer;
  for (auto &[vm, revisions] : vms) {
    revisions.Vm = vm;
    answer.Vms.push_back(std::move(revisions));
  }
  return answer;
}

AdminAnswerer::Result AdminAnswerer::operator()(const CountersCall &) const {
  CountersResponse answer;
  for (const ControlCounterInfo &info : ControlCounterTable)
    answer.Rows.push_back({std::string(info.Name), Counters.count(info.Id)});
  return answer;
}

AdminAnswerer::Result
AdminAnswerer::operator()(const AcceptedDocument &) const {
  return CountersResponse();
}

} // namespace waxwing
