/**
 * @file membership_timers.cpp
 * Periodic work of membership: heartbeats, suspicion, reconnection attempts
 * and the choice of links.
 */
#include "membership/membership_base.h"

#include <algorithm>
#include <ranges>

namespace waxwing {
void Membership::on(const MembershipTick &, Time now) {
  extendTimeoutsAfterPause(now);
  checkLinkTimeouts(now);
  checkUnlinkedTargets(now);
  declareSuspectedDead(now);
  removeUnlistedMembers(now);
  reconnectDeadMember(now);
  chooseLinkTargets(now);
  sendHeartbeats(now);
}

/// After a pause of this process, extends all timeouts by the length of the
/// pause: that nothing was received during it does not mean that others failed.
void Membership::extendTimeoutsAfterPause(Time now) {
  const Duration gap = now - std::exchange(LastTick, now);
  if (gap < Parameters.SuspicionTimeout)
    return;
  for (auto &[vm, link] : Links)
    link.HeardAt += gap;
  for (auto &[vm, member] : Members) {
    member.Since += gap;
    if (member.LinkDeadline)
      *member.LinkDeadline += gap;
  }
}

void Membership::sendHeartbeats(Time now) {
  if (now < NextHeartbeat)
    return;
  const Duration period = Parameters.HeartbeatPeriod * heartbeatPeriodFactor();
  NextHeartbeat = now + period;
  SendHeartbeat action{{}, {period, digest(), 0}};
  std::ranges::copy(Links | std::views::keys, std::back_inserter(action.To));
  if (!action.To.empty())
    Actions.push_back(std::move(action));
}

/// @return factor by which the heartbeat period is lengthened; it grows with
/// the
///   number of members to limit heartbeat traffic
std::int64_t Membership::heartbeatPeriodFactor() const {
  const auto groups = static_cast<std::int64_t>(
      (Members.size() + Parameters.FullMeshVms) / Parameters.FullMeshVms);
  return std::clamp<std::int64_t>(groups, 1, MaxHeartbeatPeriodFactor);
}

/// @return time without messages after which the peer on this link is suspected
Duration Membership::suspicionTimeout(const LinkData &link) const {
  return Parameters.SuspicionTimeout *
         (link.Period / Parameters.HeartbeatPeriod);
}

void Membership::checkLinkTimeouts(Time now) {
  for (auto &[vm, link] : Links) {
    if (now < link.HeardAt + suspicionTimeout(link))
      continue;
    const auto it = Members.find(vm);
    if (it != Members.end() && !std::exchange(link.IsPeerSuspected, true))
      suspect(it->second, now);
    // A connection that stays open may never carry data again; a new one may.
    if (now >= link.HeardAt + suspicionTimeout(link) + Parameters.DeadTimeout) {
      link.HeardAt = now;
      Actions.push_back(CloseLink{vm});
    }
  }
}

void Membership::checkUnlinkedTargets(Time now) {
  for (auto &[vm, member] : Members) {
    if (!member.LinkDeadline || Links.contains(vm) ||
        now < *member.LinkDeadline)
      continue;
    member.LinkDeadline = now + ConnectTimeout;
    suspect(member, now);
  }
}

void Membership::declareSuspectedDead(Time now) {
  for (auto &[vm, member] : Members)
    if (member.Entry.State == MemberState::Suspected &&
        now >= member.Since + Parameters.DeadTimeout)
      setState(member, MemberState::Dead, now);
}

void Membership::removeUnlistedMembers(Time now) {
  const auto isExpired = [&](const auto &entry) {
    const MemberData &member = entry.second;
    const bool isGone = member.Entry.State == MemberState::Dead ||
                        member.Entry.State == MemberState::New;
    return isGone && !member.IsListed && !Links.contains(entry.first) &&
           now >= member.Since + Parameters.ForgetTimeout;
  };
  if (std::erase_if(Members, isExpired) > 0)
    NeedsNewLinkTargets = true;
}

/// Makes one dead member at a time a link target, since it may have restarted
/// or may have been reachable all the time.
void Membership::reconnectDeadMember(Time now) {
  if (now < NextRetry)
    return;
  NextRetry = now + Parameters.RetryPeriod;
  const auto isRetried = [&](const auto &entry) {
    return entry.second.Entry.State == MemberState::Dead &&
           !Links.contains(entry.first);
  };
  const auto begin = ReconnectingMember
                         ? Members.upper_bound(*ReconnectingMember)
                         : Members.begin();
  auto it = std::find_if(begin, Members.end(), isRetried);
  if (it == Members.end())
    it = std::find_if(Members.begin(), Members.end(), isRetried);
  const std::optional<VmId> before = ReconnectingMember;
  ReconnectingMember.reset();
  if (it != Members.end())
    ReconnectingMember = it->first;
  if (ReconnectingMember != before)
    NeedsNewLinkTargets = true;
}

void Membership::chooseLinkTargets(Time now) {
  if (!std::exchange(NeedsNewLinkTargets, false))
    return;
  std::vector<MemberEntry> reachable;
  for (const auto &[vm, member] : Members)
    if (member.Entry.State < MemberState::Suspected)
      reachable.push_back(member.Entry);
  std::map<VmId, Endpoint> chosen;
  for (const VmId &vm : chooseLinks(Self.Vm, reachable, Parameters))
    chosen[vm] = Members.at(vm).Entry.Link;
  if (ReconnectingMember)
    chosen[*ReconnectingMember] = Members.at(*ReconnectingMember).Entry.Link;
  for (auto &[vm, member] : Members) {
    if (!chosen.contains(vm) || vm == ReconnectingMember)
      member.LinkDeadline.reset();
    else if (!member.LinkDeadline && !Links.contains(vm))
      member.LinkDeadline = now + ConnectTimeout;
  }
  if (chosen == Targets)
    return;
  Targets = std::move(chosen);
  Actions.push_back(SetLinkTargets{Targets});
}

} // namespace waxwing
