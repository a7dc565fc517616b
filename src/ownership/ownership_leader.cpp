/**
 * @file ownership_leader.cpp
 * Event handlers, store calls and role changes of the ownership state machine.
 */
#include "ownership/ownership_leader_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// A read or write of the store without a result after this time counts as
/// failed.
constexpr Duration StoreCallTimeout = seconds(2);
/// After a peer reports a newer revision, a controller waits this many
/// heartbeats for its publication before it reads the store.
constexpr int PublicationWaitHeartbeats = 3;

} // namespace

OwnershipLeader::OwnershipLeader(ServiceId service, RecordMember self,
                                 OwnershipParameters parameters,
                                 std::uint64_t seed)
    : Service(std::move(service)), Self(std::move(self)),
      Parameters(parameters), Random(seed), OwnWitness(Parameters),
      Rounds(Parameters, Random()), EarlierGrants(Parameters),
      Orders(Service, Parameters), Failover(Parameters) {}

std::vector<OwnershipAction>
OwnershipLeader::handle(const OwnershipEvent &event, Time now) {
  std::visit([&](const auto &it) { on(it, now); }, event);
  return std::exchange(Actions, {});
}

bool OwnershipLeader::isLeader() const {
  return Record && !Record->Members.empty() && Record->Members[0] == Self;
}

bool OwnershipLeader::isConfirmed(Time now) const {
  return isLeader() && OwnWitness.fence() <= Record->Rev &&
         Rounds.isConfirmed(Record->Rev, now);
}

bool OwnershipLeader::haveEarlierGrantsEnded(Time) const {
  return isLeader() && Record->FormerMemberSets.empty();
}

bool OwnershipLeader::haveEarlierConfirmationsEnded(Time now) const {
  return haveEarlierGrantsEnded(now) ||
         (isLeader() && EarlierGrants.haveConfirmationsEnded(now));
}

bool OwnershipLeader::isMember() const {
  return Record &&
         std::ranges::find(Record->Members, Self) != Record->Members.end();
}

CandidateRank OwnershipLeader::rank() const {
  return rankOf(Self, Service, Record->Members, Controllers);
}

void OwnershipLeader::on(const Tick &, Time now) {
  expireStoreCall(now);
  if (!Record) {
    if (now >= NextStoreCall)
      startRecordRead(now);
    return;
  }
  if (isLeader())
    lead(now);
  else
    superviseLeader(now);
}

void OwnershipLeader::on(const ServiceChanged &event, Time now) {
  Definition = event.Definition;
  HasDefinition = true;
  Orders.define(Definition.Upstreams, now);
  if (Record)
    Orders.addOwners(*Record, now);
}

void OwnershipLeader::on(const ControllersChanged &event, Time) {
  Controllers = event.Members;
  std::erase_if(Controllers, [&](const ControllerMember &it) {
    return it.Member.Vm == Self.Vm;
  });
}

void OwnershipLeader::on(const UpstreamAnswered &event, Time now) {
  if (Renewing == Role::None)
    return;
  const GrantAnswer &answer = event.Answer;
  if (const GrantSet *reported = Orders.processAnswer(answer, now))
    Rights.clearReportedUnits(answer.From, *reported);
  // The upstream holds a grant of a newer leader: this record is out of date.
  if (answer.Held.Record > Record->Rev && now >= NextStoreCall)
    startRecordRead(now);
  clearEndedUnits(now);
  std::set<UpstreamId> due = updateGrants(now);
  due.insert(answer.From);
  for (const UpstreamId &id : due)
    Orders.sendIfDue(id, Record->Rev, isRenewalConfirmed(now), now, Actions);
  publishRecordIfDue(now);
}

void OwnershipLeader::on(const PeerMessageReceived &event, Time now) {
  std::visit([&](const auto &it) { onPeer(event.From, it, now); },
             event.Message);
}

void OwnershipLeader::onPeer(const RecordMember &from,
                             const ConfirmRequest &request, Time now) {
  Actions.emplace_back(
      SendPeerMessage{from.Vm, OwnWitness.answer(from, request, now)});
  if (!Record || request.Record < Record->Rev)
    return;
  const auto member = std::ranges::find(Record->Members, from);
  if (request.Record > Record->Rev || member == Record->Members.begin()) {
    Failover.recordLeaderMessage(now);
    if (Renewing == Role::Deputy)
      stopRenewing();
  } else if (member != Record->Members.end() && isMember() &&
             member < std::ranges::find(Record->Members, Self)) {
    Failover.recordRenewer(now);
    if (Renewing == Role::Deputy)
      stopRenewing();
  }
}

