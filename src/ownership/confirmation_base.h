/**
 * @file confirmation_base.h
 * Proofs about record revisions: that one is still the newest (so renewals
 * may be based on it), and that all rights based on older ones have ended.
 */
#ifndef WAXWING_OWNERSHIP_CONFIRMATION_BASE_H
#define WAXWING_OWNERSHIP_CONFIRMATION_BASE_H

#include "ownership/ownership_leader_type.h"

#include <deque>
#include <set>

namespace waxwing {

/// @return whether @p answered holds more than half of @p members
bool hasMajority(const MemberSet &members,
                 const std::set<RecordMember> &answered);

/// The witness's part of a controller. Its state is volatile: a restarted
/// controller is another member and confirms nothing that names the old.
class Witness {
public:
  explicit Witness(const OwnershipParameters &terms) : Parameters(terms) {}

  /// Confirms no revision below @p record from now on.
  void raise(Revision record) {
    if (!Parameters.Faults.IgnoresFence)
      Fence = std::max(Fence, record);
  }
  Revision fence() const { return Fence; }

  /// Answers a member that wants to renew under a revision.
  ConfirmReply answer(const RecordMember &from, const ConfirmRequest &request,
                      Time now);

private:
  bool isSole(const RecordMember &asker, Time now) const;

  OwnershipParameters Parameters;
  Revision Fence; ///< never decreases
  /// When the rights that a member drew from confirmations given here end.
  std::map<RecordMember, Time> RightsEnd;
};

/// The asking side: rounds of confirmations of one revision.
class ConfirmationRounds {
public:
  /// @param firstRound drawn at random, so that answers to an earlier
  ///   process of this VM match no round
  ConfirmationRounds(const OwnershipParameters &terms, std::uint64_t firstRound)
      : Parameters(terms), NextRound(firstRound) {}

  /// Begins a round.
  ConfirmRequest begin(const ServiceId &service, Revision record, Time now);
  /// @return whether the reply answers a request of this process for
  ///   @p record, so that its sender ran after that request
  bool isAnswer(const ConfirmReply &reply) const;
  /// Takes a reply of a round of this process.
  void take(const RecordMember &from, const ConfirmReply &reply,
            const MemberSet &members);
  /// A store call begun at @p startedAt showed @p record as the newest.
  void confirm(Revision record, Time startedAt);

  /// @return whether renewals may be based on @p record now
  bool isConfirmed(Revision record, Time now) const;
  /// @return when the newest confirmation of @p record ends
  Time confirmedUntil(Revision record) const;
  /// @return whether the members have had the time to confirm the newest
  ///   round and did not
  bool isUnanswered(Time now) const;
  /// @return whether the newest confirmed round found no other renewer
  bool isSole() const { return IsOnlyRenewer; }

private:
  struct Round {
    std::uint64_t Number = 0;
    Revision Record;
    Time StartedAt;
    std::set<RecordMember> Confirmed;
    std::set<RecordMember> Sole;
    bool HasMajority = false;
  };

  OwnershipParameters Parameters;
  std::uint64_t NextRound;
  std::deque<Round> Rounds; ///< newest last, bounded
  Revision Confirmed;
  Time ConfirmedAt; ///< start of the round that confirmed it
  bool IsOnlyRenewer = false;
};

/// Follows, for each revision that the leader wrote, when the rights based
/// on lower revisions end.
class QuietTracker {
public:
  explicit QuietTracker(const OwnershipParameters &terms) : Parameters(terms) {}

  /// Begins anew with the first revision of a leadership.
  void reset();
  /// Follows @p record.
  /// @param sets member sets whose confirmations of lower revisions may last
  /// @param members present members, whose word proves a sole renewer
  /// @param knownAt when it was known that @p record is written
  void follow(Revision record, std::vector<MemberSet> sets, MemberSet members,
              Time knownAt);
  /// A member confirms no revision below @p fence.
  void take(const RecordMember &from, Revision fence, bool isSole, Time now);
  /// A member's process has ended; it confirms nothing any more.
  void takeEnded(const RecordMember &member, Time now);
  /// Notes what has ended by now.
  void advance(Time now);

  /// @return whether all rights based on revisions below @p record ended
  bool isOver(Revision record) const;
  /// @return whether the confirmations ended that leaders before the first
  ///   followed revision had; grants based on them may still last
  bool haveConfirmationsEnded(Time now) const;
  /// @return whether nobody but this process had rights based on a revision
  ///   below @p record within the present member set
  bool isSole(Revision record) const { return SoleUpto >= record; }

private:
  struct Target {
    Revision Record;
    std::vector<MemberSet> Sets;
    MemberSet Members;
    std::set<RecordMember> Fenced;
    std::set<RecordMember> Sole;
    std::optional<Time> QuietAt;
  };
  void settle(Target &target, Time now);

  OwnershipParameters Parameters;
  std::deque<Target> Targets; ///< ascending by Record
  std::set<RecordMember> Ended;
  Revision OverUpto;
  Revision SoleUpto;
};

} // namespace waxwing

#endif
