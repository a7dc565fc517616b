/**
 * @file membership_base.h
 * The membership state machine of one controller: who lives, whom to link
 * to. No I/O, no clock, no threads. See docs/MEMBERSHIP.md.
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

/// Entries spread by rumour: a member speaks for itself, and those linked
/// to it report its silence; digests in heartbeats mend what was missed.
class Membership {
public:
  /// @param self Vm, Process, Domain, Region and Link of this controller
  Membership(MemberEntry self, MembershipParameters terms, Time now);

  /// Takes one event.
  /// @param now this process's clock, never before an earlier now
  /// @return what to do, in this order
  std::vector<MembershipAction> handle(const MembershipEvent &event, Time now);

  /// @return this process's own entry
  const MemberEntry &self() const { return Self; }
  /// @return all others that are known, dead ones included
  std::vector<MemberEntry> others() const;
  /// @return members that are live, this process first
  std::vector<MemberEntry> live() const;
  /// @return whether this process is to watch the store
  bool isStoreWatcher() const;
  /// @return digest of all entries but New and Dead ones
  std::uint64_t digest() const;

private:
  struct MemberData {
    MemberEntry Entry;
    bool IsListed = false;         ///< in the platform's newest list
    bool IsListedLeaving = false;  ///< listed as leaving
    Time Since;                    ///< when Entry took its state
    std::optional<Time> LinkUntil; ///< chosen, but suspected without a link
    Time NextSuspicion;            ///< backs off while it is refuted
    Duration Backoff{};
  };
  /// An entry to be sent on all links but to those that have it.
  struct Rumour {
    MemberEntry Entry;
    std::set<VmId> KnownBy;
  };
  struct LinkData {
    Time HeardAt;
    Duration Period;                  ///< of the peer's heartbeats
    bool IsReported = false;          ///< its silence was reported
    std::optional<Time> DiffersSince; ///< digests differ
    Time NextCompare;
  };

  void on(const MembershipTick &, Time now);
  void on(const VmListUpdated &event, Time now);
  void on(const MemberLinked &event, Time now);
  void on(const MemberUnlinked &event, Time now);
  void on(const MemberActivity &event, Time now);
  void on(const MembershipMessageReceived &event, Time now);
  void on(const ShutdownStarted &, Time now);
  void on(const StoreWatchStatus &event, Time now);
  bool takeListed(const ListedVm &listed, Time now);
  void take(const VmId &from, const Heartbeat &message, Time now);
  void take(const VmId &from, const MembersUpdate &message, Time now);
  void take(const VmId &from, const MembersSyncRequest &message, Time now);

  void forgivePause(Time now);
  void sendHeartbeats(Time now);
  void watchLinks(Time now);
  void watchUnlinked(Time now);
  void endSuspicions(Time now);
  void forgetDead(Time now);
  void retryDead(Time now);
  void chooseTargets(Time now);
  bool merge(const MemberEntry &entry, const VmId &from, Time now);
  Duration silenceOf(const LinkData &link) const;
  std::int64_t heartbeatStretch() const;
  void suspect(MemberData &member, Time now);
  void setState(MemberData &member, MemberState state, Time now);
  void speakForSelf(std::uint64_t version);
  void spread(const MemberEntry &entry, const VmId &from);
  void flushRumours();
  void flushReplies();
  const BucketDigests &buckets() const;
  template <class F> void forEachEntry(F &&visit) const;

  MemberEntry Self;
  MembershipParameters Parameters;
  std::map<VmId, MemberData> Members; ///< without Self
  std::map<VmId, LinkData> Links;
  std::map<VmId, Rumour> Rumours; ///< by the member that they are about
  std::map<VmId, std::vector<MemberEntry>> Replies;
  std::map<VmId, Endpoint> Targets;
  std::optional<VmId> Retried; ///< dead member that is tried just now
  Time NextHeartbeat;
  Time NextRetry;
  Time LastTick;
  bool IsChanged = false; ///< the choice of links must be made again
  mutable std::optional<BucketDigests> Cached; ///< of the present entries
  std::vector<MembershipAction> Actions;
};

} // namespace waxwing

#endif
