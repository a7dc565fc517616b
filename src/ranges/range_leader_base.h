/**
 * @file range_leader_base.h
 * Assigns the key ranges of one service to upstreams: decides which upstream
 * owns which keys, and issues grants and releases.
 *
 * A state machine without I/O that runs on the leading VM. Exclusive ownership
 * rests on one rule: the map in the store names a new owner only after the
 * previous owner's grants are proven to have ended, and grants are issued only
 * for owners in that map.
 */
#ifndef WAXWING_RANGES_RANGE_LEADER_BASE_H
#define WAXWING_RANGES_RANGE_LEADER_BASE_H

#include "ranges/key_load_base.h"
#include "ranges/range_balance_func.h"
#include "ranges/range_type.h"

#include <map>
#include <optional>
#include <set>

namespace waxwing {

/// Durations and intervals that the leader uses.
struct RangeTimings {
  Duration GrantDuration = seconds(4); ///< length of an ordinary grant
  /// Longest grant that upstreams accept.
  Duration MaxGrantDuration = seconds(10);
  /// Length of a grant that only establishes a new fencing token before a
  /// release.
  Duration FencingGrantDuration = milliseconds(500);
  /// Time limit of an order. The caller of step() then reports the order as
  /// Unanswered and resets its connection, so that it cannot arrive later.
  Duration OrderDeadline = seconds(1);
  /// Interval between grants that renew the ownership of one key range.
  Duration RenewInterval = milliseconds(1200);
  /// How long to wait for more upstreams before keys are first divided.
  Duration InitialDivisionDelay = milliseconds(1000);
  /// Interval between rounds of load balancing.
  Duration MoveInterval = milliseconds(250);
  /// Length of the leader's lease in the store.
  Duration LeaderLease = seconds(2);
  std::int64_t DriftPpm = 20'000; ///< largest clock drift of an upstream, ppm
};

/// Actions that step() asks its caller to carry out.
struct RangeActions {
  std::vector<RangeOrder> Orders;
  /// Map to be stored, provided that the stored map still has the same
  /// Revision.
  std::optional<RangeMap> Write;
  Time WakeAt = Time::max(); ///< when step() must be called again
};

/// Assigns key ranges of one service to upstreams.
class RangeLeader {
public:
  /// @param map the map in the store; Revision 0 when none is stored yet. The
  ///   rows of a map of an earlier epoch may be newer than the stored ones
  /// @param epoch present epoch of the store
  RangeLeader(const RangeTimings &timings, RangeMap map, Time now,
              EpochInfo epoch = {});

  /// Continues in a new epoch of the store after this object has led in an
  /// earlier one. Owners that still accept their fencing tokens keep their
  /// keys; the others are replaced once all grants of earlier epochs have
  /// ended. No map is stored before all owners have accepted or that time has
  /// come, so that a successor waits as well.
  /// @param storedRevision revision of the stored map, which is of an earlier
  ///   epoch; 0 if there is none
  /// @param epoch present epoch of the store, in which the caller was elected
  /// @param entriesCurrentAt when the list of upstreams will be current again;
  ///   no order is sent before
  /// @return false when another leader may have moved keys without the consent
  ///   of their owners; the object must not be used then
  bool resumeInEpoch(StoreRevision storedRevision, EpochInfo epoch,
                     Time entriesCurrentAt, Time now);
  /// Replaces the list of known upstreams.
  void setUpstreams(std::vector<RangeUpstream> upstreams, Time now);
  /// Records that the process of upstream @p id that was started at
  /// @p startedAtMs is proven to have ended.
  void markUpstreamDead(const UpstreamId &id, std::int64_t startedAtMs);
  /// While the store is unavailable, grants are issued for MaxGrantDuration.
  void setStoreUnavailable(bool isUnavailable, Time now);
  /// Counts a request for @p key that arrived at any VM.
  void recordKeyRequest(std::uint16_t key) { RequestRates.recordRequest(key); }

  /// Handles the result of an order.
  /// @param handover handover token from the answer to a release, or ""
  void onOrder(std::uint64_t id, OrderOutcome outcome,
               const std::string &handover, Time now);
  /// Called when the unfinished write of the map succeeded and created
  /// @p revision.
  void onWriteApplied(std::uint64_t revision);
  /// Called when the unfinished write of the map failed or its result is
  /// unknown.
  /// @param stored the map that the store has now
  void onWriteFailed(RangeMap stored, Time now);

  /// Performs all work that is due.
  /// @param maySendOrders false while leadership is uncertain; nothing is done
  ///   then
  RangeActions step(Time now, bool maySendOrders);

