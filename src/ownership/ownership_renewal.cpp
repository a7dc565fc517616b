/**
 * @file ownership_renewal.cpp
 * Confirmation rounds, renewals and publication.
 */
#include "ownership/ownership_leader_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// A witness without answer for this many suspicions is replaced.
constexpr int MemberLossSuspicions = 2;

} // namespace

bool OwnershipLeader::isRenewalConfirmed(Time now) const {
  return Record && OwnWitness.fence() <= Record->Rev &&
         Rounds.isConfirmed(Record->Rev, now);
}

void OwnershipLeader::beginRound(Time now) {
  NextRound = now + Terms.Heartbeat;
  const ConfirmRequest request = Rounds.begin(Service, Record->Rev, now);
  std::set<VmId> asked{Self.Vm};
  const auto ask = [&](const MemberSet &set) {
    for (const RecordMember &member : set)
      if (asked.insert(member.Vm).second)
        Actions.emplace_back(SendPeer{member.Vm, request});
  };
  ask(Record->Members);
  if (Renewing == Role::Leader)
    std::ranges::for_each(Record->Former, ask);
  if (Terms.Policy == ConfirmationPolicy::StoreOnly)
    return;
  const ConfirmReply own = OwnWitness.answer(Self, request, now);
  Rounds.take(Self, own, Record->Members);
  HeardMembers[Self] = now;
  Quiet.take(Self, own.Fence, own.IsSole, now);
}

void OwnershipLeader::renew(Time now) {
  if (now >= NextRound)
    beginRound(now);
  const Revision record = Record->Rev;
  // The store is asked only when the members do not answer.
  if (Renewing == Role::Leader && now >= NextStoreCall &&
      Rounds.confirmedUntil(record) < now + Terms.ConfirmationTerm / 2)
    readRecord(now);
  updateGrants(now);
  Orders.sendDue(record, isRenewalConfirmed(now), now, Actions);
}

void OwnershipLeader::clearEnded(Time now) {
  if (Renewing != Role::Leader)
    return;
  Quiet.advance(now);
  const bool isSettled = Record->Former.empty();
  Ledger.clear([&](const UnitRights &rights) {
    if (Terms.Faults.SkipsTakeoverWait && !rights.From)
      return true;
    if (Quiet.isOver(std::max(LedSince, Revision(rights.Fence.Value))))
      return true;
    if (!rights.From || !isSettled ||
        !Quiet.isSole(Revision(rights.Fence.Value)))
      return false;
    const UpstreamOrders *from = Orders.find(*rights.From);
    const bool isReleased = from != nullptr && from->Definition.ChecksOrders &&
                            from->HeldRecord >= Revision(rights.Fence.Value);
    return isReleased || now >= rights.FromEnd;
  });
}

void OwnershipLeader::updateGrants(Time now) {
  for (const UpstreamId &id : Ledger.takeTouched())
    Orders.grant(id, Ledger.grantsOf(id), now);
}

void OwnershipLeader::publishDue(Time now) {
  if (!PublishBy || Record->Rev <= Published)
    return PublishBy.reset();
  if (now < *PublishBy && !isTransferDone(now))
    return;
  Published = Record->Rev;
  PublishBy.reset();
  Actions.emplace_back(PublishRecord{*Record});
}

bool OwnershipLeader::isTransferDone(Time now) const {
  return Ledger.waiting().empty() && Orders.isSettled(now);
}

std::vector<RecordCommand> OwnershipLeader::planMembers(Time now) {
  std::vector<RecordCommand> commands;
  if (now < NextMemberChange)
    return commands;
  const auto isSilent = [&](const RecordMember &member) {
    const auto heard = HeardMembers.find(member);
    return heard == HeardMembers.end() ||
           now > heard->second + MemberLossSuspicions * Terms.Suspicion;
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
  NextMemberChange = now + 4 * Terms.Suspicion;
  commands.emplace_back(TakeLeadership{std::move(wanted)});
  return commands;
}

} // namespace waxwing
