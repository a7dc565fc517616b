/**
 * @file relay_type.h
 * Messages, events and actions of the relay, which distributes teams' documents
 * and ownership records between controllers.
 */
#ifndef WAXWING_RELAY_RELAY_TYPE_H
#define WAXWING_RELAY_RELAY_TYPE_H

#include "config/team_config_base.h"
#include "membership/membership_type.h"
#include "ownership/ownership_record_base.h"

#include <compare>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace waxwing {

enum class ItemKind : std::uint8_t { Document, Record };

/// Identifies an item, which is a team document or an ownership record.
struct ItemKey {
  ItemKind Kind = ItemKind::Document;
  std::string Name; ///< team name or service name
  auto operator<=>(const ItemKey &) const = default;
};

/// Key and revision of an item, without its content.
struct ItemVersion {
  ItemKey Key;
  Revision Rev;
  auto operator<=>(const ItemVersion &) const = default;
};

/// Content of an item.
using Item = std::variant<TeamDocument, OwnershipRecord>;

struct RelayParameters {
  /// Time without the requested content after which an item is requested from
  /// another peer.
  Duration PullTimeout;
  /// Maximum time that a starting process waits for the items of its peers.
  Duration JoinTimeout;
  /// Number of peers from which a starting process must have all items before
  /// it serves earlier than JoinTimeout.
  std::size_t MinJoinPeers = 0;
  /// With fewer peers than this, an updated local item is sent in full instead
  /// of being announced first.
  std::size_t MeshVms = 0;
};

// Messages.

/// Announces items that the sender holds.
struct ItemsAnnouncement {
  std::vector<ItemVersion> Items;
};
/// Requests the content of items.
struct ItemsRequest {
  std::vector<ItemVersion> Items;
};
/// Content of one item.
struct ItemContent {
  Item Content;
};
/// Requests an ItemsSyncReply. Items are divided into buckets; the reply covers
/// the buckets whose digests differ between sender and receiver.
struct ItemsSyncRequest {
  BucketDigests Buckets{};
};
/// All items the sender holds in the differing buckets.
struct ItemsSyncReply {
  std::vector<ItemVersion> Items;
  std::uint32_t DifferingBuckets = 0; ///< bit n is set if bucket n differs
};

using RelayMessage = std::variant<ItemsAnnouncement, ItemsRequest, ItemContent,
                                  ItemsSyncRequest, ItemsSyncReply>;

// Events.

struct RelayTick {};
struct RelayPeerUp {
  VmId Vm;
};
struct RelayPeerDown {
  VmId Vm;
};
/// Item digest received in a heartbeat.
struct RelayDigestReceived {
  VmId From;
  std::uint64_t Digest = 0;
};
struct RelayMessageReceived {
  VmId From;
  RelayMessage Message;
};
/// The store or a state machine of this process provided an item.
struct LocalItemUpdated {
  Item Content;
};
/// All documents of the store were read.
struct StoreDocumentsRead {};

using RelayEvent =
    std::variant<RelayTick, RelayPeerUp, RelayPeerDown, RelayDigestReceived,
                 RelayMessageReceived, LocalItemUpdated, StoreDocumentsRead>;

// Actions.

struct SendRelay {
  VmId To;
  RelayMessage Message;
};
/// Put these items into force and send them to routers; they are newer than
/// those applied before.
struct ApplyItems {
  std::vector<Item> Items;
};

using RelayAction = std::variant<SendRelay, ApplyItems>;

} // namespace waxwing

#endif
