/**
 * @file candidacy_base.h
 * When a controller that does not lead renews in the leader's place, and
 * when it tries to take the leadership. Delays grow with the rank, so that
 * few race; the store decides between those that do.
 */
#ifndef WAXWING_OWNERSHIP_CANDIDACY_BASE_H
#define WAXWING_OWNERSHIP_CANDIDACY_BASE_H

#include "ownership/ownership_leader_type.h"

namespace waxwing {

/// Place of a controller in the order of candidates.
struct CandidateRank {
  std::size_t Place = 0; ///< 0 goes first
  bool IsMember = false; ///< its VM is named in the record
};

/// @return place of @p self: members in their order, then the others in an
///   order that differs from service to service
CandidateRank rankOf(const RecordMember &self, const ServiceId &service,
                     const MemberSet &members,
                     const std::vector<ControllerMember> &controllers);

/// @return the leader @p self and witnesses, an odd number, spread over
///   failure domains; present members are preferred
MemberSet chooseMembers(const RecordMember &self, const ServiceId &service,
                        const MemberSet &present,
                        const std::vector<ControllerMember> &controllers);

/// Follows the silence of the leader.
class Candidacy {
public:
  explicit Candidacy(const OwnershipParameters &terms) : Parameters(terms) {}

  /// Silence is counted from @p now on.
  void restart(Time now);
  /// The leader gave a sign of life.
  void hearLeader(Time now);
  /// A member that goes before this one renews.
  void hearRenewer(Time now) { RenewerHeardAt = now; }
  /// This process took the leadership or tried to.
  void noteAttempt(Time now);

  /// @return whether to renew in the leader's place
  bool isRenewalDue(CandidateRank rank, Time now) const;
  /// @return whether to try to take the leadership
  bool isTakeoverDue(CandidateRank rank, Time now) const;
  /// @return whether the leader is silent for so long that a candidate need
  ///   not reach the other members
  bool isSilentForLong(Time now) const;

private:
  OwnershipParameters Parameters;
  Time LeaderHeardAt;
  Time RenewerHeardAt;
  Time LastAttempt;
  Time NextAttempt;
  Duration Backoff{};
};

} // namespace waxwing

#endif
