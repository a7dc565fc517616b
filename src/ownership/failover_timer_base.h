/**
 * @file failover_timer_base.h
 * Decides when a controller that is not the leader renews grants in the
 * leader's place, and when it tries to become the leader. The delay grows with
 * its rank, so that few controllers compete; of those that do, the first
 * compare-and-swap in the store wins.
 */
#ifndef WAXWING_OWNERSHIP_FAILOVER_TIMER_BASE_H
#define WAXWING_OWNERSHIP_FAILOVER_TIMER_BASE_H

#include "ownership/ownership_leader_type.h"

namespace waxwing {

/// Rank of a controller among the candidates for the leadership.
struct CandidateRank {
  std::size_t Position = 0; ///< 0 is the first candidate
  /// Whether the ownership record names the controller's VM as a member.
  bool IsMember = false;
};

/// @return rank of @p self: members in the record's order, then the other
///   controllers in a pseudo-random order that depends on the service
CandidateRank rankOf(const RecordMember &self, const ServiceId &service,
                     const MemberSet &members,
                     const std::vector<ControllerMember> &controllers);

/// Chooses the members of a record: @p self as the leader, and witnesses spread
/// over failure domains, with a preference for those in @p present.
/// @return an odd number of members, the leader first
MemberSet chooseMembers(const RecordMember &self, const ServiceId &service,
                        const MemberSet &present,
                        const std::vector<ControllerMember> &controllers);

/// Measures the time since the leader's last message and delays repeated
/// attempts to take the leadership.
class FailoverTimer {
public:
  explicit FailoverTimer(const OwnershipParameters &parameters)
      : Parameters(parameters) {}

  /// Begins to wait for messages of the leader or a deputy at @p now.
  void restart(Time now);
  /// Records that a message of the leader arrived at @p now.
  void recordLeaderMessage(Time now);
  /// Records that a member ranked before this one renews grants.
  void recordRenewer(Time now) { RenewerHeardAt = now; }
  /// Records that this process tried to take the leadership.
  void recordTakeoverAttempt(Time now);

  /// @return whether to start renewing grants in the leader's place
  bool isRenewalDue(CandidateRank rank, Time now) const;
  /// @return whether to try to take the leadership
  bool isTakeoverDue(CandidateRank rank, Time now) const;
  /// @return whether no message of the leader arrived for so long that a member
  ///   may try to take the leadership without a majority's confirmation
  bool isLeaderLongSilent(Time now) const;

private:
  OwnershipParameters Parameters;
  Time LeaderHeardAt;
  Time RenewerHeardAt;
  Time LastAttempt;
  Time NextAttempt;
  Duration Backoff{}; ///< delay between the last attempt and the next one
};

} // namespace waxwing

#endif
