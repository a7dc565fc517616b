/**
 * @file relay_base.h
 * The relay state machine of one controller. No I/O, no clock, no threads.
 * See docs/MEMBERSHIP.md.
 */
#ifndef WAXWING_RELAY_RELAY_BASE_H
#define WAXWING_RELAY_RELAY_BASE_H

#include "relay/relay_type.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace waxwing {

/// Announces what it holds and pulls what others announce.
/// Invariants: an item's revision never decreases; UseItems names each
/// item in increasing revisions, and none before isServing().
class Relay {
public:
  Relay(RelayParameters terms, Time now);

  /// Takes one event.
  /// @param now this process's clock, never before an earlier now
  /// @return what to do, in this order
  std::vector<RelayAction> handle(const RelayEvent &event, Time now);

  /// @return digest of all items held
  std::uint64_t digest() const;
  /// @return whether items held are in use: peers or the store told theirs
  bool isServing() const { return IsServing; }
  /// @return the content of all items held
  const std::map<ItemKey, Item> &items() const { return Items; }

private:
  /// An item that was asked for.
  struct PullData {
    Revision Rev;
    VmId From;
    Time Deadline;
    std::map<VmId, Revision> Others; ///< also announced it
  };
  struct PeerData {
    bool IsCompared = false;          ///< told its items since linked
    std::set<ItemKey> Awaited;        ///< pulled from it, not yet here
    std::optional<Time> DiffersSince; ///< digests differ
    Time NextCompare;
  };

  void on(const RelayTick &, Time now);
  void on(const RelayPeerUp &event, Time now);
  void on(const RelayPeerDown &event, Time now);
  void on(const RelayDigestHeard &event, Time now);
  void on(const RelaySaid &event, Time now);
  void on(const ItemLearnt &event, Time now);
  void on(const StoreRead &, Time now);
  void take(const VmId &from, const ItemsAnnouncement &message, Time now);
  void take(const VmId &from, const ItemsRequest &message, Time now);
  void take(const VmId &from, const ItemContent &message, Time now);
  void take(const VmId &from, const ItemsSyncRequest &message, Time now);
  void take(const VmId &from, const ItemsSyncReply &message, Time now);

  bool hold(const Item &item);
  void use(const Item &item);
  void pull(const VmId &from, const std::vector<ItemVersion> &offered,
            Time now);
  bool noteOffer(const VmId &from, const ItemVersion &item, Time now);
  void askOther(const ItemKey &key, PullData &pull, Time now);
  void dropSatisfied();
  void announce(const ItemVersion &item, const std::optional<VmId> &except);
  void checkServing(Time now);
  const BucketDigests &buckets() const;
  Revision held(const ItemKey &key) const;
  void send(const VmId &to, RelayMessage message);

  RelayParameters Terms;
  std::map<ItemKey, Item> Items;
  std::map<ItemKey, PullData> Pulls;
  std::map<VmId, PeerData> Peers;
  Time JoinDeadline;
  bool IsServing = false;
  mutable std::optional<BucketDigests> Cached; ///< of the present Items
  std::vector<RelayAction> Actions;
};

/// @return key and revision of @p item
ItemVersion versionOf(const Item &item);

} // namespace waxwing

#endif
