/**
 * @file relay_base.h
 * State machine that distributes items between controllers. It does no I/O,
 * reads no clock and has no threads. See docs/MEMBERSHIP.md.
 */
#ifndef WAXWING_RELAY_RELAY_BASE_H
#define WAXWING_RELAY_RELAY_BASE_H

#include "relay/relay_type.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace waxwing {

/// Distributes items (team documents and ownership records) among controllers:
/// announces the items held here and requests newer ones that peers announce.
/// Invariants: an item's revision never decreases, and a document is never
/// replaced by a former state of it from a restored store. ApplyItems actions
/// contain the revisions of an item in increasing order; none is emitted while
/// isServing() is false.
class Relay {
public:
  Relay(RelayParameters parameters, Time now);

  /// Handles one event.
  /// @param now current time; never earlier than in the previous call
  /// @return actions to execute, in this order
  std::vector<RelayAction> handle(const RelayEvent &event, Time now);

  /// @return digest of all items held
  std::uint64_t digest() const;
  /// @return whether the held items are applied; true once enough peers or the
  ///   store have provided theirs, or JoinTimeout has passed
  bool isServing() const { return IsServing; }
  /// @return whether @p item is a document from a restored store, which lacks
  ///   changes that the document held here has
  bool isRestoredCopy(const Item &item) const;
  /// @return all items held, with content
  const std::map<ItemKey, Item> &items() const { return Items; }

private:
  /// A request sent to a peer for the content of one item.
  struct PullData {
    Revision Rev;
    VmId From;
    Time Deadline;
    /// Other peers that announced the item, with the revision they announced.
    std::map<VmId, Revision> Alternatives;
  };
  struct PeerData {
    bool HasSyncReply = false; ///< a sync reply arrived since the link opened
    /// Items that were newer in the peer's sync reply and are not yet received.
    std::set<ItemKey> AwaitedItems;
    /// Time at which the peer's digest of all items was first seen to differ
    /// from the local one; absent while they are equal.
    std::optional<Time> DigestMismatchSince;
    Time NextSyncRequest;
  };

  void on(const RelayTick &, Time now);
  void on(const RelayPeerUp &event, Time now);
  void on(const RelayPeerDown &event, Time now);
  void on(const RelayDigestReceived &event, Time now);
  void on(const RelayMessageReceived &event, Time now);
  void on(const LocalItemUpdated &event, Time now);
  void on(const StoreDocumentsRead &, Time now);
  void onMessage(const VmId &from, const ItemsAnnouncement &message, Time now);
  void onMessage(const VmId &from, const ItemsRequest &message, Time now);
  void onMessage(const VmId &from, const ItemContent &message, Time now);
  void onMessage(const VmId &from, const ItemsSyncRequest &message, Time now);
  void onMessage(const VmId &from, const ItemsSyncReply &message, Time now);

  bool storeIfNewer(const Item &item);
  void emitApplyItems(const Item &item);
  void pull(const VmId &from, const std::vector<ItemVersion> &offered,
            Time now);
  bool recordOffer(const VmId &from, const ItemVersion &item, Time now);
  void pullFromAlternative(const ItemKey &key, PullData &pull, Time now);
  void removeCompletedPulls();
  void announce(const ItemVersion &item, const std::optional<VmId> &except);
  void startServingIfReady(Time now);
  const BucketDigests &bucketDigests() const;
  Revision heldRevision(const ItemKey &key) const;
  void send(const VmId &to, RelayMessage message);

  RelayParameters Parameters;
  std::map<ItemKey, Item> Items;
  std::map<ItemKey, PullData> PendingPulls;
  std::map<VmId, PeerData> Peers;
  Time JoinDeadline;
  bool IsServing = false;
  mutable std::optional<BucketDigests> CachedBuckets; ///< digests of Items
  std::vector<RelayAction> Actions;
};

/// @return key and revision of @p item
ItemVersion versionOf(const Item &item);

} // namespace waxwing

#endif
