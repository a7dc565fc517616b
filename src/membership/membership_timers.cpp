/**
 * @file membership_timers.cpp
 * What membership does as time passes: heartbeats, suspicion, retries and
 * the choice of links.
 */
#include "membership/membership_base.h"

#include <algorithm>
#include <ranges>

namespace waxwing {
void Membership::on(const MembershipTick &, Time now) {
  forgivePause(now);
  watchLinks(now);
  watchUnlinked(now);
  endSuspicions(now);
  forgetDead(now);
  retryDead(now);
  chooseTargets(now);
  sendHeartbeats(now);
}

/// A process that was paused heard nobody, which proves nothing of others.
void Membership::forgivePause(Time now) {
  const Duration gap = now - std::exchange(LastTick, now);
  if (gap < Parameters.Suspicion)
    return;
  for (auto &[vm, link] : Links)
    link.HeardAt += gap;
  for (auto &[vm, member] : Members) {
    member.Since += gap;
    if (member.LinkUntil)
      *member.LinkUntil += gap;
  }
}

void Membership::sendHeartbeats(Time now) {
  if (now < NextHeartbeat)
    return;
  const Duration period = Parameters.Heartbeat * heartbeatStretch();
  NextHeartbeat = now + period;
  SendHeartbeat action{{}, {period, digest(), 0}};
  std::ranges::copy(Links | std::views::keys, std::back_inserter(action.To));
  if (!action.To.empty())
    Actions.push_back(std::move(action));
}

/// Keeps the bytes of heartbeats within bounds as links grow in number.
std::int64_t Membership::heartbeatStretch() const {
  const auto groups = static_cast<std::int64_t>(
      (Members.size() + Parameters.MeshVms) / Parameters.MeshVms);
  return std::clamp<std::int64_t>(groups, 1, MaxStretch);
}

/// @return silence that makes the peer suspect
Duration Membership::silenceOf(const LinkData &link) const {
  return Parameters.Suspicion * (link.Period / Parameters.Heartbeat);
}

void Membership::watchLinks(Time now) {
  for (auto &[vm, link] : Links) {
    if (now < link.HeardAt + silenceOf(link))
      continue;
    const auto it = Members.find(vm);
    if (it != Members.end() && !std::exchange(link.IsReported, true))
      suspect(it->second, now);
    // An open connection may have gone silent for good.
    if (now >= link.HeardAt + silenceOf(link) + Parameters.DeadAfter) {
      link.HeardAt = now;
      Actions.push_back(CloseLink{vm});
    }
  }
}

void Membership::watchUnlinked(Time now) {
  for (auto &[vm, member] : Members) {
    if (!member.LinkUntil || Links.contains(vm) || now < *member.LinkUntil)
      continue;
    member.LinkUntil = now + ConnectPatience;
    suspect(member, now);
  }
}

void Membership::endSuspicions(Time now) {
  for (auto &[vm, member] : Members)
    if (member.Entry.State == MemberState::Suspected &&
        now >= member.Since + Parameters.DeadAfter)
      setState(member, MemberState::Dead, now);
}

void Membership::forgetDead(Time now) {
  const auto isForgotten = [&](const auto &entry) {
    const MemberData &member = entry.second;
    const bool isGone = member.Entry.State == MemberState::Dead ||
                        member.Entry.State == MemberState::New;
    return isGone && !member.IsListed && !Links.contains(entry.first) &&
           now >= member.Since + Parameters.Forget;
  };
  if (std::erase_if(Members, isForgotten) > 0)
    IsChanged = true;
}

/// Tries one dead member at a time: it may be back, or never have been gone.
void Membership::retryDead(Time now) {
  if (now < NextRetry)
    return;
  NextRetry = now + Parameters.Retry;
  const auto isRetried = [&](const auto &entry) {
    return entry.second.Entry.State == MemberState::Dead &&
           !Links.contains(entry.first);
  };
  const auto begin = Retried ? Members.upper_bound(*Retried) : Members.begin();
  auto it = std::find_if(begin, Members.end(), isRetried);
  if (it == Members.end())
    it = std::find_if(Members.begin(), Members.end(), isRetried);
  const std::optional<VmId> before = Retried;
  Retried.reset();
  if (it != Members.end())
    Retried = it->first;
  if (Retried != before)
    IsChanged = true;
}

void Membership::chooseTargets(Time now) {
  if (!std::exchange(IsChanged, false))
    return;
  std::vector<MemberEntry> reachable;
  for (const auto &[vm, member] : Members)
    if (member.Entry.State < MemberState::Suspected)
      reachable.push_back(member.Entry);
  std::map<VmId, Endpoint> chosen;
  for (const VmId &vm : chooseLinks(Self.Vm, reachable, Parameters))
    chosen[vm] = Members.at(vm).Entry.Link;
  if (Retried)
    chosen[*Retried] = Members.at(*Retried).Entry.Link;
  for (auto &[vm, member] : Members) {
    if (!chosen.contains(vm) || vm == Retried)
      member.LinkUntil.reset();
    else if (!member.LinkUntil && !Links.contains(vm))
      member.LinkUntil = now + ConnectPatience;
  }
  if (chosen == Targets)
    return;
  Targets = std::move(chosen);
  Actions.push_back(SetLinkTargets{Targets});
}

} // namespace waxwing
