/**
 * @file relay.cpp
 * Announces, requests and synchronises items.
 */
#include "relay/relay_base.h"

#include "config/config_document_base.h"
#include "core/hash_func.h"
#include "core/store_revision_type.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace waxwing {
namespace {

constexpr std::uint64_t ItemHashSeed = 0x4954454d;
/// An ItemsSyncRequest is sent to a peer only after its digest has differed
/// from the local one for this long; announcements still in transit usually
/// remove the difference.
constexpr Duration DigestMismatchDelay = milliseconds(300);
constexpr Duration SyncRequestPeriod = seconds(1);

std::uint64_t keyHash(const ItemKey &key) {
  return hashText(key.Name,
                  ItemHashSeed + static_cast<std::uint64_t>(key.Kind));
}

std::size_t bucketOf(const ItemKey &key) {
  return keyHash(key) % DigestBuckets;
}

std::uint64_t versionHash(const ItemVersion &it) {
  return hashText(it.Key.Name, keyHash(it.Key) + it.Rev.Value);
}

} // namespace

ItemVersion versionOf(const Item &item) {
  if (const auto *document = std::get_if<TeamDocument>(&item))
    return {{ItemKind::Document, document->Team.Value}, document->Rev};
  const auto &record = std::get<OwnershipRecord>(item);
  return {{ItemKind::Record, record.Service.Value}, record.Rev};
}

Relay::Relay(RelayParameters parameters, Time now)
    : Parameters(parameters), JoinDeadline(now + parameters.JoinTimeout) {}

std::vector<RelayAction> Relay::handle(const RelayEvent &event, Time now) {
  Actions.clear();
  std::visit([&](const auto &it) { on(it, now); }, event);
  startServingIfReady(now);
  return std::exchange(Actions, {});
}

const BucketDigests &Relay::bucketDigests() const {
  if (CachedBuckets)
    return *CachedBuckets;
  BucketDigests &digests = CachedBuckets.emplace();
  for (const auto &[key, item] : Items)
    digests[bucketOf(key)] ^= versionHash(versionOf(item));
  return digests;
}

std::uint64_t Relay::digest() const {
  std::uint64_t digest = 0;
  for (const std::uint64_t bucket : bucketDigests())
    digest ^= bucket;
  return digest;
}

Revision Relay::heldRevision(const ItemKey &key) const {
  const auto it = Items.find(key);
  return it == Items.end() ? Revision() : versionOf(it->second).Rev;
}

void Relay::on(const RelayTick &, Time now) {
  for (auto &[key, pull] : PendingPulls)
    if (now >= pull.Deadline)
      pullFromAlternative(key, pull, now);
  removeCompletedPulls();
}

void Relay::on(const RelayPeerUp &event, Time now) {
  PeerData &peer = Peers[event.Vm];
  peer = {};
  peer.NextSyncRequest = now + SyncRequestPeriod;
  send(event.Vm, ItemsSyncRequest{bucketDigests()});
}

void Relay::on(const RelayPeerDown &event, Time now) {
  Peers.erase(event.Vm);
  for (auto &[key, pull] : PendingPulls) {
    pull.Alternatives.erase(event.Vm);
    if (pull.From == event.Vm)
      pullFromAlternative(key, pull, now);
  }
  removeCompletedPulls();
}

void Relay::on(const RelayDigestReceived &event, Time now) {
  const auto it = Peers.find(event.From);
  if (it == Peers.end())
    return;
  PeerData &peer = it->second;
  if (event.Digest == digest())
    return peer.DigestMismatchSince.reset();
  if (!peer.DigestMismatchSince)
    peer.DigestMismatchSince = now;
  if (now < *peer.DigestMismatchSince + DigestMismatchDelay ||
      now < peer.NextSyncRequest)
    return;
  peer.NextSyncRequest = now + SyncRequestPeriod;
  send(event.From, ItemsSyncRequest{bucketDigests()});
}

void Relay::on(const RelayMessageReceived &event, Time now) {
  std::visit([&](const auto &it) { onMessage(event.From, it, now); },
             event.Message);
}

void Relay::on(const LocalItemUpdated &event, Time) {
  if (!storeIfNewer(event.Content))
    return;
  if (Peers.size() >= Parameters.MeshVms)
    return announce(versionOf(event.Content), std::nullopt);
  for (const auto &[vm, peer] : Peers)
    send(vm, ItemContent{event.Content});
}

void Relay::on(const StoreDocumentsRead &, Time) {
  if (!std::exchange(IsServing, true))
    for (const auto &[key, item] : Items)
      emitApplyItems(item);
}

void Relay::onMessage(const VmId &from, const ItemsAnnouncement &message,
                      Time now) {
  pull(from, message.Items, now);
}

void Relay::onMessage(const VmId &from, const ItemsRequest &message, Time) {
  for (const ItemVersion &wanted : message.Items)
    if (const auto it = Items.find(wanted.Key); it != Items.end())
      send(from, ItemContent{it->second});
}

void Relay::onMessage(const VmId &from, const ItemContent &message, Time) {
  if (storeIfNewer(message.Content))
    announce(versionOf(message.Content), from);
  removeCompletedPulls();
}

void Relay::onMessage(const VmId &from, const ItemsSyncRequest &message, Time) {
  const BucketDigests &ownBuckets = bucketDigests();
  ItemsSyncReply reply;
  for (std::size_t n = 0; n < DigestBuckets; ++n)
    if (ownBuckets[n] != message.Buckets[n])
      reply.DifferingBuckets |= std::uint32_t{1} << n;
  for (const auto &[key, item] : Items)
    if ((reply.DifferingBuckets >> bucketOf(key) & 1) != 0)
      reply.Items.push_back(versionOf(item));
  send(from, std::move(reply));
}

