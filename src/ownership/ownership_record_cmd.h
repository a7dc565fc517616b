/**
 * @file ownership_record_cmd.h
 * Commands that change an ownership record. The same code tests a command and
 * then executes it.
 */
#ifndef WAXWING_OWNERSHIP_OWNERSHIP_RECORD_CMD_H
#define WAXWING_OWNERSHIP_OWNERSHIP_RECORD_CMD_H

#include "core/store_revision_type.h"
#include "ownership/ownership_record_base.h"

#include <absl/status/status.h>
#include <span>

namespace waxwing {

/// Whether a command is only checked (Test) or also applied (Execute).
enum class CommandMode : std::uint8_t { Test, Execute };

/// Creates all shards, without owners.
struct CreateShards {
  std::uint32_t Count = 0;
};
/// Replaces the members: the first becomes the leader, the others witnesses.
/// The previous set is kept in FormerMemberSets.
struct TakeLeadership {
  MemberSet Members;
};
/// Clears FormerMemberSets, once all confirmations by former members and all
/// grants based on them have ended.
struct DropFormerMemberSets {};
/// Moves a unit to another owner and raises its fencing token.
struct MoveUnit {
  OwnedUnit Unit;
  UpstreamId To; ///< empty: leaves the unit without an owner
};
/// Splits a key off from its shard; the owner of the shard keeps owning it.
struct SplitKey {
  KeyHash Key;
};
/// Merges a split key back into its shard; both must have the same owner.
struct MergeKey {
  KeyHash Key;
};

/// Raises the fencing tokens of all units; their owners stay. Grants under the
/// earlier tokens then prove nothing about the units' owners.
struct RenewTokens {};

using RecordCommand =
    std::variant<CreateShards, TakeLeadership, DropFormerMemberSets, MoveUnit,
                 SplitKey, MergeKey, RenewTokens>;

/// Applies one command as part of the write that creates revision @p next. Rev
/// itself is raised by makeChange().
/// @return Ok, or FailedPrecondition, OutOfRange or ResourceExhausted with the
///   cause; the record is unchanged on error and in Test mode
absl::Status applyCommand(CommandMode mode, const RecordCommand &command,
                          OwnershipRecord &record, Revision next);

/// Tests and executes the commands one after the other on a copy.
/// @param change unique id of the write
/// @param epoch the store's epoch; 0 if it was never restored
/// @return the changed copy with the counter in Rev raised by one, in the later
///   of @p epoch and the record's own epoch; or the first error
absl::StatusOr<OwnershipRecord>
makeChange(const OwnershipRecord &record,
           std::span<const RecordCommand> commands, ChangeId change,
           StoreEpoch epoch = 0);

} // namespace waxwing

#endif
