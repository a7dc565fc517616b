/**
 * @file ownership_renewal.cpp
 * Confirmation rounds, grant renewals, publication and member changes.
 */
#include "ownership/ownership_leader_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// A witness that has not replied to confirmation requests for this many
/// suspicion times is replaced.
constexpr int WitnessLossSuspicionTimes = 2;

} // namespace

bool OwnershipLeader::isRenewalConfirmed(Time now) const {
  return Record && OwnWitness.fence() <= Record->Rev &&
         Rounds.isConfirmed(Record->Rev, now);
}

void OwnershipLeader::beginRound(Time now) {
  NextRound = now + Parameters.renewalPeriod();
  const ConfirmRequest request = Rounds.begin(Service, Record->Rev, now);
  std::set<VmId> asked{Self.Vm};
  const auto ask = [&](const MemberSet &set) {
    for (const RecordMember &member : set)
      if (asked.insert(member.Vm).second)
        Actions.emplace_back(SendPeerMessage{member.Vm, request});
  };
  ask(Record->Members);
  if (Renewing == Role::Leader)
    std::ranges::for_each(Record->FormerMemberSets, ask);
  if (Parameters.Policy != ConfirmationPolicy::WitnessMajority)
    return;
  const ConfirmReply own = OwnWitness.answer(Self, request, now);
  Rounds.addReply(Self, own, Record->Members);
  MembersHeardAt[Self] = now;
  EarlierGrants.addFence(Self, own.Fence, own.IsOnlyRenewer, now);
}

void OwnershipLeader::renew(Time now) {
  if (now >= NextRound)
    beginRound(now);
  const Revision record = Record->Rev;
  // Confirms the revision by a read of the store, but only when no majority of
  // the members confirmed it in time.
  if (Renewing == Role::Leader && now >= NextStoreCall &&
      Rounds.isNewestRoundOverdue(now))
    startRecordRead(now);
  updateGrants(now);
  Orders.sendIfDue(record, isRenewalConfirmed(now), now, Actions);
}

void OwnershipLeader::clearEndedUnits(Time now) {
  if (Renewing != Role::Leader)
    return;
  EarlierGrants.advance(now);
  Rights.clearUnitsIf(
      [&](const UnitRights &rights) { return hasEnded(rights, now); });
}

bool OwnershipLeader::hasEnded(const UnitRights &rights, Time now) const {
  const Revision moved(rights.Fence.Value);
  if (Parameters.Faults.SkipsTakeoverWait && !rights.From)
    return true;
  if (EarlierGrants.haveGrantsEnded(std::max(LeadershipRevision, moved)))
    return true;
  if (!EarlierGrants.isOnlyRenewer(moved))
    return false;
  // Only this process can have sent grants since MembersRevision.
  if (!rights.From)
    return EarlierGrants.haveGrantsEnded(MembersRevision);
  if (!Record->FormerMemberSets.empty())
    return false;
  const UpstreamOrders *from = Orders.find(*rights.From);
  const bool isReleased = from != nullptr && from->Definition.ChecksOrders &&
                          from->HeldRecord >= moved;
  return isReleased || now >= rights.FromEnd;
}

std::set<UpstreamId> OwnershipLeader::updateGrants(Time now) {
  std::set<UpstreamId> touched = Rights.takeChangedUpstreams();
  for (const UpstreamId &id : touched)
    Orders.grant(id, Rights.grantsOf(id), now);
  return touched;
}

void OwnershipLeader::publishRecordIfDue(Time now) {
  if (!PublishBy || Record->Rev <= Published)
    return PublishBy.reset();
  if (now < *PublishBy && !isTransferDone(now))
    return;
  Published = Record->Rev;
  PublishBy.reset();
  Actions.emplace_back(PublishRecord{*Record});
}

bool OwnershipLeader::isTransferDone(Time now) const {
  return Rights.unclearUnits().empty() && Orders.isAllAcknowledged(now);
}

std::vector<RecordCommand> OwnershipLeader::planMembers(Time now) {
  std::vector<RecordCommand> commands;
  if (now < NextMemberChange)
    return commands;
  const auto isSilent = [&](const RecordMember &member) {
    const auto heard = MembersHeardAt.find(member);
    return heard == MembersHeardAt.end() ||
           now >
               heard->second + WitnessLossSuspicionTimes * Parameters.Suspicion;
  };
  std::vector<ControllerMember> usable = Controllers;
  for (ControllerMember &it : usable)
    it.IsSuspected |= std::ranges::find(Record->Members, it.Member) !=
                          Record->Members.end() &&
                      isSilent(it.Member);
  MemberSet wanted = chooseMembers(Self, Service, Record->Members, usable);
  const bool hasLoss = std::ranges::any_of(Record->Members, isSilent);
  const bool isGrowing = wanted.size() > Record->Members.size();
  if ((!hasLoss && !isGrowing) || wanted.size() < Record->Members.size())
    return commands;
  if (wanted == Record->Members)
    return commands;
  commands.emplace_back(TakeLeadership{std::move(wanted)});
  return commands;
}

} // namespace waxwing
