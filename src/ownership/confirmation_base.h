/**
 * @file confirmation_base.h
 * Confirms that a revision of the ownership record is still the newest, so that
 * grants may be renewed under it, and tracks when all grants under older
 * revisions have ended. The store confirms it, or a majority of the members
 * that the record names (the leader and its witnesses).
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

  /// Stops confirming record revisions below @p record, for all members.
  void raiseFence(Revision record) {
    if (!Parameters.Faults.IgnoresFence)
      Fence = std::max(Fence, record);
  }
  Revision fence() const { return Fence; }

  /// Replies to a member that wants to renew grants under a record revision.
  ConfirmReply answer(const RecordMember &from, const ConfirmRequest &request,
                      Time now);

private:
  bool isOnlyRenewer(const RecordMember &asker, Time now) const;

  OwnershipParameters Parameters;
  /// Lowest record revision that is still confirmed; never decreases.
  Revision Fence;
  /// For each member that this witness confirmed: when the last grant ends that
  /// the member may have renewed after the newest of these confirmations.
  std::map<RecordMember, Time> RightsEnd;
};

/// Numbers confirmation rounds (one request to all members of the record) and
/// counts the replies. The caller sends the requests.
class ConfirmationRounds {
public:
  /// @param firstRound a random number, so that replies to an earlier process
  ///   of this VM match no round
  ConfirmationRounds(const OwnershipParameters &parameters,
                     std::uint64_t firstRound)
      : Parameters(parameters), NextRound(firstRound) {}

  /// Begins a confirmation round (one request to all members) for @p record.
  /// @return the confirmation request to send to the members of the record
  ConfirmRequest begin(const ServiceId &service, Revision record, Time now);
  /// @return whether @p reply belongs to a recent round of this process, which
  ///   proves that its sender was running after the request
  bool isOwnRound(const ConfirmReply &reply) const;
  /// Counts a reply to a round of this process.
  void addReply(const RecordMember &from, const ConfirmReply &reply,
                const MemberSet &members);
  /// Records that a round, or a read or write of the store, that began at
  /// @p startedAt showed @p record to be the newest revision.
  void confirm(Revision record, Time startedAt);

  /// @return whether grants may be renewed under @p record now
  bool isConfirmed(Revision record, Time now) const;
  /// @return whether the newest confirmation of @p record began at @p since or
  ///   later
  bool isConfirmedSince(Revision record, Time since) const {
    return record == Confirmed && ConfirmedAt >= since;
  }
  /// @return when the newest confirmation of @p record expires
  Time confirmedUntil(Revision record) const;
  /// @return whether the newest round began at least a third of a heartbeat
  ///   period ago and no majority has confirmed it yet
  bool isNewestRoundOverdue(Time now) const;
  /// @return whether a majority reported in the newest confirmed round that no
  ///   other controller renews grants
  bool isOnlyRenewer() const { return IsOnlyRenewer; }

private:
  /// A confirmation request that was sent to the members, and their replies.
  struct Round {
    std::uint64_t RoundNumber = 0;
    Revision Record;
    Time StartedAt;
    std::set<RecordMember> Confirmed; ///< members that confirmed Record
    /// Members whose replies had ConfirmReply::IsOnlyRenewer set.
    std::set<RecordMember> SawNoOtherRenewer;
    bool HasMajority = false;
  };

  OwnershipParameters Parameters;
  std::uint64_t NextRound;
  std::deque<Round> Rounds; ///< recent rounds, newest last, at most MaxRounds
  Revision Confirmed;       ///< newest confirmed record revision
  /// When the round or store call that confirmed the revision Confirmed began.
  Time ConfirmedAt;
  bool IsOnlyRenewer = false;
};

/// Tracks for each revision that the leader wrote when the grants based on
/// lower revisions end.
class EarlierGrantsTracker {
public:
  explicit EarlierGrantsTracker(const OwnershipParameters &parameters)
      : Parameters(parameters) {}

  /// Forgets all tracked revisions; called at the start of a leadership.
  void reset();
  /// Starts tracking @p record.
  /// @param sets member sets whose confirmations of lower revisions may still
  ///   be valid
  /// @param members current members; a majority of them proves that nobody else
  ///   renews grants
  /// @param knownAt when it became known that @p record is in the store
  void trackRevision(Revision record, std::vector<MemberSet> sets,
                     MemberSet members, Time knownAt);
  /// Records that a member no longer confirms revisions below @p fence.
  void addFence(const RecordMember &from, Revision fence, bool isOnlyRenewer,
                Time now);
  /// Records that a member's process has ended and confirms nothing any more.
  void addEndedMember(const RecordMember &member, Time now);
  /// Updates the state for the time @p now.
  void advance(Time now);

  /// @return whether all grants based on revisions below @p record have ended
  bool haveGrantsEnded(Revision record) const;
  /// @return whether all confirmations of revisions below the first tracked one
  ///   have expired; grants based on those confirmations may still be valid
  bool haveConfirmationsEnded(Time now) const;
  /// @return whether a majority of the current members reported that no other
  ///   process can still renew grants under revisions below @p record
  bool isOnlyRenewer(Revision record) const {
    return OnlyRenewerUpTo >= record;
  }

private:
  /// A tracked revision.
  struct TrackedRevision {
    Revision Record;
    /// Member sets that may have confirmed lower revisions. EndAt is known once
    /// Fenced contains a majority of each set.
    std::vector<MemberSet> Sets;
    MemberSet Members; ///< current members when Record was written
    /// Members that no longer confirm revisions below Record.
    std::set<RecordMember> Fenced;
    /// Members whose replies had ConfirmReply::IsOnlyRenewer set.
    std::set<RecordMember> SawNoOtherRenewer;
    std::optional<Time> EndAt; ///< when all grants under lower revisions end
  };
  void updateState(TrackedRevision &target, Time now);

  OwnershipParameters Parameters;
  /// Tracked revisions, ascending by Record.
  std::deque<TrackedRevision> TrackedRevisions;
  /// Record members whose controller process has ended.
  std::set<RecordMember> Ended;
  Revision EndedUpTo; ///< all grants under lower revisions have ended
  /// A majority of the current members reported that no other process can still
  /// renew grants under revisions below this one.
  Revision OnlyRenewerUpTo;
};

} // namespace waxwing

#endif