void Relay::onMessage(const VmId &from, const ItemsSyncReply &message,
                      Time now) {
  std::map<ItemKey, Revision> peerRevisions;
  for (const ItemVersion &it : message.Items)
    peerRevisions[it.Key] = it.Rev;
  ItemsAnnouncement announcement;
  for (const auto &[key, item] : Items)
    if ((message.DifferingBuckets >> bucketOf(key) & 1) != 0 &&
        peerRevisions[key] < heldRevision(key))
      announcement.Items.push_back(versionOf(item));
  if (!announcement.Items.empty())
    send(from, std::move(announcement));
  if (const auto it = Peers.find(from); it != Peers.end()) {
    it->second.HasSyncReply = true;
    for (const ItemVersion &item : message.Items)
      if (item.Rev > heldRevision(item.Key))
        it->second.AwaitedItems.insert(item.Key);
  }
  pull(from, message.Items, now);
}

bool Relay::isRestoredCopy(const Item &item) const {
  const auto *document = std::get_if<TeamDocument>(&item);
  const auto held = Items.find(versionOf(item).Key);
  if (document == nullptr || held == Items.end())
    return false;
  const auto &present = std::get<TeamDocument>(held->second);
  return epochOf(document->Rev.Value) > epochOf(present.Rev.Value) &&
         isFormerState(document->Text, present.Text);
}

/// Stores an item.
/// @return false if the stored revision is the same or newer, or the item is a
///   restored copy
bool Relay::storeIfNewer(const Item &item) {
  const ItemVersion version = versionOf(item);
  if (version.Rev <= heldRevision(version.Key) || isRestoredCopy(item))
    return false;
  Items[version.Key] = item;
  CachedBuckets.reset();
  if (IsServing)
    emitApplyItems(item);
  return true;
}

void Relay::emitApplyItems(const Item &item) {
  if (Actions.empty() || !std::holds_alternative<ApplyItems>(Actions.back()))
    Actions.emplace_back(ApplyItems());
  std::get<ApplyItems>(Actions.back()).Items.push_back(item);
}

void Relay::pull(const VmId &from, const std::vector<ItemVersion> &offered,
                 Time now) {
  ItemsRequest request;
  for (const ItemVersion &item : offered)
    if (recordOffer(from, item, now))
      request.Items.push_back(item);
  if (!request.Items.empty())
    send(from, std::move(request));
}

/// Records that @p from has an item.
/// @return true if the item must be requested from @p from now
bool Relay::recordOffer(const VmId &from, const ItemVersion &item, Time now) {
  if (item.Rev <= heldRevision(item.Key))
    return false;
  const auto [it, isNew] = PendingPulls.try_emplace(item.Key);
  PullData &pull = it->second;
  if (!isNew && pull.Rev >= item.Rev) {
    pull.Alternatives[from] = item.Rev;
    return false;
  }
  // The peer asked before may still send its older revision; it is asked again
  // only if the new one does not respond.
  if (!isNew)
    pull.Alternatives[pull.From] = pull.Rev;
  pull.Alternatives.erase(from);
  pull.Rev = item.Rev;
  pull.From = from;
  pull.Deadline = now + Parameters.PullTimeout;
  return true;
}

/// Requests an item from the peer in PullData::Alternatives that announced the
/// greatest revision, because the peer asked before did not send it.
void Relay::pullFromAlternative(const ItemKey &key, PullData &pull, Time now) {
  const auto best = std::ranges::max_element(
      pull.Alternatives, {}, [](const auto &entry) { return entry.second; });
  if (best == pull.Alternatives.end()) {
    // No other peer announced the item. The request is dropped; a later digest
    // mismatch shows that the item is missing.
    pull.Rev = Revision();
    return;
  }
  pull.From = best->first;
  pull.Rev = best->second;
  pull.Deadline = now + Parameters.PullTimeout;
  pull.Alternatives.erase(best);
  send(pull.From, ItemsRequest{{{key, pull.Rev}}});
}

void Relay::removeCompletedPulls() {
  std::erase_if(PendingPulls, [&](const auto &entry) {
    return entry.second.Rev <= heldRevision(entry.first);
  });
  for (auto &[vm, peer] : Peers)
    std::erase_if(peer.AwaitedItems, [&](const ItemKey &key) {
      return !PendingPulls.contains(key);
    });
}

void Relay::announce(const ItemVersion &item,
                     const std::optional<VmId> &except) {
  for (const auto &[vm, peer] : Peers)
    if (vm != except)
      send(vm, ItemsAnnouncement{{item}});
}

/// Starts to apply items when MinJoinPeers peers have sent all items that they
/// hold, or when JoinTimeout has passed.
void Relay::startServingIfReady(Time now) {
  if (IsServing)
    return;
  const auto syncedPeers =
      std::ranges::count_if(Peers | std::views::values, [](const PeerData &it) {
        return it.HasSyncReply && it.AwaitedItems.empty();
      });
  if (static_cast<std::size_t>(syncedPeers) < Parameters.MinJoinPeers &&
      now < JoinDeadline)
    return;
  IsServing = true;
  for (const auto &[key, item] : Items)
    emitApplyItems(item);
}

void Relay::send(const VmId &to, RelayMessage message) {
  Actions.emplace_back(SendRelay{to, std::move(message)});
}

} // namespace waxwing
