/**
 * @file membership.cpp
 * Events of membership and the spreading of entries.
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
/// Differing digests are compared in parts after this time: news that are on
/// their way need no comparison.
constexpr Duration DiffersPatience = milliseconds(300);
constexpr Duration ComparePeriod = seconds(1);

std::uint64_t entryHash(const MemberEntry &it) {
  return hashText(fmt::format("{}/{}/{}/{}", it.Vm.Value, it.Process.Value,
                              it.Version, static_cast<int>(it.State)),
                  EntrySeed);
}

std::size_t bucketOf(const VmId &vm) {
  return hashText(vm.Value, EntrySeed) % DigestBuckets;
}

bool isCounted(const MemberEntry &it) {
  return it.State != MemberState::New && it.State != MemberState::Dead;
}

/// @return whether @p a is to replace @p b
bool isNewer(const MemberEntry &a, const MemberEntry &b) {
  return std::tuple(a.Version, a.State, a.Process) >
         std::tuple(b.Version, b.State, b.Process);
}

} // namespace

Membership::Membership(MemberEntry self, MembershipParameters terms, Time now)
    : Self(std::move(self)), Parameters(terms), NextHeartbeat(now),
      NextRetry(now), LastTick(now) {
  Self.State = MemberState::Live;
  Self.Version = 1;
}

std::vector<MembershipAction> Membership::handle(const MembershipEvent &event,
                                                 Time now) {
  Actions.clear();
  std::visit([&](const auto &it) { on(it, now); }, event);
  // A large group sends rumours with its ticks, many in one message.
  if (heartbeatStretch() == 1 || std::holds_alternative<MembershipTick>(event))
    flushRumours();
  flushReplies();
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
  if (Cached)
    return *Cached;
  BucketDigests &parts = Cached.emplace();
  forEachEntry([&](const MemberEntry &it) {
    if (isCounted(it))
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
    isChanged |= takeListed(*it, now);
  if (!isChanged)
    return;
  IsChanged = true;
  Actions.push_back(MembersChanged());
}

/// A member's own word on its address goes before the list.
/// @return whether anything is new
bool Membership::takeListed(const ListedVm &listed, Time now) {
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
  Links[event.Vm] = {now, Parameters.Heartbeat * MaxStretch, false,
                     std::nullopt, now};
  const auto it = Members.find(event.Vm);
  std::vector<MemberEntry> news{Self};
  if (it != Members.end()) {
    it->second.LinkUntil.reset();
    if (it->second.Entry.Version > 0)
      news.push_back(it->second.Entry); // lets it refute what is wrong
  }
  Actions.push_back(SendMembership{event.Vm, MembersUpdate{std::move(news)}});
  Actions.push_back(SendMembership{event.Vm, MembersSyncRequest{buckets()}});
}

void Membership::on(const MemberUnlinked &event, Time now) {
  Links.erase(event.Vm);
  const auto it = Members.find(event.Vm);
  if (it != Members.end() && Targets.contains(event.Vm))
    it->second.LinkUntil = now + Parameters.Suspicion;
}

void Membership::on(const MemberActivity &event, Time now) {
  const auto it = Links.find(event.From);
  if (it != Links.end()) {
    it->second.HeardAt = now;
    it->second.IsReported = false;
  }
}

void Membership::on(const MembershipMessageReceived &event, Time now) {
  std::visit([&](const auto &it) { take(event.From, it, now); }, event.Message);
}

void Membership::on(const ShutdownStarted &, Time) {
  Self.State = MemberState::Leaving;
  speakForSelf(Self.Version + 1);
}

void Membership::on(const StoreWatchStatus &event, Time) {
  if (Self.IsStoreFailing == event.IsFailing)
    return;
  Self.IsStoreFailing = event.IsFailing;
  speakForSelf(Self.Version + 1);
  Actions.push_back(MembersChanged());
}

void Membership::take(const VmId &from, const Heartbeat &message, Time now) {
  const auto it = Links.find(from);
  if (it == Links.end())
    return;
  LinkData &link = it->second;
  link.Period = std::clamp(message.Period, Parameters.Heartbeat,
                           Parameters.Heartbeat * MaxStretch);
  if (message.Members == digest())
    return link.DiffersSince.reset();
  if (!link.DiffersSince)
    link.DiffersSince = now;
  if (now < *link.DiffersSince + DiffersPatience || now < link.NextCompare)
    return;
  link.NextCompare = now + ComparePeriod;
  Actions.push_back(SendMembership{from, MembersSyncRequest{buckets()}});
}

void Membership::take(const VmId &from, const MembersUpdate &message,
                      Time now) {
  for (const MemberEntry &entry : message.Entries)
    merge(entry, from, now);
}

void Membership::take(const VmId &from, const MembersSyncRequest &message,
                      Time) {
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
      speakForSelf(entry.Version + 1);
    else if (isNewer(Self, entry))
      Replies[from].push_back(Self);
    return false;
  }
  if (entry.State == MemberState::Dead && !Members.contains(entry.Vm))
    return false; // forgotten here
  const auto [it, isNew] = Members.try_emplace(entry.Vm);
  MemberData &member = it->second;
  if (!isNew && !isNewer(entry, member.Entry)) {
    if (const auto rumour = Rumours.find(entry.Vm);
        rumour != Rumours.end() && rumour->second.Entry == entry)
      rumour->second.KnownBy.insert(from);
    if (isNewer(member.Entry, entry))
      Replies[from].push_back(member.Entry);
    return false;
  }
  const bool isRefuted = member.Entry.State >= MemberState::Suspected &&
                         entry.State < MemberState::Suspected &&
                         entry.Process == member.Entry.Process;
  if (isRefuted)
    member.Backoff =
        std::min(member.Backoff * 2 + Parameters.DeadAfter, Parameters.Forget);
  if (entry.Process != member.Entry.Process)
    member.Backoff = Duration();
  member.NextSuspicion = now + member.Backoff;
  member.Entry = entry;
  member.Since = now;
  if (Targets.contains(entry.Vm) && !Links.contains(entry.Vm))
    member.LinkUntil = now + ConnectPatience;
  Cached.reset();
  IsChanged = true;
  Actions.push_back(MembersChanged());
  spread(entry, from);
  return true;
}

void Membership::suspect(MemberData &member, Time now) {
  if (member.Entry.State == MemberState::New)
    return setState(member, MemberState::Dead, now);
  if (member.Entry.State >= MemberState::Suspected ||
      now < member.NextSuspicion)
    return;
  setState(member, MemberState::Suspected, now);
  spread(member.Entry, Self.Vm);
}

void Membership::setState(MemberData &member, MemberState state, Time now) {
  member.Entry.State = state;
  Cached.reset();
  member.Since = now;
  IsChanged = true;
  Actions.push_back(MembersChanged());
}

void Membership::speakForSelf(std::uint64_t version) {
  Self.Version = version;
  Cached.reset();
  spread(Self, Self.Vm);
}

void Membership::spread(const MemberEntry &entry, const VmId &from) {
  Rumours[entry.Vm] = {entry, {from}};
}

void Membership::flushRumours() {
  if (Rumours.empty())
    return;
  for (const auto &[peer, link] : Links) {
    MembersUpdate news;
    for (const auto &[vm, rumour] : Rumours)
      if (!rumour.KnownBy.contains(peer))
        news.Entries.push_back(rumour.Entry);
    if (!news.Entries.empty())
      Actions.push_back(SendMembership{peer, std::move(news)});
  }
  Rumours.clear();
}

void Membership::flushReplies() {
  for (auto &[vm, entries] : Replies)
    Actions.push_back(SendMembership{vm, MembersUpdate{std::move(entries)}});
  Replies.clear();
}

} // namespace waxwing
