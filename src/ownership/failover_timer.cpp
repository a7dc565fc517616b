/**
 * @file failover_timer.cpp
 * Ranks of candidates, failover delays and the choice of members.
 */
#include "ownership/failover_timer_base.h"

#include <algorithm>
#include <map>
#include <xxhash.h>

namespace waxwing {
namespace {

/// Maximum number of members of a record: a leader and four witnesses.
constexpr std::size_t MaxMembers = 5;
/// Delay between the attempts of candidates with consecutive ranks.
constexpr Duration CandidateDelay = milliseconds(50);
/// Suspicion times without a message of the leader until a controller that the
/// record does not name as a member may try to take the leadership, and a
/// member even without a majority's confirmation (isLeaderLongSilent()).
constexpr int LongSilenceSuspicionTimes = 4;
/// CandidateDelay is added at most this many times before a takeover.
constexpr std::size_t MaxDelayedRank = 40;
/// An attempt to take the leadership within this time after the previous one
/// increases the backoff.
constexpr Duration BackoffWindow = seconds(5);
constexpr Duration FirstBackoff = milliseconds(200);
constexpr Duration LongestBackoff = seconds(2);

std::uint64_t orderOf(const ServiceId &service, const VmId &vm) {
  const std::string text = service.Value + "\n" + vm.Value;
  return XXH3_64bits(text.data(), text.size());
}

} // namespace

CandidateRank rankOf(const RecordMember &self, const ServiceId &service,
                     const MemberSet &members,
                     const std::vector<ControllerMember> &controllers) {
  const auto member = std::ranges::find(members, self.Vm, &RecordMember::Vm);
  if (member != members.end())
    return {static_cast<std::size_t>(member - members.begin()), true};
  const std::uint64_t own = orderOf(service, self.Vm);
  const auto before =
      std::ranges::count_if(controllers, [&](const ControllerMember &it) {
        return orderOf(service, it.Member.Vm) < own;
      });
  return {members.size() + static_cast<std::size_t>(before), false};
}

MemberSet chooseMembers(const RecordMember &self, const ServiceId &service,
                        const MemberSet &present,
                        const std::vector<ControllerMember> &controllers) {
  MemberSet chosen{self};
  MemberSet candidates;
  for (const ControllerMember &it : controllers)
    if (!it.IsSuspected && it.Member.Vm != self.Vm)
      candidates.push_back(it.Member);
  std::map<DomainId, int> taken{{self.Domain, 1}};
  const auto preferenceOf = [&](const RecordMember &it) {
    const bool isPresent = std::ranges::find(present, it) != present.end();
    return std::tuple(taken[it.Domain], !isPresent, orderOf(service, it.Vm));
  };
  while (chosen.size() < MaxMembers && !candidates.empty()) {
    const auto next = std::ranges::min_element(candidates, {}, preferenceOf);
    ++taken[next->Domain];
    chosen.push_back(*next);
    candidates.erase(next);
  }
  // An even number of members tolerates no more failures than the next smaller
  // odd number.
  if (chosen.size() % 2 == 0)
    chosen.pop_back();
  return chosen;
}

void FailoverTimer::restart(Time now) {
  LeaderHeardAt = now;
  RenewerHeardAt = now;
}

void FailoverTimer::recordLeaderMessage(Time now) { restart(now); }

void FailoverTimer::recordTakeoverAttempt(Time now) {
  const bool isRepeated = now < LastAttempt + BackoffWindow;
  Backoff = isRepeated ? std::min(2 * Backoff + FirstBackoff, LongestBackoff)
                       : Duration();
  LastAttempt = now;
  NextAttempt = now + Backoff;
}

bool FailoverTimer::isRenewalDue(CandidateRank rank, Time now) const {
  if (!rank.IsMember || rank.Position == 0)
    return false;
  const Duration delay = Parameters.Heartbeat * 3 / 2 +
                         CandidateDelay * static_cast<int>(rank.Position - 1);
  return now >= std::max(LeaderHeardAt, RenewerHeardAt) + delay;
}

bool FailoverTimer::isLeaderLongSilent(Time now) const {
  return now >=
         LeaderHeardAt + LongSilenceSuspicionTimes * Parameters.Suspicion;
}

bool FailoverTimer::isTakeoverDue(CandidateRank rank, Time now) const {
  if (now < NextAttempt)
    return false;
  // The record names this VM's earlier process as the leader. That process has
  // ended, so that nobody leads now.
  if (rank.IsMember && rank.Position == 0)
    return true;
  const std::size_t place =
      std::min(rank.Position == 0 ? 0 : rank.Position - 1, MaxDelayedRank);
  const Duration base = rank.IsMember
                            ? Parameters.Suspicion
                            : LongSilenceSuspicionTimes * Parameters.Suspicion;
  return now >= LeaderHeardAt + base + CandidateDelay * static_cast<int>(place);
}

} // namespace waxwing
