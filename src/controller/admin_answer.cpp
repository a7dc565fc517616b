/**
 * @file admin_answer.cpp
 * Owners, revisions and counters of this VM.
 */
#include "controller/admin_answer.h"

#include "table/control_counters.h"
#include "upstream/upstream_protocol.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <ranges>

namespace waxwing {
namespace {

using Result = decltype(AdminAnswer::Result);

/// Answers each kind of question.
struct Answerer {
  const VmId &Self;
  const ConfigurationHost &Configurations;
  const ControlCounters &Counters;

  Result operator()(const OwnerCall &call) const {
    const auto records = Configurations.records();
    const auto it =
        std::ranges::find(records, call.Service, &OwnershipRecord::Service);
    if (it == records.end() || it->Shards.empty())
      return OwnerAnswer();
    const OwnershipRecord &record = *it;
    const KeyHash key = hashKey(call.Key);
    const ShardId shard = shardOf(key, record.Shards.size());
    const auto split = record.Splits.find(key);
    const bool isSplit = split != record.Splits.end();
    const UnitOwner &owner =
        isSplit ? split->second : record.Shards[shard.Value];
    return OwnerAnswer{true, owner.Owner, owner.Fence, record.Rev,
                       formatUnit(isSplit ? OwnedUnit(key) : OwnedUnit(shard))};
  }

  Result operator()(const RevisionsCall &) const {
    std::map<VmId, VmRevisions> vms;
    vms[Self].Vm = Self;
    for (const auto &[team, document] :
         Configurations.configuration().documents())
      vms[Self].Documents[team] = document.Rev;
    for (const RevisionInForce &row : Configurations.revisionsInForce()) {
      vms[row.Vm].Vm = row.Vm;
      vms[row.Vm].Documents[row.Team] = row.Rev;
    }
    RevisionsAnswer answer;
    std::ranges::copy(vms | std::views::values, std::back_inserter(answer.Vms));
    return answer;
  }

  Result operator()(const CountersCall &) const {
    CountersAnswer answer;
    for (const ControlCounterInfo &info : ControlCounterTable)
      answer.Rows.push_back({std::string(info.Name), Counters.count(info.Id)});
    return answer;
  }
};

} // namespace

decltype(AdminAnswer::Result)
answerAdmin(const AdminQuery &query, const VmId &self,
            const ConfigurationHost &configurations,
            const ControlCounters &counters) {
  return std::visit(Answerer{self, configurations, counters}, query.Call);
}

} // namespace waxwing
