/**
 * @file admin_answer.cpp
 * Owners, revisions and counters of this VM.
 */
#include "controller/admin_answer.h"

#include "upstream/upstream_protocol.h"

namespace waxwing {
namespace {

using Result = decltype(AdminAnswer::Result);

/// Answers each kind of question.
struct Answerer {
  const VmId &Self;
  const ConfigurationHost &Configurations;

  Result operator()(const OwnerCall &call) const {
    const auto it = Configurations.owners().find(call.Service);
    if (it == Configurations.owners().end() || it->second.Shards.empty())
      return OwnerAnswer();
    const OwnershipRecord &record = it->second;
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
    VmRevisions own{Self, true, {}};
    for (const auto &[team, document] :
         Configurations.configuration().documents())
      own.Documents[team] = document.Rev;
    return RevisionsAnswer{{std::move(own)}};
  }

  Result operator()(const CountersCall &) const { return CountersAnswer(); }
};

} // namespace

decltype(AdminAnswer::Result)
answerAdmin(const AdminQuery &query, const VmId &self,
            const ConfigurationHost &configurations) {
  return std::visit(Answerer{self, configurations}, query.Call);
}

} // namespace waxwing
