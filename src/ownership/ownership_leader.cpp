/**
 * @file ownership_leader.cpp
 * Leadership, assignment and renewal of grants.
 */
#include "ownership/ownership_leader_base.h"

#include <algorithm>

namespace waxwing {

OwnershipLeader::OwnershipLeader(ServiceId service, RecordMember self,
                                 OwnershipTerms terms, std::uint64_t seed)
    : Service(std::move(service)), Self(std::move(self)), Terms(terms),
      Random(seed) {}

std::vector<OwnershipAction>
OwnershipLeader::handle(const OwnershipEvent &event, Time now) {
  std::visit([&](const auto &it) { on(it, now); }, event);
  return std::exchange(Actions, {});
}

bool OwnershipLeader::isLeader() const {
  return Record && !Record->Members.empty() && Record->Members[0] == Self;
}

void OwnershipLeader::on(const Tick &, Time now) {
  if (PendingOperation)
    return;
  if (!Record) {
    readRecord();
    return;
  }
  if (Record->Members.empty()) {
    std::vector<RecordCommand> commands{TakeLeadership{{Self}}};
    if (Record->Shards.empty() && Definition.ShardCount != 0)
      commands.emplace_back(CreateShards{Definition.ShardCount});
    writeRecord(commands);
    return;
  }
  if (!isLeader())
    return;
  assignUnowned();
  renewGrants(now);
}

void OwnershipLeader::on(const RecordRead &event, Time) {
  if (PendingOperation != event.Operation)
    return;
  PendingOperation.reset();
  if (!event.IsAnswered)
    return;
  StoreRevision = event.StoreRevision;
  Record = event.Record.value_or(OwnershipRecord{.Service = Service});
}

void OwnershipLeader::on(const RecordWritten &event, Time) {
  if (PendingOperation != event.Operation)
    return;
  PendingOperation.reset();
  if (event.Outcome != WriteOutcome::Applied) {
    Record.reset();
    return;
  }
  StoreRevision = event.StoreRevision;
  Record = std::move(PendingRecord);
  Actions.emplace_back(PublishRecord{*Record});
}

void OwnershipLeader::on(const UpstreamAnswered &event, Time now) {
  const auto it = Upstreams.find(event.Answer.From);
  if (it == Upstreams.end())
    return;
  UpstreamState &upstream = it->second;
  upstream.Current = event.Answer.Current;
  upstream.Reading = event.Answer.Reading;
  upstream.AnsweredAt = now;
}

void OwnershipLeader::on(const PeerSaid &, Time) {}

void OwnershipLeader::on(const ServiceChanged &event, Time) {
  Definition = event.Definition;
  for (const UpstreamDefinition &definition : Definition.Upstreams)
    Upstreams[definition.Id].Definition = definition;
}

void OwnershipLeader::on(const ControllersChanged &event, Time) {
  Controllers = event.Members;
}

void OwnershipLeader::on(const HotKeysReported &, Time) {}

void OwnershipLeader::readRecord() {
  PendingOperation = NextOperation++;
  Actions.emplace_back(ReadRecord{*PendingOperation});
}

void OwnershipLeader::writeRecord(std::span<const RecordCommand> commands) {
  auto next = makeChange(*Record, commands, ChangeId(Random()));
  if (!next.ok())
    return;
  PendingOperation = NextOperation++;
  PendingRecord = *next;
  Actions.emplace_back(
      WriteRecord{*PendingOperation, StoreRevision, *std::move(next)});
}

void OwnershipLeader::assignUnowned() {
  std::vector<UpstreamId> owners;
  for (const auto &[id, upstream] : Upstreams)
    if (upstream.Current && !upstream.Definition.IsLeaving)
      owners.push_back(id);
  if (owners.empty())
    return;
  std::vector<RecordCommand> commands;
  for (std::uint32_t n = 0; n < Record->Shards.size(); ++n)
    if (Record->Shards[n].Owner.Value.empty())
      commands.emplace_back(MoveUnit{ShardId(n), owners[n % owners.size()]});
  if (!commands.empty())
    writeRecord(commands);
}

void OwnershipLeader::renewGrants(Time) {
  for (auto &[id, upstream] : Upstreams) {
    if (!upstream.Current) {
      Actions.emplace_back(QueryUpstream{id});
      continue;
    }
    upstream.SentStamp = {Record->Rev, upstream.SentStamp.Sequence + 1};
    upstream.Sent = grantSetOf(id);
    Actions.emplace_back(SendOrder{
        id, GrantOrder{Service, upstream.SentStamp, *upstream.Current,
                       upstream.Reading + Terms.GrantTerm, upstream.Sent}});
  }
}

GrantSet OwnershipLeader::grantSetOf(const UpstreamId &upstream) const {
  GrantSet set;
  for (std::uint32_t n = 0; n < Record->Shards.size(); ++n)
    if (Record->Shards[n].Owner == upstream)
      set.Units.push_back({ShardId(n), Record->Shards[n].Fence});
  for (const auto &[key, owner] : Record->Splits) {
    set.Excluded.push_back(key);
    if (owner.Owner == upstream)
      set.Units.push_back({key, owner.Fence});
  }
  return set;
}

} // namespace waxwing
