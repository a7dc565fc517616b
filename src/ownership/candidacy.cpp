/**
 * @file candidacy.cpp
 * Ranks, delays and the choice of members.
 */
#include "ownership/candidacy_base.h"

#include <algorithm>
#include <map>
#include <xxhash.h>

namespace waxwing {
namespace {

/// Members of a record: a leader and up to four witnesses.
constexpr std::size_t MembersWanted = 5;
/// Delay between two candidates that follow each other.
constexpr Duration RankStep = milliseconds(50);
/// A controller that is no member waits longer by this many suspicions.
constexpr int OutsiderSuspicions = 4;
/// Candidates further back wait no longer than this one.
constexpr std::size_t LastPlace = 40;
/// Attempts that follow each other within this time back off.
constexpr Duration AttemptMemory = seconds(5);
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
  const auto costOf = [&](const RecordMember &it) {
    const bool isPresent = std::ranges::find(present, it) != present.end();
    return std::tuple(taken[it.Domain], !isPresent, orderOf(service, it.Vm));
  };
  while (chosen.size() < MembersWanted && !candidates.empty()) {
    const auto next = std::ranges::min_element(candidates, {}, costOf);
    ++taken[next->Domain];
    chosen.push_back(*next);
    candidates.erase(next);
  }
  // An even set has no greater majority than the next smaller odd one.
  if (chosen.size() % 2 == 0)
    chosen.pop_back();
  return chosen;
}

void Candidacy::restart(Time now) {
  LeaderHeardAt = now;
  RenewerHeardAt = now;
}

void Candidacy::hearLeader(Time now) { restart(now); }

void Candidacy::noteAttempt(Time now) {
  const bool isRepeated = now < LastAttempt + AttemptMemory;
  Backoff = isRepeated ? std::min(2 * Backoff + FirstBackoff, LongestBackoff)
                       : Duration();
  LastAttempt = now;
  NextAttempt = now + Backoff;
}

bool Candidacy::isRenewalDue(CandidateRank rank, Time now) const {
  if (!rank.IsMember || rank.Place == 0)
    return false;
  const Duration delay = Parameters.Heartbeat * 3 / 2 +
                         RankStep * static_cast<int>(rank.Place - 1);
  return now >= std::max(LeaderHeardAt, RenewerHeardAt) + delay;
}

bool Candidacy::isSilentForLong(Time now) const {
  return now >= LeaderHeardAt + OutsiderSuspicions * Parameters.Suspicion;
}

bool Candidacy::isTakeoverDue(CandidateRank rank, Time now) const {
  if (now < NextAttempt)
    return false;
  // The VM that led was restarted: nobody leads.
  if (rank.IsMember && rank.Place == 0)
    return true;
  const std::size_t place =
      std::min(rank.Place == 0 ? 0 : rank.Place - 1, LastPlace);
  const Duration base = rank.IsMember
                            ? Parameters.Suspicion
                            : OutsiderSuspicions * Parameters.Suspicion;
  return now >= LeaderHeardAt + base + RankStep * static_cast<int>(place);
}

} // namespace waxwing
