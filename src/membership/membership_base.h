/**
 * @file membership_base.h
 * Membership state machine of one controller: which controllers are alive and
 * which of them to link to. It does no I/O, reads no clock and starts no
 * threads. See docs/MEMBERSHIP.md.
 */
#ifndef WAXWING_MEMBERSHIP_MEMBERSHIP_BASE_H
#define WAXWING_MEMBERSHIP_MEMBERSHIP_BASE_H

#include "membership/member_choice_func.h"
#include "membership/membership_type.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace waxwing {

/// Gossip-based membership. Each member publishes its own entry, and members
/// linked to it report when nothing arrives from it. Digests in heartbeats
/// detect entries that were lost in transit.
class Membership {
public:
  /// @param self Vm, Process, Domain, Region and Link of this controller
  Membership(MemberEntry self, MembershipParameters parameters, Time now);

  /// Processes one event.
  /// @param now time on this process's clock; never decreases between calls
  /// @return actions to carry out, in this order
  std::vector<MembershipAction> handle(const MembershipEvent &event, Time now);

  /// @return this process's own entry
  const MemberEntry &self() const { return Self; }
  /// @return entries of all other known members, including dead ones
  std::vector<MemberEntry> others() const;
  /// @return entries of live members; this process is first when it is live
  std::vector<MemberEntry> live() const;
  /// @return whether this process is one of those that watch the store
  bool isStoreWatcher() const;
  /// @return digest of all entries except those in state New or Dead
  std::uint64_t digest() const;

private:
  struct MemberData {
    MemberEntry Entry;
    bool IsListed = false;        ///< present in the newest platform list
    bool IsListedLeaving = false; ///< the platform lists it as leaving
    Time Since;                   ///< when Entry last changed
    /// Set for link targets without a link: when to suspect the member.
    std::optional<Time> LinkDeadline;
    Time NextSuspicion; ///< the member is not suspected before this time
    /// Minimum time from a new entry to the next suspicion; grows with each
    /// refuted suspicion.
    Duration Backoff{};
  };
  /// An entry to be sent on all links except those to members in KnownBy.
  struct PendingEntry {
    MemberEntry Entry;
    std::set<VmId> KnownBy;
  };
  struct LinkData {
    Time HeardAt;                 ///< arrival of the last message
    Duration Period;              ///< time between the peer's heartbeats
    bool IsPeerSuspected = false; ///< suspected since its last message
    /// Since when the peer's digest differs.
    std::optional<Time> DigestDiffersSince;
    Time NextSyncRequest;
  };

  void on(const MembershipTick &, Time now);
  void on(const VmListUpdated &event, Time now);
  void on(const MemberLinked &event, Time now);
  void on(const MemberUnlinked &event, Time now);
  void on(const MemberActivity &event, Time now);
  void on(const MembershipMessageReceived &event, Time now);
  void on(const ShutdownStarted &, Time now);
  void on(const StoreWatchStatus &event, Time now);
  bool mergeListed(const ListedVm &listed, Time now);
  void handleMessage(const VmId &from, const Heartbeat &message, Time now);
  void handleMessage(const VmId &from, const MembersUpdate &message, Time now);
  void handleMessage(const VmId &from, const MembersSyncRequest &message,
                     Time now);

  void extendTimeoutsAfterPause(Time now);
  void sendHeartbeats(Time now);
  void checkLinkTimeouts(Time now);
  void checkUnlinkedTargets(Time now);
  void declareSuspectedDead(Time now);
  void removeUnlistedMembers(Time now);
  void reconnectDeadMember(Time now);
  void chooseLinkTargets(Time now);
  bool merge(const MemberEntry &entry, const VmId &from, Time now);
  Duration suspicionTimeout(const LinkData &link) const;
  std::int64_t heartbeatPeriodFactor() const;
  void suspect(MemberData &member, Time now);
  void setState(MemberData &member, MemberState state, Time now);
  void publishOwnEntry(std::uint64_t version);
  void enqueueEntry(const MemberEntry &entry, const VmId &from);
  void sendPendingEntries();
  void sendPendingReplies();
  const BucketDigests &buckets() const;
  template <class F> void forEachEntry(F &&visit) const;

  MemberEntry Self;
  MembershipParameters Parameters;
  std::map<VmId, MemberData> Members; ///< without Self
  std::map<VmId, LinkData> Links;
  std::map<VmId, PendingEntry> PendingEntries;      ///< by VM of the entry
  std::map<VmId, std::vector<MemberEntry>> Replies; ///< to send, by receiver
  std::map<VmId, Endpoint> Targets; ///< members to keep links to
  /// Dead member that is being reconnected.
  std::optional<VmId> ReconnectingMember;
  Time NextHeartbeat;
  Time NextRetry;
  Time LastTick;
  bool NeedsNewLinkTargets = false; ///< link targets must be chosen again
  mutable std::optional<BucketDigests> CachedBuckets; ///< reset on each change
  std::vector<MembershipAction> Actions; ///< caused by the event being handled
};

} // namespace waxwing

#endif