void OwnershipLeader::onPeer(const RecordMember &from,
                             const ConfirmReply &reply, Time now) {
  if (!Record || Renewing == Role::None || !Rounds.isOwnRound(reply))
    return;
  OwnWitness.raiseFence(reply.Fence);
  if (Parameters.Policy == ConfirmationPolicy::WitnessMajority)
    Rounds.addReply(from, reply, Record->Members);
  MembersHeardAt[from] = now;
  EarlierGrants.addFence(from, reply.Fence, reply.IsOnlyRenewer, now);
  // Only one controller process runs on a VM at a time. The sender of this
  // reply was running after the request, so that any other process of its VM
  // that the record names has ended.
  const auto addEndedProcesses = [&](const MemberSet &set) {
    for (const RecordMember &member : set)
      if (member.Vm == from.Vm && member != from)
        EarlierGrants.addEndedMember(member, now);
  };
  if (reply.Record == Record->Rev) {
    addEndedProcesses(Record->Members);
    std::ranges::for_each(Record->FormerMemberSets, addEndedProcesses);
  }
  if (OwnWitness.fence() > Record->Rev && now >= NextStoreCall)
    startRecordRead(now);
  if (Renewing != Role::None) {
    clearEndedUnits(now);
    renew(now);
  }
}

void OwnershipLeader::startRecordRead(Time now) {
  if (PendingCall != StoreCall::None)
    return;
  PendingOperation = NextOperation++;
  PendingCall = StoreCall::Read;
  PendingSince = now;
  Actions.emplace_back(ReadRecord{PendingOperation});
}

void OwnershipLeader::startRecordWrite(std::span<const RecordCommand> commands,
                                       Time now) {
  if (PendingCall != StoreCall::None || !IsStoreRevisionKnown)
    return;
  auto next = makeChange(*Record, commands, ChangeId(Random()), Epoch);
  if (!next.ok())
    return;
  if (Parameters.Faults.KeepsToken)
    for (std::size_t n = 0; n < Record->Shards.size(); ++n)
      next->Shards[n].Fence =
          std::max(FencingToken(1), Record->Shards[n].Fence);
  PendingOperation = NextOperation++;
  PendingCall = StoreCall::Write;
  PendingSince = now;
  PendingRecord = *next;
  IsPendingTakeover = false;
  Actions.emplace_back(
      WriteRecord{PendingOperation, StoreRevision, *std::move(next)});
}

void OwnershipLeader::expireStoreCall(Time now) {
  if (PendingCall == StoreCall::None || now < PendingSince + StoreCallTimeout)
    return;
  if (PendingCall == StoreCall::Read)
    on(RecordRead{PendingOperation}, now);
  else
    on(RecordWritten{PendingOperation}, now);
}

void OwnershipLeader::delayNextStoreCall(Time now) {
  NextStoreCall = now + Parameters.Heartbeat;
}

void OwnershipLeader::noteEpoch(StoreEpoch epoch, Time now) {
  if (epoch <= Epoch || Parameters.Faults.IgnoresRestorations)
    return;
  Epoch = epoch;
  EpochSeenAt = now;
  if (isLeader())
    Failover.restart(now);
}

void OwnershipLeader::on(const RecordRead &event, Time now) {
  if (PendingCall != StoreCall::Read || PendingOperation != event.Operation)
    return;
  clearPendingCall();
  const bool wantsLeadership = std::exchange(WantsLeadership, false);
  if (!event.IsAnswered || event.Epoch < Epoch)
    return delayNextStoreCall(now);
  noteEpoch(event.Epoch, now);
  StoreAnsweredAt = now;
  StoreRevision = event.StoreRevision;
  IsStoreRevisionKnown = true;
  const OwnershipRecord read =
      event.Record.value_or(OwnershipRecord{.Service = Service});
  if (UnconfirmedWrite && Parameters.Faults.RewritesBlindly) {
    // Deliberate fault for tests: overwrites whatever the store holds now.
    PendingOperation = NextOperation++;
    PendingCall = StoreCall::Write;
    PendingSince = now;
    PendingRecord = *std::exchange(UnconfirmedWrite, std::nullopt);
    Actions.emplace_back(
        WriteRecord{PendingOperation, StoreRevision, *PendingRecord});
    return;
  }
  UnconfirmedWrite.reset();
  // A read of the store confirms the revision for a leader only. Witnesses
  // would not know of a deputy confirmed in this way, and could not report that
  // it renews grants. A record of an earlier epoch may come from a copy that
  // lacks newer ones.
  if (isLeader() && epochOf(read.Rev.Value) == Epoch)
    Rounds.confirm(read.Rev, PendingSince);
  if (!Record || read.Rev > Record->Rev)
    adoptRecord(read, now);
  else if (wantsLeadership && Failover.isTakeoverDue(rank(), now))
    takeLeadership(now);
  if (isLeader()) {
    renew(now);
    planRecordChange(now);
  }
}

