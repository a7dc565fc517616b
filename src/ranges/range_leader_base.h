/**
 * @file range_leader_base.h
 * The leader of one service whose keys are divided among upstreams: decides
 * who owns which keys, and sends grants and releases.
 *
 * A state machine without I/O. Safety rests on one rule: the store's map
 * names a new owner only after the rights of the last one are proven ended,
 * and grants are sent only for what the map says.
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

/// Times of the leader's grants.
struct RangeTimings {
  Duration GrantDuration = seconds(4);     ///< ordinary length of a grant
  Duration MaxGrantDuration = seconds(10); ///< most that upstreams take
  Duration FenceHold = milliseconds(500);  ///< of a grant before a release
  /// The host reports an order as unanswered by then and resets its
  /// connection, so that it cannot arrive later.
  Duration OrderDeadline = seconds(1);
  Duration RenewInterval = milliseconds(1200); ///< between renewals of a row
  Duration Settle = milliseconds(1000); ///< before keys are first divided
  Duration MoveGap = milliseconds(250); ///< between moves for balance
  std::int64_t DriftPpm = 20'000; ///< an upstream's clock may be this slow
};

/// What a step asks its host to do.
struct RangeActions {
  std::vector<RangeOrder> Orders;
  std::optional<RangeMap> Write; ///< to be written over revision Map.Revision
  Time WakeAt = Time::max();     ///< call step() again at this time
};

class RangeLeader {
public:
  /// @param map as the store has it; Revision 0 when there is none yet
  RangeLeader(const RangeTimings &terms, RangeMap map, Time now);

  /// Replaces what is known of upstreams.
  void setUpstreams(std::vector<RangeUpstream> upstreams, Time now);
  /// The upstream's process of that life is proven to have ended.
  void markUpstreamDead(const UpstreamId &id, std::int64_t born);
  /// While the store does not answer, grants are given for the longest time.
  void setStoreUnavailable(bool isTroubled, Time now);
  /// One request for @p key arrived somewhere.
  void recordKeyRequest(std::uint16_t key) { Load.add(key); }

  void onOrder(std::uint64_t id, OrderOutcome outcome,
               const std::string &handover, Time now);
  /// The write in flight took effect as @p revision.
  void onWriteApplied(std::uint64_t revision);
  /// The write in flight failed or its fate is unknown; @p stored is what the
  /// store has now.
  void onWriteFailed(RangeMap stored, Time now);

  /// Does all that is due. @p mayOrder false while leadership is in doubt
  RangeActions step(Time now, bool mayOrder);

  const RangeMap &map() const { return Stored; }
  bool isWriting() const { return InFlight.has_value(); }
  std::uint64_t movesStarted() const { return MovesStarted; }

private:
  enum class Phase : std::uint8_t {
    Serving,   ///< renewed while its owner may keep it
    Releasing, ///< a release is on its way
    Released,  ///< the owner confirmed that it holds the range no more
  };
  /// What this leader knows of one row of Stored.
  struct RowState {
    Phase Step = Phase::Serving;
    /// No right of the owner outlives this, whatever is still on its way
    /// under orders sent before now.
    Time HeldUntil;
    Time NextOrderAt;             ///< earliest next grant or release
    std::set<std::uint64_t> Open; ///< grants without an outcome yet
    /// Orders under the row's fence may still arrive unseen: an earlier
    /// leader's, or own ones without an answer.
    bool HasStrayOrders = false;
    bool NeedsFence = false; ///< the next write gives it a new fence
    bool NeedsGrant = false; ///< the owner has not accepted the fence yet
    int Refences = 0;        ///< new fences since the last acceptance
    std::string Handover;    ///< from the release
    std::optional<UpstreamId> MoveTo; ///< target of a move for balance
  };

  const RangeUpstream *findUpstream(const UpstreamId &id) const;
  /// @return the owner when it lives as the row names it
  const RangeUpstream *liveOwner(const RangeRow &row) const;
  bool isDead(const RangeRow &row) const;
  bool isTakeable(const RangeRow &row, const RowState &state, Time now) const;
  bool mustLeave(const RangeRow &row, const RowState &state) const;
  Duration longestRight(Duration hold) const;

  static Duration retryPause(const RowState &state);
  void startMoves(Time now);
  void splitRow(std::size_t index, const KeyRange &part, RangeMap &map,
                std::vector<RowState> &states) const;
  std::optional<RangeMap> planWrite(Time now);
  void sendOrders(Time now, RangeActions &actions);
  void sendOrder(std::size_t index, OrderKind kind, const Endpoint &address,
                 Time now, RangeActions &actions);
  void adopt(RangeMap map, Time now);
  RowState *inFlightState(const RangeRow &row);
  void mirrorStates();
  void keepWake(RangeActions &actions, Time now) const;

  RangeTimings Terms;
  RangeMap Stored;                      ///< what the store has, as far as known
  std::vector<RowState> States;         ///< one for each row of Stored
  std::optional<RangeMap> InFlight;     ///< write without an outcome yet
  std::vector<RowState> InFlightStates; ///< States once InFlight is stored
  std::vector<RangeUpstream> Upstreams; ///< sorted by id
  std::set<std::pair<UpstreamId, std::int64_t>> Dead;
  std::map<std::uint64_t, RangeOrder> Orders; ///< without an outcome yet
  std::uint64_t NextOrder = 1;
  KeyLoad Load;
  std::ptrdiff_t EligibleSeen = 0; ///< most upstreams seen at a time
  Time FirstEligibleAt = Time::max();
  Time FirstDivisionAt = Time::max();
  Time NextMoveAt;
  bool IsStoreTroubled = false;
  std::uint64_t MovesStarted = 0;
};

} // namespace waxwing

#endif
