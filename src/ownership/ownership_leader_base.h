/**
 * @file ownership_leader_base.h
 * The ownership state machine of one service in one controller. It leads when
 * the record names this process the leader; otherwise it acts as a witness and
 * may take over. It does no I/O, reads no clock and starts no threads.
 */
#ifndef WAXWING_OWNERSHIP_OWNERSHIP_LEADER_BASE_H
#define WAXWING_OWNERSHIP_OWNERSHIP_LEADER_BASE_H

#include "ownership/confirmation_base.h"
#include "ownership/failover_timer_base.h"
#include "ownership/grant_orders_base.h"
#include "ownership/ownership_record_cmd.h"
#include "ownership/unit_rights_table_base.h"

#include <random>
#include <span>

namespace waxwing {

/// Inputs of the assignment of units (shards and split keys) to upstreams.
struct PlanInputs {
  Revision Record;
  /// Upstreams that are not known to be lost; they keep their units.
  std::set<UpstreamId> NotLost;
  std::set<UpstreamId> NotLeaving; ///< of NotLost, those that are not leaving
  /// Of NotLeaving, those that respond; units may be moved to them.
  std::set<UpstreamId> Usable;
  /// Of Usable, those that have responded without interruption for so long that
  /// balancing may move shards to them.
  std::set<UpstreamId> StableUsable;
  std::map<KeyHash, double> Hot; ///< request rates of hot keys, per second
  bool operator==(const PlanInputs &) const = default;
};

/// Ownership state machine of one service; see docs/OWNERSHIP.md.
/// Invariants: a record is adopted only when it is known to be in the store;
/// Record->Rev never decreases; orders are sent only under a confirmed revision
/// and only for units that are clear in the UnitRightsTable.
class OwnershipLeader {
public:
  OwnershipLeader(ServiceId service, RecordMember self,
                  OwnershipParameters parameters, std::uint64_t seed);

  /// Processes one event.
  /// @param now time on this process's clock; never decreases between calls
  /// @return actions to carry out, in this order
  std::vector<OwnershipAction> handle(const OwnershipEvent &event, Time now);

  /// @return whether the newest known record names this process as the leader
  bool isLeader() const;
  /// @return whether this process leads and the record's revision is confirmed
  bool isConfirmed(Time now) const;
  /// @return whether this process leads and all grants of earlier leaders ended
  bool haveEarlierGrantsEnded(Time now) const;
  /// @return whether this process leads and the confirmations of all earlier
  ///   leaders have expired; upstreams may still hold grants by those leaders
  bool haveEarlierConfirmationsEnded(Time now) const;
  /// @return the newest known record; absent before the first read
  const std::optional<OwnershipRecord> &record() const { return Record; }

private:
  /// Role in which this process renews grants. A deputy is a witness that
  /// renews them when no messages arrive from the leader.
  enum class Role : std::uint8_t { None, Deputy, Leader };
  enum class StoreCall : std::uint8_t { None, Read, Write };

  void on(const Tick &, Time now);
  void on(const RecordRead &event, Time now);
  void on(const RecordWritten &event, Time now);
  void on(const RecordReceived &event, Time now);
  void on(const UpstreamAnswered &event, Time now);
  void on(const PeerMessageReceived &event, Time now);
  void on(const ServiceChanged &event, Time now);
  void on(const ControllersChanged &event, Time now);
  void on(const HotKeysReported &event, Time now);
  void onPeer(const RecordMember &from, const ConfirmRequest &request,
              Time now);
  void onPeer(const RecordMember &from, const ConfirmReply &reply, Time now);

  // Store calls.
  void startRecordRead(Time now);
  void startRecordWrite(std::span<const RecordCommand> commands, Time now);
  void clearPendingCall() { PendingCall = StoreCall::None; }
  void expireStoreCall(Time now);
  void delayNextStoreCall(Time now);
  void noteEpoch(StoreEpoch epoch, Time now);
  /// @return whether the record was written before the store was restored, so
  ///   that the store may hold an older one
  bool isRecordOfEarlierEpoch() const {
    return epochOf(Record->Rev.Value) < Epoch;
  }
  void adoptRecord(const OwnershipRecord &record, Time now);
  void adoptRecordAsLeader(const std::optional<OwnershipRecord> &before,
                           Time now);
  void trackEarlierGrants(Time now);

