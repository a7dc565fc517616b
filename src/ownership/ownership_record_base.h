/**
 * @file ownership_record_base.h
 * The one value per service in the platform's store that says who leads,
 * who witnesses and who owns each shard. It changes by compare-and-swap
 * only, through the commands of ownership_record_cmd.h.
 */
#ifndef WAXWING_OWNERSHIP_OWNERSHIP_RECORD_BASE_H
#define WAXWING_OWNERSHIP_OWNERSHIP_RECORD_BASE_H

#include "ownership/ownership_type.h"

#include <absl/status/statusor.h>
#include <map>
#include <string>
#include <vector>

namespace waxwing {

/// A controller named in the record.
struct RecordMember {
  VmId Vm;
  Incarnation Process; ///< a restarted controller is another member
  DomainId Domain;
  auto operator<=>(const RecordMember &) const = default;
};

/// Owner of one shard or split key.
struct UnitOwner {
  UpstreamId Owner; ///< empty while the unit has no owner
  Token Fence;      ///< revision in which the unit last moved
  bool operator==(const UnitOwner &) const = default;
};

/// A write that took effect, kept to resolve lost answers.
struct RecordChange {
  ChangeId Change;
  Revision Record;
  bool operator==(const RecordChange &) const = default;
};

/// The leader, then the witnesses.
using MemberSet = std::vector<RecordMember>;

/// Maximum number of former member sets in a record.
constexpr std::size_t MaxFormerMemberSets = 64;

/// Changes that a record remembers.
constexpr std::size_t MaxRecordChanges = 32;

/// The record of one service.
/// Invariants: Rev grows by one with each write. Members[0] leads; the
/// members are distinct VMs. Changes.back() is the write that made Rev.
/// FormerMemberSets names each set of members of an earlier revision whose
/// confirmations, and the rights based on them, are not proven to have ended.
struct OwnershipRecord {
  ServiceId Service;
  Revision Rev; ///< own version number, also the witnesses' fence level
  MemberSet Members;
  std::vector<MemberSet> FormerMemberSets;
  std::vector<UnitOwner> Shards;          ///< indexed by ShardId
  std::map<KeyHash, UnitOwner> SplitKeys; ///< keys split off from their shard
  std::vector<RecordChange> Changes;      ///< oldest first, bounded
  bool operator==(const OwnershipRecord &) const = default;
};

/// @return @p record as CBOR, far below a megabyte for 64k shards
std::string encodeRecord(const OwnershipRecord &record);

/// @return the record, or InvalidArgument saying which field is wrong
absl::StatusOr<OwnershipRecord> decodeRecord(const std::string &bytes);

/// @return hash of a caller's key
KeyHash hashKey(const std::string &key);

/// The unit that a key belongs to, with its owner.
struct KeyOwner {
  OwnedUnit Unit;
  UnitOwner Owner;
};

/// @param record with at least one shard
/// @return the split key itself if it is one, else its shard
KeyOwner ownerOf(const OwnershipRecord &record, KeyHash key);

/// @return the range of the hash space that @p key falls into
ShardId shardOf(KeyHash key, std::size_t shardCount);

} // namespace waxwing

#endif
