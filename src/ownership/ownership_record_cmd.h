/**
 * @file ownership_record_cmd.h
 * Commands that change an ownership record. Each is first tested, then
 * executed by the same code.
 */
#ifndef WAXWING_OWNERSHIP_OWNERSHIP_RECORD_CMD_H
#define WAXWING_OWNERSHIP_OWNERSHIP_RECORD_CMD_H

#include "ownership/ownership_record_base.h"

#include <absl/status/status.h>
#include <span>

namespace waxwing {

/// Whether a command only checks or also changes.
enum class CommandMode : std::uint8_t { Test, Execute };

/// Creates all shards without an owner.
struct CreateShards {
  std::uint32_t Count = 0;
};
/// Makes Members the leader (first) and the witnesses; the set before is
/// kept in FormerMemberSets.
struct TakeLeadership {
  MemberSet Members;
};
/// Forgets former members, whose confirmations and rights have ended.
struct DropFormer {};
/// Gives a unit to another owner and raises its token.
struct MoveUnit {
  OwnedUnit Unit;
  UpstreamId To; ///< empty: no owner
};
/// SplitKeys a key off; its owner is at first that of its shard.
struct SplitKey {
  KeyHash Key;
};
/// Joins a split key to its shard again; both must have the same owner.
struct JoinKey {
  KeyHash Key;
};

using RecordCommand = std::variant<CreateShards, TakeLeadership, DropFormer,
                                   MoveUnit, SplitKey, JoinKey>;

/// Applies one command as part of the write that makes revision
/// `record.Rev + 1`; Rev itself is left to finishChange().
/// @return Ok, or FailedPrecondition / OutOfRange with the cause; the
///   record is unchanged on error and in Test mode
absl::Status applyCommand(CommandMode mode, const RecordCommand &command,
                          OwnershipRecord &record);

/// Tests each command in order on a copy, then executes all.
/// @param change unique id of the write
/// @return the next record with Rev raised by one, or the first error
absl::StatusOr<OwnershipRecord>
makeChange(const OwnershipRecord &record,
           std::span<const RecordCommand> commands, ChangeId change);

} // namespace waxwing

#endif