void OwnershipLeader::on(const RecordWritten &event, Time now) {
  if (PendingCall != StoreCall::Write || PendingOperation != event.Operation)
    return;
  clearPendingCall();
  const bool isTakeover = std::exchange(IsPendingTakeover, false);
  // The store was restored before this write took effect, or since.
  const bool isOtherEpoch =
      event.Outcome == WriteOutcome::Applied &&
      !Parameters.Faults.IgnoresRestorations &&
      epochOf(event.StoreRevision.Value) != epochOf(PendingRecord->Rev.Value);
  const WriteOutcome outcome =
      isOtherEpoch ? WriteOutcome::Unknown : event.Outcome;
  if (outcome != WriteOutcome::Applied) {
    // Only a read shows what the store holds now.
    if (outcome == WriteOutcome::Unknown)
      UnconfirmedWrite = PendingRecord;
    IsStoreRevisionKnown = false;
    if (outcome == WriteOutcome::Conflict)
      startRecordRead(now);
    else
      delayNextStoreCall(now);
    return;
  }
  StoreAnsweredAt = now;
  StoreRevision = event.StoreRevision;
  Rounds.confirm(PendingRecord->Rev, PendingSince);
  if (PendingRecord->Rev > Record->Rev || Parameters.Faults.RewritesBlindly) {
    if (isTakeover && Renewing == Role::Leader)
      stopRenewing();
    adoptRecord(*PendingRecord, now);
  }
  if (isLeader())
    lead(now);
}

void OwnershipLeader::on(const RecordReceived &event, Time now) {
  if (!Record || event.Record.Rev <= Record->Rev)
    return;
  IsStoreRevisionKnown = false;
  noteEpoch(epochOf(event.Record.Rev.Value), now);
  adoptRecord(event.Record, now);
}

void OwnershipLeader::adoptRecord(const OwnershipRecord &record, Time now) {
  const std::optional<OwnershipRecord> before =
      std::exchange(Record, std::optional(record));
  OwnWitness.raiseFence(Record->Rev);
  Failover.restart(now);
  if (isLeader())
    return adoptRecordAsLeader(before, now);
  stopRenewing();
  // The leader publishes its records. There may be no leader when this process
  // has just started, so it also publishes the first record that it reads.
  if (!before && Record->Rev != Revision(0))
    PublishBy = now;
  publishRecordIfDue(now);
}

void OwnershipLeader::adoptRecordAsLeader(
    const std::optional<OwnershipRecord> &before, Time now) {
  const bool isNew = Renewing != Role::Leader;
  if (isNew || before->Members != Record->Members)
    MembersRevision = Record->Rev;
  if (isNew) {
    const Role earlier = std::exchange(Renewing, Role::Leader);
    LeadershipRevision = Record->Rev;
    EarlierGrants.reset();
    Rights.begin(*Record);
    Orders.begin(*Record, 0, earlier == Role::None, now);
    MembersHeardAt.clear();
    for (const RecordMember &member : Record->Members)
      MembersHeardAt[member] = now;
    NextRound = now;
    // There were no grants before the first record.
    if (Record->Rev == Revision(1))
      Rights.clearUnitsIf([](const UnitRights &) { return true; });
  } else {
    Rights.applyChange(
        *Record, [&](const UpstreamId &id) { return Orders.rightsEnd(id); });
    Orders.addOwners(*Record, now);
    for (const UpstreamId &id : Rights.releasingUpstreams())
      Orders.requireRevision(id, Record->Rev, now);
  }
  trackEarlierGrants(now);
  beginRound(now);
  if (!PublishBy)
    PublishBy = now + Parameters.Heartbeat;
}

