/**
 * @file relay_type.h
 * Plain data of the relay, which spreads teams' documents and ownership
 * records: its messages, events and actions.
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

/// Names one item that is spread.
struct ItemKey {
  ItemKind Kind = ItemKind::Document;
  std::string Name; ///< of the team or the service
  auto operator<=>(const ItemKey &) const = default;
};

/// An item at one revision, without its content.
struct ItemVersion {
  ItemKey Key;
  Revision Rev;
  auto operator<=>(const ItemVersion &) const = default;
};

/// An item's content.
using Item = std::variant<TeamDocument, OwnershipRecord>;

struct RelayParameters {
  Duration PullTimeout;      ///< another holder is asked after this
  Duration JoinLimit;        ///< a starting process waits for peers at most
  std::size_t JoinPeers = 0; ///< peers whose items make it start sooner
  std::size_t MeshVms = 0;   ///< up to this many links content goes at once
};

// Messages.

/// "I hold these."
struct ItemsAnnouncement {
  std::vector<ItemVersion> Items;
};
/// "Send me these."
struct ItemsRequest {
  std::vector<ItemVersion> Items;
};
/// Content of one item.
struct ItemContent {
  Item Content;
};
/// Asks for an ItemsSyncReply of all parts that differ.
struct ItemsSyncRequest {
  BucketDigests Buckets{};
};
/// All items held in the parts that differ.
struct ItemsSyncReply {
  std::vector<ItemVersion> Items;
  std::uint32_t Parts = 0; ///< bit n: part n differs
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
/// A heartbeat's digest of items.
struct RelayDigestHeard {
  VmId From;
  std::uint64_t Digest = 0;
};
struct RelaySaid {
  VmId From;
  RelayMessage Message;
};
/// The store, or a state machine of this process, has this item.
struct ItemLearnt {
  Item Content;
};
/// All documents of the store were read.
struct StoreRead {};

using RelayEvent =
    std::variant<RelayTick, RelayPeerUp, RelayPeerDown, RelayDigestHeard,
                 RelaySaid, ItemLearnt, StoreRead>;

// Actions.

struct SendRelay {
  VmId To;
  RelayMessage Message;
};
/// Newer items than any before; routers are to have them too.
struct UseItems {
  std::vector<Item> Items;
};

using RelayAction = std::variant<SendRelay, UseItems>;

} // namespace waxwing

#endif