  const RangeMap &map() const { return StoredMap; }
  bool isWriting() const { return InFlightMap.has_value(); }
  std::uint64_t startedMoveCount() const { return MovesStarted; }

private:
  /// Progress of the release of a range by its owner.
  enum class ReleasePhase : std::uint8_t {
    Serving, ///< not released; grants are renewed unless the owner must change
    Releasing, ///< a release has been sent
    Released,  ///< the owner confirmed the release
  };
  /// The leader's own state of one key range (a row of StoredMap); it is not
  /// written to the store.
  struct RangeOwnershipState {
    ReleasePhase CurrentPhase = ReleasePhase::Serving;
    /// Upper bound on the end of the owner's grants, including grants that may
    /// still be in transit.
    Time HeldUntil;
    Time NextOrderAt; ///< earliest time of the next grant or release
    /// Ids of the sent grants without a result yet.
    std::set<std::uint64_t> PendingGrants;
    /// Orders under the row's fencing token may still reach the owner
    /// unnoticed: orders of an earlier leader, or own orders that were not
    /// answered.
    bool MayHaveLateOrders = false;
    /// The next write must assign a new fencing token.
    bool NeedsNewFence = false;
    /// The owner has not accepted the fencing token yet.
    bool NeedsGrant = false;
    /// Another upstream may hold the keys under a grant of an earlier epoch.
    bool IsUnverified = false;
    /// A grant was delivered although the owner's process had ended, so that
    /// the next process of the upstream may hold the range.
    bool IsGrantedAfterEnd = false;
    /// Failed deliveries and new tokens since the last accepted grant.
    int RetryCount = 0;
    std::string Handover; ///< handover token from the owner's release
    std::optional<UpstreamId> MoveTarget; ///< target of a planned move
  };

  const RangeUpstream *findUpstream(const UpstreamId &id) const;
  /// @return the owner of @p row, or nullptr when there is no entry of the
  ///   owner or its process was restarted
  const RangeUpstream *liveOwner(const RangeRow &row) const;
  /// @return true when the owner's process is proven to have ended, or there is
  ///   no owner
  bool isOwnerDead(const RangeRow &row) const;
  /// @return the owner if its process is another one than the range was given
  ///   to, or nullptr
  const RangeUpstream *restartedOwner(const RangeRow &row) const;
  /// @return true when the row may be given to another owner at once
  bool canReassign(const RangeRow &row, const RangeOwnershipState &state,
                   Time now) const;
  /// @return true when the row needs another owner
  bool mustChangeOwner(const RangeRow &row,
                       const RangeOwnershipState &state) const;
  /// @return upper bound on the time from sending a grant to its end
  Duration maxOwnershipDuration(Duration grantDuration) const;

  static Duration retryDelay(const RangeOwnershipState &state);
  void startBalancingMoves(Time now);
  /// Splits the row at @p index of @p map so that the keys of @p part become a
  /// row of their own.
  void splitRow(std::size_t index, const KeyRange &part, RangeMap &map,
                std::vector<RangeOwnershipState> &states) const;
  void renewFence(RangeMap &map, std::size_t index, RangeOwnershipState &state,
                  Time now) const;
  bool followRestartedOwners(RangeMap &map,
                             std::vector<RangeOwnershipState> &states,
                             Time now) const;
  std::optional<RangeMap> planWrite(Time now);
  void sendOrders(Time now, RangeActions &actions);
  void sendOrder(std::size_t index, OrderKind kind, const Endpoint &address,
                 Time now, RangeActions &actions);
  void adoptMap(RangeMap map, Time now);
  /// A map of an earlier epoch does not say who holds the keys now, so no key
  /// gets another owner until all grants of that epoch have ended.
  void awaitFormerGrants(Time now);
  /// @return true when the unfinished write gives keys of @p row to another
  ///   process
  bool mayBeReassigned(const RangeRow &row) const;
  /// @return true while another upstream than its owner may hold a range
  bool isAwaitingFormerGrants(Time now) const;
  /// Renews grants of owners that may hold their keys under a grant of an
  /// earlier epoch, under their present fencing tokens.
  void verifyOwners(Time now, RangeActions &actions);
  /// @return true when the stored map is of an earlier epoch
  bool isMapOfEarlierEpoch() const {
    return !StoredMap.Rows.empty() && StoredMap.Epoch < Epoch.Epoch;
  }
  /// @return the state of @p row in InFlightStates, or nullptr when the
  ///   unfinished write changes the row
  RangeOwnershipState *inFlightState(const RangeRow &row);
  void copyUnchangedStates();
  void setWakeTime(RangeActions &actions, Time now) const;

  RangeTimings Timings;
  EpochInfo Epoch; ///< epoch of the store in which this leader writes
  /// Until then, unknown owners may hold keys under grants of an earlier epoch.
  Time FormerGrantsUntil;
  /// The list of upstreams may be outdated before this time.
  Time EntriesCurrentAt;
  /// When this leader was last allowed to act; Time() if never.
  Time LastActedAt;
  RangeMap StoredMap; ///< the map in the store, as far as known
  std::vector<RangeOwnershipState> States; ///< one for each row of StoredMap
  std::optional<RangeMap> InFlightMap;     ///< map that is being written
  /// States of the rows of InFlightMap; replaces States once it is stored.
  std::vector<RangeOwnershipState> InFlightStates;
  std::vector<RangeUpstream> Upstreams; ///< sorted by id
  /// Ended processes: upstream and start time, Unix ms.
  std::set<std::pair<UpstreamId, std::int64_t>> DeadProcesses;
  /// Sent orders without a result yet, by id.
  std::map<std::uint64_t, RangeOrder> Orders;
  std::uint64_t NextOrderId = 1;
  KeyLoad RequestRates;
  /// Largest number of upstreams that could own keys at the same time since
  /// this leader was created.
  std::ptrdiff_t MaxEligibleSeen = 0;
  /// When this leader first knew an upstream that could own keys.
  Time FirstEligibleAt = Time::max();
  /// Earliest time of the first division of keys, while there is no map.
  Time EarliestDivisionAt = Time::max();
  Time NextBalancingAt; ///< earliest time of the next load balancing
  bool IsStoreUnavailable = false;
  std::uint64_t MovesStarted = 0;
};

} // namespace waxwing

#endif