  // Not leading.
  void superviseLeader(Time now);
  bool mayTakeOver(Time now) const;
  bool isReachable(const RecordMember &member) const;
  bool reachesMostControllers() const;
  void takeLeadership(Time now);
  bool isMember() const;
  CandidateRank rank() const;
  void becomeDeputy(Time now);
  void stopRenewing();

  // Leading.
  void lead(Time now);
  void planRecordChange(Time now);
  void carryOverRecord(Time now);
  std::vector<RecordCommand> planMembers(Time now);
  std::vector<RecordCommand> planUnits(Time now);
  PlanInputs planInputs(Time now) const;
  std::vector<RecordCommand> planHandovers(const PlanInputs &inputs) const;
  bool canHandOverFast(Time now) const;
  void publishRecordIfDue(Time now);
  bool isTransferDone(Time now) const;

  // Renewing grants, as leader or deputy.
  void renew(Time now);
  bool isRenewalConfirmed(Time now) const;
  void beginRound(Time now);
  void clearEndedUnits(Time now);
  bool hasEnded(const UnitRights &rights, Time now) const;
  /// @return upstreams whose grants may have changed
  std::set<UpstreamId> updateGrants(Time now);

  ServiceId Service;
  RecordMember Self;
  OwnershipParameters Parameters;
  std::mt19937_64 Random;
  ServiceDefinition Definition;
  bool HasDefinition = false;
  std::vector<ControllerMember> Controllers; ///< live controllers of other VMs
  std::optional<OwnershipRecord> Record;

  Revision StoreRevision; ///< store revision of the value that holds Record
  bool IsStoreRevisionKnown = false;
  StoreEpoch Epoch = 0; ///< newest known epoch of the store; never decreases
  Time EpochSeenAt;     ///< when Epoch became known
  Time StoreAnsweredAt; ///< when the store last answered a call
  std::uint64_t NextOperation = 1;
  std::uint64_t PendingOperation = 0;
  StoreCall PendingCall = StoreCall::None;
  Time PendingSince;
  /// Record of the write in progress.
  std::optional<OwnershipRecord> PendingRecord;
  /// The write in progress begins a leadership, even if this process leads.
  bool IsPendingTakeover = false;
  /// Record of a write whose result is unknown, until the next read.
  std::optional<OwnershipRecord> UnconfirmedWrite;
  bool WantsLeadership = false; ///< take over after the read in progress
  Time NextStoreCall; ///< no read or write of the store begins before this time
  Time NewerSeenAt;   ///< when a peer first reported a newer revision

  Role Renewing = Role::None;
  Witness OwnWitness;
  ConfirmationRounds Rounds;
  EarlierGrantsTracker EarlierGrants;
  UnitRightsTable Rights;
  GrantOrders Orders;
  FailoverTimer Failover;
  Time NextRound;
  Revision LeadershipRevision; ///< first revision of this leadership
  Revision MembersRevision;    ///< first revision with the current members
  /// When each member last replied to a confirmation request.
  std::map<RecordMember, Time> MembersHeardAt;
  Time NextMemberChange;
  PlanInputs UnchangedInputs; ///< last inputs that led to no record change
  /// When planning last found no unit to hand over, split off or merge.
  Time NoHandoverAt;
  Revision Published;            ///< last published record revision
  std::optional<Time> PublishBy; ///< deadline of the next publication

  struct HotKey {
    double Rate = 0; ///< requests per second
    Time HotAt;      ///< when Rate was last at or above HotKeyRate
  };
  std::map<KeyHash, HotKey> HotKeys;
  std::vector<OwnershipAction> Actions;
};

} // namespace waxwing

#endif
