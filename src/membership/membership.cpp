/**
 * @file membership.cpp
 * Event handlers of membership and the distribution of entries.
 */
#include "membership/membership_base.h"

#include "core/hash_func.h"

#include <algorithm>
#include <fmt/format.h>
#include <ranges>
#include <utility>

namespace waxwing {
namespace {

constexpr std::uint64_t EntrySeed = 0x4d454d42;
/// A peer's digest must differ from the own one for this time before entries
/// are requested: updates that are still in transit need no request.
constexpr Duration SyncDelay = milliseconds(300);
constexpr Duration SyncPeriod = seconds(1);

std::uint64_t entryHash(const MemberEntry &it) {
  return hashText(fmt::format("{}/{}/{}/{}", it.Vm.Value, it.Process.Value,
                              it.Version, static_cast<int>(it.State)),
                  EntrySeed);
}

std::size_t bucketOf(const VmId &vm) {
  return hashText(vm.Value, EntrySeed) % DigestBuckets;
}

bool isInDigest(const MemberEntry &it) {
  return it.State != MemberState::New && it.State != MemberState::Dead;
}

/// @return whether entry @p a replaces entry @p b of the same VM
bool isNewer(const MemberEntry &a, const MemberEntry &b) {
  return std::tuple(a.Version, a.State, a.Process) >
         std::tuple(b.Version, b.State, b.Process);
}

} // namespace

Membership::Membership(MemberEntry self, MembershipParameters parameters,
                       Time now)
    : Self(std::move(self)), Parameters(parameters), NextHeartbeat(now),
      NextRetry(now), LastTick(now) {
  Self.State = MemberState::Live;
  Self.Version = 1;
}

std::vector<MembershipAction> Membership::handle(const MembershipEvent &event,
                                                 Time now) {
  Actions.clear();
  std::visit([&](const auto &it) { on(it, now); }, event);
  // A large group sends entries on ticks only, so that many share a message.
  if (heartbeatPeriodFactor() == 1 ||
      std::holds_alternative<MembershipTick>(event))
    sendPendingEntries();
  sendPendingReplies();
  return std::exchange(Actions, {});
}

std::vector<MemberEntry> Membership::others() const {
  std::vector<MemberEntry> result;
  result.reserve(Members.size());
  for (const auto &[vm, member] : Members)
    result.push_back(member.Entry);
  return result;
}

std::vector<MemberEntry> Membership::live() const {
  std::vector<MemberEntry> result;
  if (Self.State == MemberState::Live)
    result.push_back(Self);
  for (const auto &[vm, member] : Members)
    if (member.Entry.State == MemberState::Live && !member.IsListedLeaving)
      result.push_back(member.Entry);
  return result;
}

bool Membership::isStoreWatcher() const {
  const std::vector<VmId> watchers = chooseWatchers(live());
  return std::ranges::find(watchers, Self.Vm) != watchers.end();
}

template <class F> void Membership::forEachEntry(F &&visit) const {
  visit(Self);
  for (const auto &[vm, member] : Members)
    visit(member.Entry);
}

std::uint64_t Membership::digest() const {
  std::uint64_t digest = 0;
  for (const std::uint64_t part : buckets())
    digest ^= part;
  return digest;
}

const BucketDigests &Membership::buckets() const {
  if (CachedBuckets)
    return *CachedBuckets;
  BucketDigests &parts = CachedBuckets.emplace();
  forEachEntry([&](const MemberEntry &it) {
    if (isInDigest(it))
      parts[bucketOf(it.Vm)] ^= entryHash(it);
  });
  return parts;
}

void Membership::on(const VmListUpdated &event, Time now) {
  std::map<VmId, const ListedVm *> listed;
  for (const ListedVm &it : event.Vms)
    if (it.Vm != Self.Vm)
      listed[it.Vm] = &it;
  bool isChanged = false;
  for (auto &[vm, member] : Members) {
    const auto it = listed.find(vm);
    member.IsListed = it != listed.end();
    const bool isLeaving = member.IsListed && it->second->IsLeaving;
    isChanged |= std::exchange(member.IsListedLeaving, isLeaving) != isLeaving;
  }
  for (const auto &[vm, it] : listed)
    isChanged |= mergeListed(*it, now);
  if (!isChanged)
    return;
  NeedsNewLinkTargets = true;
  Actions.push_back(MembersChanged());
}

/// Adds a VM from the platform's list, or updates its address. The address that
/// a member announced itself takes precedence over the list.
/// @return whether a member was added or updated
bool Membership::mergeListed(const ListedVm &listed, Time now) {
  const auto [it, isNew] = Members.try_emplace(listed.Vm);
  MemberData &member = it->second;
  if (isNew) {
    member.Entry.Vm = listed.Vm;
    member.Since = now;
    member.IsListed = true;
    member.IsListedLeaving = listed.IsLeaving;
  }
  if (member.Entry.Version > 0 || member.Entry.Link == listed.Link)
    return isNew;
  member.Entry.Domain = listed.Domain;
  member.Entry.Link = listed.Link;
  return true;
}

void Membership::on(const MemberLinked &event, Time now) {
  Links[event.Vm] = {now, Parameters.HeartbeatPeriod * MaxHeartbeatPeriodFactor,
                     false, std::nullopt, now};
  const auto it = Members.find(event.Vm);
  std::vector<MemberEntry> entries{Self};
  if (it != Members.end()) {
    it->second.LinkDeadline.reset();
    if (it->second.Entry.Version > 0)
      entries.push_back(
          it->second.Entry); // so that the member can refute a wrong entry
  }
  Actions.push_back(
      SendMembership{event.Vm, MembersUpdate{std::move(entries)}});
  Actions.push_back(SendMembership{event.Vm, MembersSyncRequest{buckets()}});
}

void Membership::on(const MemberUnlinked &event, Time now) {
  Links.erase(event.Vm);
  const auto it = Members.find(event.Vm);
  if (it != Members.end() && Targets.contains(event.Vm))
    it->second.LinkDeadline = now + Parameters.SuspicionTimeout;
}

void Membership::on(const MemberActivity &event, Time now) {
  const auto it = Links.find(event.From);
  if (it != Links.end()) {
    it->second.HeardAt = now;
    it->second.IsPeerSuspected = false;
  }
}

void Membership::on(const MembershipMessageReceived &event, Time now) {
  std::visit([&](const auto &it) { handleMessage(event.From, it, now); },
             event.Message);
}

void Membership::on(const ShutdownStarted &, Time) {
  Self.State = MemberState::Leaving;
  publishOwnEntry(Self.Version + 1);
}

void Membership::on(const StoreWatchStatus &event, Time) {
  if (Self.IsStoreFailing == event.IsFailing)
    return;
  Self.IsStoreFailing = event.IsFailing;
  publishOwnEntry(Self.Version + 1);
  Actions.push_back(MembersChanged());
}

void Membership::handleMessage(const VmId &from, const Heartbeat &message,
                               Time now) {
  const auto it = Links.find(from);
  if (it == Links.end())
    return;
  LinkData &link = it->second;
  link.Period =
      std::clamp(message.Period, Parameters.HeartbeatPeriod,
                 Parameters.HeartbeatPeriod * MaxHeartbeatPeriodFactor);
  if (message.Members == digest())
    return link.DigestDiffersSince.reset();
  if (!link.DigestDiffersSince)
    link.DigestDiffersSince = now;
  if (now < *link.DigestDiffersSince + SyncDelay || now < link.NextSyncRequest)
    return;
  link.NextSyncRequest = now + SyncPeriod;
  Actions.push_back(SendMembership{from, MembersSyncRequest{buckets()}});
}

void Membership::handleMessage(const VmId &from, const MembersUpdate &message,
                               Time now) {
  for (const MemberEntry &entry : message.Entries)
    merge(entry, from, now);
}

void Membership::handleMessage(const VmId &from,
                               const MembersSyncRequest &message, Time) {
  const BucketDigests own = buckets();
  forEachEntry([&](const MemberEntry &it) {
    const std::size_t n = bucketOf(it.Vm);
    if (it.Version > 0 && own[n] != message.Buckets[n])
      Replies[from].push_back(it);
  });
}

bool Membership::merge(const MemberEntry &entry, const VmId &from, Time now) {
  if (entry.Vm == Self.Vm) {
    if (isNewer(entry, Self) && entry != Self)
      publishOwnEntry(entry.Version + 1);
    else if (isNewer(Self, entry))
      Replies[from].push_back(Self);
    return false;
  }
  if (entry.State == MemberState::Dead && !Members.contains(entry.Vm))
    return false; // an entry of a dead member that was already removed here
  const auto [it, isNew] = Members.try_emplace(entry.Vm);
  MemberData &member = it->second;
  if (!isNew && !isNewer(entry, member.Entry)) {
    if (const auto pending = PendingEntries.find(entry.Vm);
        pending != PendingEntries.end() && pending->second.Entry == entry)
      pending->second.KnownBy.insert(from);
    if (isNewer(member.Entry, entry))
      Replies[from].push_back(member.Entry);
    return false;
  }
  const bool isRefuted = member.Entry.State >= MemberState::Suspected &&
                         entry.State < MemberState::Suspected &&
                         entry.Process == member.Entry.Process;
  if (isRefuted)
    member.Backoff = std::min(member.Backoff * 2 + Parameters.DeadTimeout,
                              Parameters.ForgetTimeout);
  if (entry.Process != member.Entry.Process)
    member.Backoff = Duration();
  member.NextSuspicion = now + member.Backoff;
  member.Entry = entry;
  member.Since = now;
  if (Targets.contains(entry.Vm) && !Links.contains(entry.Vm))
    member.LinkDeadline = now + ConnectTimeout;
  CachedBuckets.reset();
  NeedsNewLinkTargets = true;
  Actions.push_back(MembersChanged());
  enqueueEntry(entry, from);
  return true;
}

void Membership::suspect(MemberData &member, Time now) {
  if (member.Entry.State == MemberState::New)
    return setState(member, MemberState::Dead, now);
  if (member.Entry.State >= MemberState::Suspected ||
      now < member.NextSuspicion)
    return;
  setState(member, MemberState::Suspected, now);
  enqueueEntry(member.Entry, Self.Vm);
}

void Membership::setState(MemberData &member, MemberState state, Time now) {
  member.Entry.State = state;
  CachedBuckets.reset();
  member.Since = now;
  NeedsNewLinkTargets = true;
  Actions.push_back(MembersChanged());
}

void Membership::publishOwnEntry(std::uint64_t version) {
  Self.Version = version;
  CachedBuckets.reset();
  enqueueEntry(Self, Self.Vm);
}

void Membership::enqueueEntry(const MemberEntry &entry, const VmId &from) {
  PendingEntries[entry.Vm] = {entry, {from}};
}

void Membership::sendPendingEntries() {
  if (PendingEntries.empty())
    return;
  for (const auto &[peer, link] : Links) {
    MembersUpdate update;
    for (const auto &[vm, pending] : PendingEntries)
      if (!pending.KnownBy.contains(peer))
        update.Entries.push_back(pending.Entry);
    if (!update.Entries.empty())
      Actions.push_back(SendMembership{peer, std::move(update)});
  }
  PendingEntries.clear();
}

void Membership::sendPendingReplies() {
  for (auto &[vm, entries] : Replies)
    Actions.push_back(SendMembership{vm, MembersUpdate{std::move(entries)}});
  Replies.clear();
}

} // namespace waxwing
