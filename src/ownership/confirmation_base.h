/**
 * @file confirmation_base.h
 * Confirms that a record revision is still the newest, so that grants may be
 * renewed under it, and tracks when all grants under older revisions have
 * ended.
 */
#ifndef WAXWING_OWNERSHIP_CONFIRMATION_BASE_H
#define WAXWING_OWNERSHIP_CONFIRMATION_BASE_H

#include "ownership/ownership_leader_type.h"

#include <deque>
#include <set>

namespace waxwing {

/// @return whether more than half of @p members are in @p answered
bool hasMajority(const MemberSet &members,
                 const std::set<RecordMember> &answered);

/// Answers the confirmation requests of leaders and deputies. The state need
/// not survive a restart: a restarted controller is a different member, and its
/// confirmations do not count for records that name the old process.
class Witness {
public:
  explicit Witness(const OwnershipParameters &parameters)
      : Parameters(parameters) {}

  /// Stops confirming revisions below @p record.
  void raiseFence(Revision record) {
    if (!Parameters.Faults.IgnoresFence)
      Fence = std::max(Fence, record);
  }
  Revision fence() const { return Fence; }

  /// Answers a request of a member that wants to renew grants under a revision.
  ConfirmReply answer(const RecordMember &from, const ConfirmRequest &request,
                      Time now);

private:
  bool isOnlyRenewer(const RecordMember &asker, Time now) const;

  OwnershipParameters Parameters;
  Revision Fence; ///< lower revisions are not confirmed; never decreases
  /// For each member that this witness confirmed: when the last grant ends that
  /// the member may have renewed because of it.
  std::map<RecordMember, Time> RightsEnd;
};

/// Sends confirmation requests in numbered rounds and counts the replies.
class ConfirmationRounds {
public:
  /// @param firstRound a random number, so that replies to an earlier process
  ///   of this VM match no round
  ConfirmationRounds(const OwnershipParameters &parameters,
                     std::uint64_t firstRound)
      : Parameters(parameters), NextRound(firstRound) {}

  /// Begins a round for @p record.
  /// @return the request to send to the members
  ConfirmRequest begin(const ServiceId &service, Revision record, Time now);
  /// @return whether @p reply belongs to a recent round of this process, which
  ///   proves that its sender was running after the request
  bool isOwnRound(const ConfirmReply &reply) const;
  /// Counts a reply to a round of this process.
  void take(const RecordMember &from, const ConfirmReply &reply,
            const MemberSet &members);
  /// Notes that a store call begun at @p startedAt found @p record to be the
  /// newest revision.
  void confirm(Revision record, Time startedAt);

  /// @return whether grants may be renewed under @p record now
  bool isConfirmed(Revision record, Time now) const;
  /// @return when the newest confirmation of @p record expires
  Time confirmedUntil(Revision record) const;
  /// @return whether the members have had enough time to confirm the newest
  ///   round, a third of a heartbeat, but no majority has confirmed it
  bool isUnanswered(Time now) const;
  /// @return whether a majority reported in the newest confirmed round that no
  ///   other controller renews grants
  bool isOnlyRenewer() const { return IsOnlyRenewer; }

private:
  /// A confirmation request that was sent to the members, and their replies.
  struct Round {
    std::uint64_t Number = 0;
    Revision Record;
    Time StartedAt;
    std::set<RecordMember> Confirmed; ///< members that confirmed Record
    /// Members whose replies had ConfirmReply::IsOnlyRenewer set.
    std::set<RecordMember> SawNoOtherRenewer;
    bool HasMajority = false;
  };

  OwnershipParameters Parameters;
  std::uint64_t NextRound;
  std::deque<Round> Rounds; ///< newest last, at most MaxRounds
  Revision Confirmed;       ///< newest confirmed revision
  Time ConfirmedAt;         ///< start of the round that confirmed it
  bool IsOnlyRenewer = false;
};

/// Tracks for each revision that the leader wrote when the grants based on
/// lower revisions end.
class EarlierGrantsTracker {
public:
  explicit EarlierGrantsTracker(const OwnershipParameters &parameters)
      : Parameters(parameters) {}

  /// Forgets all revisions, at the start of a leadership.
  void reset();
  /// Starts tracking @p record.
  /// @param sets member sets whose confirmations of lower revisions may still
  ///   be valid
  /// @param members current members; a majority of them proves that nobody else
  ///   renews grants
  /// @param knownAt when it became known that @p record is in the store
  void follow(Revision record, std::vector<MemberSet> sets, MemberSet members,
              Time knownAt);
  /// Notes that a member no longer confirms revisions below @p fence.
  void take(const RecordMember &from, Revision fence, bool isOnlyRenewer,
            Time now);
  /// Notes that a member's process has ended and confirms nothing any more.
  void addEndedMember(const RecordMember &member, Time now);
  /// Updates the state for the time @p now.
  void advance(Time now);

  /// @return whether all grants based on revisions below @p record have ended
  bool isOver(Revision record) const;
  /// @return whether all confirmations of leaders before the first tracked
  ///   revision have expired; grants based on them may still be valid
  bool haveConfirmationsEnded(Time now) const;
  /// @return whether, among the current members, only this process had
  ///   confirmations of revisions below @p record
  bool isOnlyRenewer(Revision record) const {
    return OnlyRenewerUpTo >= record;
  }

private:
  /// A tracked revision.
  struct Target {
    Revision Record;
    /// EndAt is known once a majority of each of these sets is in Fenced.
    std::vector<MemberSet> Sets;
    MemberSet Members; ///< current members when Record was written
    /// Members that no longer confirm revisions below Record.
    std::set<RecordMember> Fenced;
    /// Members whose replies had ConfirmReply::IsOnlyRenewer set.
    std::set<RecordMember> SawNoOtherRenewer;
    std::optional<Time> EndAt; ///< end of all grants under lower revisions
  };
  void updateState(Target &target, Time now);

  OwnershipParameters Parameters;
  std::deque<Target> Targets;   ///< ascending by Record
  std::set<RecordMember> Ended; ///< members whose process has ended
  Revision EndedUpTo;           ///< all grants under lower revisions have ended
  /// Among the current members, only this process had confirmations of lower
  /// revisions.
  Revision OnlyRenewerUpTo;
};

} // namespace waxwing

#endif
