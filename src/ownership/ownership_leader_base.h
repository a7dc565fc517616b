/**
 * @file ownership_leader_base.h
 * The ownership state machine of one service in one controller: leads when
 * the record names it, witnesses and stands by otherwise. No I/O, no clock,
 * no threads.
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

/// What the assignment depends on.
struct PlanInputs {
  Revision Record;
  std::set<UpstreamId> Retaining;    ///< answer, or had no time to answer
  std::set<UpstreamId> NotLeaving;   ///< those that are not leaving
  std::set<UpstreamId> Usable;       ///< those that answer and may take units
  std::set<UpstreamId> StableUsable; ///< those that have done so for some time
  std::map<KeyHash, double> Hot;
  bool operator==(const PlanInputs &) const = default;
};

/// See docs/OWNERSHIP.md.
/// Invariants: a record is taken over only when it is known to be written;
/// Record->Rev never decreases; orders are sent only under a confirmed
/// revision and only for units that the ledger holds clear.
class OwnershipLeader {
public:
  OwnershipLeader(ServiceId service, RecordMember self,
                  OwnershipParameters terms, std::uint64_t seed);

  /// Takes one event.
  /// @param now this process's clock, never before an earlier now
  /// @return what to do, in this order
  std::vector<OwnershipAction> handle(const OwnershipEvent &event, Time now);

  /// @return whether the newest known record names this process its leader
  bool isLeader() const;
  /// @return whether this process leads and may act on the record now
  bool isConfirmed(Time now) const;
  /// @return whether all rights given by earlier leaders have ended
  bool haveEarlierGrantsEnded(Time now) const;
  /// @return whether no earlier leader is confirmed any more; upstreams may
  ///   still hold what it granted
  bool haveEarlierConfirmationsEnded(Time now) const;
  /// @return the newest record known, absent before the first read
  const std::optional<OwnershipRecord> &record() const { return Record; }

private:
  /// Who this process renews grants as.
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

  // Store.
  void readRecord(Time now);
  void writeRecord(std::span<const RecordCommand> commands, Time now);
  void endStoreCall() { PendingCall = StoreCall::None; }
  void expireStoreCall(Time now);
  void retryLater(Time now);
  void adopt(const OwnershipRecord &record, Time now);
  void adoptAsLeader(const std::optional<OwnershipRecord> &before, Time now);
  void trackEarlierGrants(Time now);

  // Standing by.
  void standBy(Time now);
  bool mayTakeOver(Time now) const;
  bool isReachable(const RecordMember &member) const;
  bool reachesMostControllers() const;
  void takeLeadership(Time now);
  bool isNamed() const;
  CandidateRank rank() const;
  void becomeDeputy(Time now);
  void stopRenewing();

  // Leading.
  void lead(Time now);
  void planChange(Time now);
  std::vector<RecordCommand> planMembers(Time now);
  std::vector<RecordCommand> planUnits(Time now);
  PlanInputs planInputs(Time now) const;
  std::vector<RecordCommand> planHandovers(const PlanInputs &inputs) const;
  bool canHandOverFast(Time now) const;
  void publishDue(Time now);
  bool isTransferDone(Time now) const;

  // Renewing, as leader or deputy.
  void renew(Time now);
  bool isRenewalConfirmed(Time now) const;
  void beginRound(Time now);
  void clearEnded(Time now);
  bool hasEnded(const UnitRights &rights, Time now) const;
  /// @return upstreams whose grants may have changed
  std::set<UpstreamId> updateGrants(Time now);

  ServiceId Service;
  RecordMember Self;
  OwnershipParameters Parameters;
  std::mt19937_64 Random;
  ServiceDefinition Definition;
  bool HasDefinition = false;
  std::vector<ControllerMember> Controllers; ///< without this one
  std::optional<OwnershipRecord> Record;

  Revision StoreRevision; ///< of the store's value that holds Record
  bool IsStoreRevisionKnown = false;
  std::uint64_t NextOperation = 1;
  std::uint64_t PendingOperation = 0;
  StoreCall PendingCall = StoreCall::None;
  Time PendingSince;
  std::optional<OwnershipRecord> PendingRecord;    ///< of a write in flight
  std::optional<OwnershipRecord> UnconfirmedWrite; ///< its answer was lost
  bool WantsLeadership = false; ///< the read in flight precedes a takeover
  Time NextStoreCall;
  Time NewerSeenAt; ///< when a peer first told of a newer revision

  Role Renewing = Role::None;
  Witness OwnWitness;
  ConfirmationRounds Rounds;
  EarlierGrantsTracker EarlierGrants;
  UnitRightsTable Rights;
  GrantOrders Orders;
  FailoverTimer Failover;
  Time NextRound;
  Revision LeadershipRevision; ///< revision that began this leadership
  Revision MembersRevision;    ///< revision that named the present members
  std::map<RecordMember, Time> MembersHeardAt;
  Time NextMemberChange;
  PlanInputs UnchangedInputs; ///< inputs that led to no change
  Time HandoverPendingSince;  ///< a handover waits for a fast way since then
  Revision Published;
  std::optional<Time> PublishBy;

  struct HotKey {
    double Rate = 0;
    Time HotAt; ///< when its rate was last high
  };
  std::map<KeyHash, HotKey> HotKeys;
  std::vector<OwnershipAction> Actions;
};

} // namespace waxwing

#endif
