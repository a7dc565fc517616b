/**
 * @file ownership_record_cmd.cpp
 * Execution of the commands that change an ownership record.
 */
#include "ownership/ownership_record_cmd.h"

#include <algorithm>
#include <set>

namespace waxwing {
namespace {

/// Tests a command and, in Execute mode, applies it to the record.
class CommandVisitor {
public:
  CommandVisitor(CommandMode mode, OwnershipRecord &record, Revision next)
      : Mode(mode), Record(record), Next(next) {}

  absl::Status operator()(const CreateShards &command) {
    if (!Record.Shards.empty())
      return absl::FailedPreconditionError("the shards already exist");
    if (command.Count == 0 || command.Count > 65536)
      return absl::OutOfRangeError("expected 1 to 65536 shards");
    if (Mode == CommandMode::Execute)
      Record.Shards.resize(command.Count);
    return absl::OkStatus();
  }

  absl::Status operator()(const TakeLeadership &command) {
    std::set<VmId> vms;
    for (const RecordMember &member : command.Members)
      vms.insert(member.Vm);
    if (command.Members.empty() || vms.size() != command.Members.size())
      return absl::FailedPreconditionError(
          "the members must be one or more distinct VMs");
    if (Record.FormerMemberSets.size() >= MaxFormerMemberSets)
      return absl::ResourceExhaustedError("too many former member sets");
    if (Mode == CommandMode::Execute) {
      addFormerMemberSet(std::exchange(Record.Members, command.Members));
    }
    return absl::OkStatus();
  }

  absl::Status operator()(const DropFormerMemberSets &) {
    if (Record.FormerMemberSets.empty())
      return absl::FailedPreconditionError(
          "the record has no former member sets");
    if (Mode == CommandMode::Execute)
      Record.FormerMemberSets.clear();
    return absl::OkStatus();
  }

  absl::Status operator()(const MoveUnit &command) {
    UnitOwner *owner = find(command.Unit);
    if (owner == nullptr)
      return absl::OutOfRangeError("no such shard or split key");
    if (owner->Owner == command.To)
      return absl::FailedPreconditionError("the unit already has this owner");
    if (Mode == CommandMode::Execute)
      *owner = {command.To, nextToken()};
    return absl::OkStatus();
  }

  absl::Status operator()(const SplitKey &command) {
    if (Record.Shards.empty())
      return absl::FailedPreconditionError("the record has no shards");
    if (Record.SplitKeys.contains(command.Key))
      return absl::FailedPreconditionError("the key is already split off");
    if (Mode == CommandMode::Execute) {
      const UnitOwner &owner = shardOwner(command.Key);
      Record.SplitKeys[command.Key] = {owner.Owner, nextToken()};
    }
    return absl::OkStatus();
  }

  absl::Status operator()(const MergeKey &command) {
    const auto it = Record.SplitKeys.find(command.Key);
    if (it == Record.SplitKeys.end())
      return absl::OutOfRangeError("the key is not split off");
    if (it->second.Owner != shardOwner(command.Key).Owner)
      return absl::FailedPreconditionError(
          "the key and its shard have different owners");
    if (Mode == CommandMode::Execute)
      Record.SplitKeys.erase(it);
    return absl::OkStatus();
  }

  absl::Status operator()(const RenewTokens &) {
    if (Mode == CommandMode::Test)
      return absl::OkStatus();
    for (UnitOwner &owner : Record.Shards)
      owner.Fence = nextToken();
    for (auto &[key, owner] : Record.SplitKeys)
      owner.Fence = nextToken();
    return absl::OkStatus();
  }

private:
  FencingToken nextToken() const { return FencingToken(Next.Value); }

  void addFormerMemberSet(MemberSet set) {
    std::ranges::sort(set);
    if (!set.empty() && std::ranges::find(Record.FormerMemberSets, set) ==
                            Record.FormerMemberSets.end())
      Record.FormerMemberSets.push_back(std::move(set));
  }

  const UnitOwner &shardOwner(KeyHash key) const {
    return Record.Shards[shardOf(key, Record.Shards.size()).Value];
  }

  UnitOwner *find(const OwnedUnit &unit) {
    if (const auto *shard = std::get_if<ShardId>(&unit))
      return shard->Value < Record.Shards.size() ? &Record.Shards[shard->Value]
                                                 : nullptr;
    const auto it = Record.SplitKeys.find(std::get<KeyHash>(unit));
    return it == Record.SplitKeys.end() ? nullptr : &it->second;
  }

  CommandMode Mode;
  OwnershipRecord &Record;
  Revision Next; ///< revision that the write creates
};

} // namespace

absl::Status applyCommand(CommandMode mode, const RecordCommand &command,
                          OwnershipRecord &record, Revision next) {
  return std::visit(CommandVisitor(mode, record, next), command);
}

absl::StatusOr<OwnershipRecord>
makeChange(const OwnershipRecord &record,
           std::span<const RecordCommand> commands, ChangeId change,
           StoreEpoch epoch) {
  const Revision rev(
      makeStoreRevision(std::max(epoch, epochOf(record.Rev.Value)),
                        counterOf(record.Rev.Value) + 1));
  OwnershipRecord next = record;
  for (const RecordCommand &command : commands) {
    absl::Status status = applyCommand(CommandMode::Test, command, next, rev);
    if (!status.ok())
      return status;
    applyCommand(CommandMode::Execute, command, next, rev).IgnoreError();
  }
  next.Rev = rev;
  next.Changes.push_back({change, next.Rev});
  if (next.Changes.size() > MaxRecordChanges)
    next.Changes.erase(next.Changes.begin());
  return next;
}

} // namespace waxwing
