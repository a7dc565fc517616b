/**
 * @file confirmation.cpp
 * Witnesses, confirmation rounds and the end of earlier grants.
 */
#include "ownership/confirmation_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Number of recent rounds whose replies still count.
constexpr std::size_t MaxRounds = 4;

} // namespace

bool hasMajority(const MemberSet &members,
                 const std::set<RecordMember> &answered) {
  const auto n = std::ranges::count_if(
      members, [&](const RecordMember &it) { return answered.contains(it); });
  return 2 * static_cast<std::size_t>(n) > members.size();
}

ConfirmReply Witness::answer(const RecordMember &from,
                             const ConfirmRequest &request, Time now) {
  raiseFence(request.Record);
  std::erase_if(RightsEnd,
                [&](const auto &entry) { return entry.second <= now; });
  const bool isProbe = request.Record == Revision(0);
  ConfirmReply reply{request.Service,
                     request.Record,
                     request.Round,
                     !isProbe && request.Record >= Fence,
                     std::max(Fence, request.Record),
                     isOnlyRenewer(from, now)};
  if (reply.Confirmed)
    RightsEnd[from] =
        now + Parameters.withMaxDrift(Parameters.ConfirmationTerm +
                                      Parameters.GrantTerm);
  return reply;
}

bool Witness::isOnlyRenewer(const RecordMember &asker, Time now) const {
  return std::ranges::none_of(RightsEnd, [&](const auto &entry) {
    return entry.first != asker && now < entry.second;
  });
}

ConfirmRequest ConfirmationRounds::begin(const ServiceId &service,
                                         Revision record, Time now) {
  Rounds.push_back({NextRound++, record, now, {}, {}, false});
  if (Rounds.size() > MaxRounds)
    Rounds.pop_front();
  return {service, record, Rounds.back().RoundNumber};
}

bool ConfirmationRounds::isOwnRound(const ConfirmReply &reply) const {
  return std::ranges::any_of(Rounds, [&](const Round &it) {
    return it.RoundNumber == reply.Round && it.Record == reply.Record;
  });
}

void ConfirmationRounds::addReply(const RecordMember &from,
                                  const ConfirmReply &reply,
                                  const MemberSet &members) {
  const auto round =
      std::ranges::find(Rounds, reply.Round, &Round::RoundNumber);
  if (round == Rounds.end() || round->Record != reply.Record ||
      !reply.Confirmed)
    return;
  round->Confirmed.insert(from);
  if (reply.IsOnlyRenewer)
    round->SawNoOtherRenewer.insert(from);
  if (!hasMajority(members, round->Confirmed))
    return;
  round->HasMajority = true;
  confirm(round->Record, round->StartedAt);
  IsOnlyRenewer = hasMajority(members, round->SawNoOtherRenewer);
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

bool ConfirmationRounds::isNewestRoundOverdue(Time now) const {
  return !Rounds.empty() && !Rounds.back().HasMajority &&
         now >= Rounds.back().StartedAt + Parameters.Heartbeat / 3;
}

Time ConfirmationRounds::confirmedUntil(Revision record) const {
  return record == Confirmed && record != Revision(0)
             ? ConfirmedAt + Parameters.ConfirmationTerm
             : Time();
}

void EarlierGrantsTracker::reset() {
  TrackedRevisions.clear();
  EndedUpTo = Revision(0);
  OnlyRenewerUpTo = Revision(0);
}

void EarlierGrantsTracker::trackRevision(Revision record,
                                         std::vector<MemberSet> sets,
                                         MemberSet members, Time knownAt) {
  TrackedRevision target{record, std::move(sets), std::move(members), Ended, {},
                         {}};
  TrackedRevisions.push_back(std::move(target));
  updateState(TrackedRevisions.back(), knownAt);
}

void EarlierGrantsTracker::addFence(const RecordMember &from, Revision fence,
                                    bool isOnlyRenewer, Time now) {
  for (TrackedRevision &target : TrackedRevisions) {
    if (target.Record > fence)
      break;
    target.Fenced.insert(from);
    if (isOnlyRenewer)
      target.SawNoOtherRenewer.insert(from);
    updateState(target, now);
  }
}

void EarlierGrantsTracker::addEndedMember(const RecordMember &member,
                                          Time now) {
  if (!Ended.insert(member).second)
    return;
  for (TrackedRevision &target : TrackedRevisions) {
    target.Fenced.insert(member);
    updateState(target, now);
  }
}

void EarlierGrantsTracker::advance(Time now) {
  while (!TrackedRevisions.empty() && TrackedRevisions.front().EndAt &&
         *TrackedRevisions.front().EndAt <= now) {
    EndedUpTo = std::max(EndedUpTo, TrackedRevisions.front().Record);
    TrackedRevisions.pop_front();
  }
}

bool EarlierGrantsTracker::haveGrantsEnded(Revision record) const {
  return EndedUpTo >= record;
}

bool EarlierGrantsTracker::haveConfirmationsEnded(Time now) const {
  if (EndedUpTo > Revision(0))
    return true;
  return !TrackedRevisions.empty() && TrackedRevisions.front().EndAt &&
         now + Parameters.withMaxDrift(Parameters.GrantTerm) >=
             *TrackedRevisions.front().EndAt;
}

void EarlierGrantsTracker::updateState(TrackedRevision &target, Time now) {
  if (hasMajority(target.Members, target.SawNoOtherRenewer))
    OnlyRenewerUpTo = std::max(OnlyRenewerUpTo, target.Record);
  const bool isFenced =
      std::ranges::all_of(target.Sets, [&](const MemberSet &set) {
        return hasMajority(set, target.Fenced);
      });
  if (!isFenced || target.EndAt)
    return;
  // The last confirmation expires one confirmation term after the fence; grants
  // based on it end one grant term later.
  target.EndAt = now + Parameters.withMaxDrift(Parameters.ConfirmationTerm) +
                 Parameters.withMaxDrift(Parameters.GrantTerm);
}

} // namespace waxwing