void OwnershipLeader::trackEarlierGrants(Time now) {
  std::vector<MemberSet> sets = Record->FormerMemberSets;
  if (Parameters.Faults.ForgetsFormerMemberSets && sets.size() > 1)
    sets.erase(sets.begin(), sets.end() - 1);
  // If this is the first revision with the current members, only former members
  // can have confirmed lower revisions.
  if (Record->Rev != MembersRevision)
    sets.push_back(Record->Members);
  if (Parameters.Policy != ConfirmationPolicy::WitnessMajority)
    sets.clear();
  for (const MemberSet &set : sets)
    for (const RecordMember &member : set)
      if (member.Vm == Self.Vm && member != Self)
        EarlierGrants.addEndedMember(member, now);
  EarlierGrants.trackRevision(Record->Rev, std::move(sets), Record->Members,
                              now);
  EarlierGrants.addFence(Self, OwnWitness.fence(), true, now);
}

void OwnershipLeader::superviseLeader(Time now) {
  if (!HasDefinition || (Record->Rev == Revision(0) && !IsStoreRevisionKnown)) {
    if (now >= NextStoreCall && !IsStoreRevisionKnown)
      startRecordRead(now);
    return;
  }
  if (OwnWitness.fence() > Record->Rev) {
    if (NewerSeenAt <=
        now - Parameters.Heartbeat * (2 * PublicationWaitHeartbeats))
      NewerSeenAt = now;
    if (now >= NewerSeenAt + Parameters.Heartbeat * PublicationWaitHeartbeats &&
        now >= NextStoreCall) {
      startRecordRead(now);
      delayNextStoreCall(now);
    }
  }
  if (Renewing == Role::None && isMember() &&
      Parameters.Policy != ConfirmationPolicy::StoreOnly &&
      Failover.isRenewalDue(rank(), now))
    becomeDeputy(now);
  // Members supervise the leader; other controllers act only when no member is
  // reachable.
  if (!rank().IsMember && std::ranges::any_of(Record->Members, [&](auto &it) {
        return isReachable(it);
      }))
    Failover.recordLeaderMessage(now);
  if (Failover.isTakeoverDue(rank(), now) && mayTakeOver(now) &&
      now >= NextStoreCall && PendingCall == StoreCall::None) {
    WantsLeadership = true;
    startRecordRead(now);
  }
  if (Renewing == Role::Deputy)
    renew(now);
}

bool OwnershipLeader::isReachable(const RecordMember &member) const {
  return std::ranges::any_of(Controllers, [&](const ControllerMember &it) {
    return it.Member == member && !it.IsSuspected;
  });
}

bool OwnershipLeader::reachesMostControllers() const {
  const auto reached =
      std::ranges::count(Controllers, false, &ControllerMember::IsSuspected);
  return 2 * (static_cast<std::size_t>(reached) + 1) > Controllers.size() + 1;
}

bool OwnershipLeader::mayTakeOver(Time now) const {
  if (Parameters.Policy != ConfirmationPolicy::WitnessMajority ||
      Record->Members.empty())
    return true;
  // A member that is confirmed by a majority can continue in the leader's
  // place.
  if (isMember())
    return Rounds.isConfirmed(Record->Rev, now) ||
           Failover.isLeaderLongSilent(now);
  return rank().IsMember || reachesMostControllers();
}

void OwnershipLeader::takeLeadership(Time now) {
  Failover.recordTakeoverAttempt(now);
  std::vector<RecordCommand> commands{TakeLeadership{
      chooseMembers(Self, Service, Record->Members, Controllers)}};
  // Other processes may have moved units in revisions that the store has lost.
  // With new tokens no unit is granted before all earlier grants have ended.
  if (isRecordOfEarlierEpoch())
    commands.emplace_back(RenewTokens{});
  if (Record->Shards.empty() && Definition.ShardCount != 0)
    commands.emplace_back(CreateShards{Definition.ShardCount});
  startRecordWrite(commands, now);
  IsPendingTakeover = true;
}

void OwnershipLeader::becomeDeputy(Time now) {
  Renewing = Role::Deputy;
  Rights.begin(*Record);
  Orders.begin(*Record, rank().Position, true, now);
  NextRound = now;
}

void OwnershipLeader::stopRenewing() {
  Renewing = Role::None;
  PublishBy.reset();
}

} // namespace waxwing
