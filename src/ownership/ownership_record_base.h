/**
 * @file ownership_record_base.h
 * The ownership record, of which the store holds one for each service. It names
 * the leader, the witnesses (members that confirm that a record is the newest)
 * and the owner of each shard. It is changed only by compare-and-swap with the
 * commands of ownership_record_cmd.h.
 */
#ifndef WAXWING_OWNERSHIP_OWNERSHIP_RECORD_BASE_H
#define WAXWING_OWNERSHIP_OWNERSHIP_RECORD_BASE_H

#include "ownership/ownership_type.h"

#include <absl/status/statusor.h>
#include <map>
#include <string>
#include <vector>

namespace waxwing {

/// A controller process named in the record.
struct RecordMember {
  VmId Vm;
  Incarnation Process; ///< a restarted controller is a different member
  DomainId Domain;
  auto operator<=>(const RecordMember &) const = default;
};

/// Owner of one shard or split key.
struct UnitOwner {
  UpstreamId Owner;   ///< empty when the unit has no owner
  FencingToken Fence; ///< record revision in which the owner last changed
  bool operator==(const UnitOwner &) const = default;
};

/// A write that took effect; kept so that a writer can tell after a lost
/// response whether its write was applied.
struct RecordChange {
  ChangeId Change;
  Revision Record;
  bool operator==(const RecordChange &) const = default;
};

/// Members of a record: the leader first, then the witnesses.
using MemberSet = std::vector<RecordMember>;

/// Maximum number of former member sets in a record.
constexpr std::size_t MaxFormerMemberSets = 64;

/// Maximum number of past writes that a record lists in Changes.
constexpr std::size_t MaxRecordChanges = 32;

/// The record of one service.
/// Invariants: the counter in Rev grows by one with each write, and its epoch
/// is that of the store at the write. Members[0] leads; the members are
/// distinct VMs. Changes.back() is the write that made Rev. FormerMemberSets
/// names each set of members of an earlier revision whose confirmations, and
/// the rights based on them, are not proven to have ended.
struct OwnershipRecord {
  ServiceId Service;
  /// Version of the record, laid out like a StoreRevision. A witness confirms
  /// no version below its fence, the highest version it knows of.
  Revision Rev;
  MemberSet Members;
  std::vector<MemberSet> FormerMemberSets;
  std::vector<UnitOwner> Shards; ///< indexed by ShardId
  /// Owners of keys split off from their shard.
  std::map<KeyHash, UnitOwner> SplitKeys;
  std::vector<RecordChange> Changes; ///< oldest first, at most MaxRecordChanges
  bool operator==(const OwnershipRecord &) const = default;
};

/// @return @p record encoded as CBOR; far below 1 MB even with 65536 shards
std::string encodeRecord(const OwnershipRecord &record);

/// Decodes a record from CBOR.
/// @return the record, or InvalidArgument with the parser's message
absl::StatusOr<OwnershipRecord> decodeRecord(const std::string &bytes);

/// @return hash of a caller's key
KeyHash hashKey(const std::string &key);

/// The unit that a key belongs to, and the unit's owner.
struct KeyOwner {
  OwnedUnit Unit;
  UnitOwner Owner;
};

/// @param record must have at least one shard
/// @return the unit of @p key: the key itself if it is split off, else its
/// shard
KeyOwner ownerOf(const OwnershipRecord &record, KeyHash key);

/// @return shard whose range of the hash space contains @p key
ShardId shardOf(KeyHash key, std::size_t shardCount);

} // namespace waxwing

#endif
