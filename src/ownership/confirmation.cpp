/**
 * @file confirmation.cpp
 * Fences, confirmation rounds and quiet times.
 */
#include "ownership/confirmation_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Rounds whose late answers still count.
constexpr std::size_t RoundsKept = 4;

} // namespace

bool hasMajority(const MemberSet &members,
                 const std::set<RecordMember> &answered) {
  const auto n = std::ranges::count_if(
      members, [&](const RecordMember &it) { return answered.contains(it); });
  return 2 * static_cast<std::size_t>(n) > members.size();
}

ConfirmReply Witness::answer(const RecordMember &from,
                             const ConfirmRequest &request, Time now) {
  raise(request.Record);
  std::erase_if(RightsEnd,
                [&](const auto &entry) { return entry.second <= now; });
  const bool isProbe = request.Record == Revision(0);
  ConfirmReply reply{request.Service,
                     request.Record,
                     request.Round,
                     !isProbe && request.Record >= Fence,
                     std::max(Fence, request.Record),
                     isSole(from, now)};
  if (reply.Confirmed)
    RightsEnd[from] = now + Parameters.covering(Parameters.ConfirmationTerm +
                                                Parameters.GrantTerm);
  return reply;
}

bool Witness::isSole(const RecordMember &asker, Time now) const {
  return std::ranges::none_of(RightsEnd, [&](const auto &entry) {
    return entry.first != asker && now < entry.second;
  });
}

ConfirmRequest ConfirmationRounds::begin(const ServiceId &service,
                                         Revision record, Time now) {
  Rounds.push_back({NextRound++, record, now, {}, {}, false});
  if (Rounds.size() > RoundsKept)
    Rounds.pop_front();
  return {service, record, Rounds.back().Number};
}

bool ConfirmationRounds::isAnswer(const ConfirmReply &reply) const {
  return std::ranges::any_of(Rounds, [&](const Round &it) {
    return it.Number == reply.Round && it.Record == reply.Record;
  });
}

void ConfirmationRounds::take(const RecordMember &from,
                              const ConfirmReply &reply,
                              const MemberSet &members) {
  const auto round = std::ranges::find(Rounds, reply.Round, &Round::Number);
  if (round == Rounds.end() || round->Record != reply.Record ||
      !reply.Confirmed)
    return;
  round->Confirmed.insert(from);
  if (reply.IsOnlyRenewer)
    round->Sole.insert(from);
  if (!hasMajority(members, round->Confirmed))
    return;
  round->HasMajority = true;
  confirm(round->Record, round->StartedAt);
  IsOnlyRenewer = hasMajority(members, round->Sole);
}

void ConfirmationRounds::confirm(Revision record, Time startedAt) {
  if (record < Confirmed || (record == Confirmed && startedAt <= ConfirmedAt))
    return;
  Confirmed = record;
  ConfirmedAt = startedAt;
}

bool ConfirmationRounds::isConfirmed(Revision record, Time now) const {
  return Parameters.Policy == ConfirmationPolicy::Unconfirmed ||
         now < confirmedUntil(record);
}

bool ConfirmationRounds::isUnanswered(Time now) const {
  return !Rounds.empty() && !Rounds.back().HasMajority &&
         now >= Rounds.back().StartedAt + Parameters.Heartbeat / 3;
}

Time ConfirmationRounds::confirmedUntil(Revision record) const {
  return record == Confirmed && record != Revision(0)
             ? ConfirmedAt + Parameters.ConfirmationTerm
             : Time();
}

void QuietTracker::reset() {
  Targets.clear();
  OverUpto = Revision(0);
  SoleUpto = Revision(0);
}

void QuietTracker::follow(Revision record, std::vector<MemberSet> sets,
                          MemberSet members, Time knownAt) {
  Target target{record, std::move(sets), std::move(members), Ended, {}, {}};
  Targets.push_back(std::move(target));
  settle(Targets.back(), knownAt);
}

void QuietTracker::take(const RecordMember &from, Revision fence, bool isSole,
                        Time now) {
  for (Target &target : Targets) {
    if (target.Record > fence)
      break;
    target.Fenced.insert(from);
    if (isSole)
      target.Sole.insert(from);
    settle(target, now);
  }
}

void QuietTracker::takeEnded(const RecordMember &member, Time now) {
  if (!Ended.insert(member).second)
    return;
  for (Target &target : Targets) {
    target.Fenced.insert(member);
    settle(target, now);
  }
}

void QuietTracker::advance(Time now) {
  while (!Targets.empty() && Targets.front().QuietAt &&
         *Targets.front().QuietAt <= now) {
    OverUpto = std::max(OverUpto, Targets.front().Record);
    Targets.pop_front();
  }
}

bool QuietTracker::isOver(Revision record) const { return OverUpto >= record; }

bool QuietTracker::haveConfirmationsEnded(Time now) const {
  if (OverUpto > Revision(0))
    return true;
  return !Targets.empty() && Targets.front().QuietAt &&
         now + Parameters.covering(Parameters.GrantTerm) >=
             *Targets.front().QuietAt;
}

void QuietTracker::settle(Target &target, Time now) {
  if (hasMajority(target.Members, target.Sole))
    SoleUpto = std::max(SoleUpto, target.Record);
  const bool isFenced =
      std::ranges::all_of(target.Sets, [&](const MemberSet &set) {
        return hasMajority(set, target.Fenced);
      });
  if (!isFenced || target.QuietAt)
    return;
  // Confirmations end V after the fence, rights based on them G later.
  target.QuietAt = now + Parameters.covering(Parameters.ConfirmationTerm) +
                   Parameters.covering(Parameters.GrantTerm);
}

} // namespace waxwing
