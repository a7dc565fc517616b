/**
 * @file relay.cpp
 * Announcements, pulls and comparisons of items.
 */
#include "relay/relay_base.h"

#include "core/hash_func.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace waxwing {
namespace {

constexpr std::uint64_t ItemSeed = 0x4954454d;
/// Differing digests are compared after this time: announcements that are
/// on their way need no comparison.
constexpr Duration DiffersPatience = milliseconds(300);
constexpr Duration ComparePeriod = seconds(1);

std::uint64_t keyHash(const ItemKey &key) {
  return hashText(key.Name, ItemSeed + static_cast<std::uint64_t>(key.Kind));
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

Relay::Relay(RelayParameters terms, Time now)
    : Terms(terms), JoinDeadline(now + terms.JoinLimit) {}

std::vector<RelayAction> Relay::handle(const RelayEvent &event, Time now) {
  Actions.clear();
  std::visit([&](const auto &it) { on(it, now); }, event);
  checkServing(now);
  return std::exchange(Actions, {});
}

const BucketDigests &Relay::buckets() const {
  if (Cached)
    return *Cached;
  BucketDigests &parts = Cached.emplace();
  for (const auto &[key, item] : Items)
    parts[bucketOf(key)] ^= versionHash(versionOf(item));
  return parts;
}

std::uint64_t Relay::digest() const {
  std::uint64_t digest = 0;
  for (const std::uint64_t part : buckets())
    digest ^= part;
  return digest;
}

Revision Relay::held(const ItemKey &key) const {
  const auto it = Items.find(key);
  return it == Items.end() ? Revision() : versionOf(it->second).Rev;
}

void Relay::on(const RelayTick &, Time now) {
  for (auto &[key, pull] : Pulls)
    if (now >= pull.Deadline)
      askOther(key, pull, now);
  dropSatisfied();
}

void Relay::on(const RelayPeerUp &event, Time now) {
  PeerData &peer = Peers[event.Vm];
  peer = {};
  peer.NextCompare = now + ComparePeriod;
  send(event.Vm, ItemsSyncRequest{buckets()});
}

void Relay::on(const RelayPeerDown &event, Time now) {
  Peers.erase(event.Vm);
  for (auto &[key, pull] : Pulls) {
    pull.Others.erase(event.Vm);
    if (pull.From == event.Vm)
      askOther(key, pull, now);
  }
  dropSatisfied();
}

void Relay::on(const RelayDigestHeard &event, Time now) {
  const auto it = Peers.find(event.From);
  if (it == Peers.end())
    return;
  PeerData &peer = it->second;
  if (event.Digest == digest())
    return peer.DiffersSince.reset();
  if (!peer.DiffersSince)
    peer.DiffersSince = now;
  if (now < *peer.DiffersSince + DiffersPatience || now < peer.NextCompare)
    return;
  peer.NextCompare = now + ComparePeriod;
  send(event.From, ItemsSyncRequest{buckets()});
}

void Relay::on(const RelaySaid &event, Time now) {
  std::visit([&](const auto &it) { take(event.From, it, now); }, event.Message);
}

void Relay::on(const ItemLearnt &event, Time) {
  if (!hold(event.Content))
    return;
  if (Peers.size() >= Terms.MeshVms)
    return announce(versionOf(event.Content), std::nullopt);
  for (const auto &[vm, peer] : Peers)
    send(vm, ItemContent{event.Content});
}

void Relay::on(const StoreRead &, Time) {
  if (!std::exchange(IsServing, true))
    for (const auto &[key, item] : Items)
      use(item);
}

void Relay::take(const VmId &from, const ItemsAnnouncement &message, Time now) {
  pull(from, message.Items, now);
}

void Relay::take(const VmId &from, const ItemsRequest &message, Time) {
  for (const ItemVersion &wanted : message.Items)
    if (const auto it = Items.find(wanted.Key); it != Items.end())
      send(from, ItemContent{it->second});
}

void Relay::take(const VmId &from, const ItemContent &message, Time) {
  if (hold(message.Content))
    announce(versionOf(message.Content), from);
  dropSatisfied();
}

void Relay::take(const VmId &from, const ItemsSyncRequest &message, Time) {
  const BucketDigests &own = buckets();
  ItemsSyncReply reply;
  for (std::size_t n = 0; n < DigestBuckets; ++n)
    if (own[n] != message.Buckets[n])
      reply.Parts |= std::uint32_t{1} << n;
  for (const auto &[key, item] : Items)
    if ((reply.Parts >> bucketOf(key) & 1) != 0)
      reply.Items.push_back(versionOf(item));
  send(from, std::move(reply));
}

void Relay::take(const VmId &from, const ItemsSyncReply &message, Time now) {
  std::map<ItemKey, Revision> theirs;
  for (const ItemVersion &it : message.Items)
    theirs[it.Key] = it.Rev;
  ItemsAnnouncement news;
  for (const auto &[key, item] : Items)
    if ((message.Parts >> bucketOf(key) & 1) != 0 && theirs[key] < held(key))
      news.Items.push_back(versionOf(item));
  if (!news.Items.empty())
    send(from, std::move(news));
  if (const auto it = Peers.find(from); it != Peers.end()) {
    it->second.IsCompared = true;
    for (const ItemVersion &item : message.Items)
      if (item.Rev > held(item.Key))
        it->second.Awaited.insert(item.Key);
  }
  pull(from, message.Items, now);
}

/// @return whether @p item is newer than the one held
bool Relay::hold(const Item &item) {
  const ItemVersion version = versionOf(item);
  if (version.Rev <= held(version.Key))
    return false;
  Items[version.Key] = item;
  Cached.reset();
  if (IsServing)
    use(item);
  return true;
}

void Relay::use(const Item &item) {
  if (Actions.empty() || !std::holds_alternative<UseItems>(Actions.back()))
    Actions.emplace_back(UseItems());
  std::get<UseItems>(Actions.back()).Items.push_back(item);
}

void Relay::pull(const VmId &from, const std::vector<ItemVersion> &offered,
                 Time now) {
  ItemsRequest request;
  for (const ItemVersion &item : offered)
    if (noteOffer(from, item, now))
      request.Items.push_back(item);
  if (!request.Items.empty())
    send(from, std::move(request));
}

/// @return whether to ask @p from for the item now
bool Relay::noteOffer(const VmId &from, const ItemVersion &item, Time now) {
  if (item.Rev <= held(item.Key))
    return false;
  const auto [it, isNew] = Pulls.try_emplace(item.Key);
  PullData &pull = it->second;
  if (!isNew && pull.Rev >= item.Rev) {
    pull.Others[from] = item.Rev;
    return false;
  }
  // The earlier holder may still deliver; it is asked again only if this
  // one does not.
  if (!isNew)
    pull.Others[pull.From] = pull.Rev;
  pull.Others.erase(from);
  pull.Rev = item.Rev;
  pull.From = from;
  pull.Deadline = now + Terms.PullTimeout;
  return true;
}

/// Asks the holder of the greatest revision among the others.
void Relay::askOther(const ItemKey &key, PullData &pull, Time now) {
  const auto best = std::ranges::max_element(
      pull.Others, {}, [](const auto &entry) { return entry.second; });
  if (best == pull.Others.end()) {
    pull.Rev = Revision(); // dropped; a digest shows what is missing
    return;
  }
  pull.From = best->first;
  pull.Rev = best->second;
  pull.Deadline = now + Terms.PullTimeout;
  pull.Others.erase(best);
  send(pull.From, ItemsRequest{{{key, pull.Rev}}});
}

void Relay::dropSatisfied() {
  std::erase_if(Pulls, [&](const auto &entry) {
    return entry.second.Rev <= held(entry.first);
  });
  for (auto &[vm, peer] : Peers)
    std::erase_if(peer.Awaited,
                  [&](const ItemKey &key) { return !Pulls.contains(key); });
}

void Relay::announce(const ItemVersion &item,
                     const std::optional<VmId> &except) {
  for (const auto &[vm, peer] : Peers)
    if (vm != except)
      send(vm, ItemsAnnouncement{{item}});
}

/// A starting process uses what it holds once enough peers told all that
/// they hold, or its wait is over.
void Relay::checkServing(Time now) {
  if (IsServing)
    return;
  const auto done =
      std::ranges::count_if(Peers | std::views::values, [](const PeerData &it) {
        return it.IsCompared && it.Awaited.empty();
      });
  if (static_cast<std::size_t>(done) < Terms.JoinPeers && now < JoinDeadline)
    return;
  IsServing = true;
  for (const auto &[key, item] : Items)
    use(item);
}

void Relay::send(const VmId &to, RelayMessage message) {
  Actions.emplace_back(SendRelay{to, std::move(message)});
}

} // namespace waxwing
