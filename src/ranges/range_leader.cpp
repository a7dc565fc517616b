/**
 * @file range_leader.cpp
 * Rights of owners: what ends them, and what may be granted.
 */
#include "ranges/range_leader_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Bound on the time that an order needs on its way, added to rights.
constexpr Duration OrderTravel = milliseconds(300);
/// Pause after an order that was not carried out.
constexpr Duration OrderRetry = milliseconds(300);
/// Moves for balance that may run at a time, for a service of any size, and
/// relative to its upstreams: a hot stretch of keys of a large service must be
/// spread over many of them at once.
constexpr int LeastMoves = 4;
constexpr double MovesPerUpstream = 0.25;

} // namespace

RangeLeader::RangeLeader(const RangeTimings &terms, RangeMap map, Time now)
    : Terms(terms) {
  adopt(std::move(map), now);
  NextMoveAt = now + Terms.Settle;
}

Duration RangeLeader::longestRight(Duration hold) const {
  return addClockDrift(hold, Terms.DriftPpm) + OrderTravel;
}

/// Takes over a map that this leader did not write: any of its owners may
/// hold its keys for the longest time from now, by orders not seen here.
void RangeLeader::adopt(RangeMap map, Time now) {
  Stored = std::move(map);
  InFlight.reset();
  States.assign(Stored.Rows.size(), {});
  for (RowState &state : States) {
    state.HeldUntil = now + longestRight(Terms.MaxGrantDuration);
    state.NextOrderAt = now;
    state.HasStrayOrders = true;
  }
}

void RangeLeader::setUpstreams(std::vector<RangeUpstream> upstreams, Time now) {
  Upstreams = std::move(upstreams);
  std::ranges::sort(Upstreams, {}, &RangeUpstream::Id);
  const auto eligible =
      std::ranges::count_if(Upstreams, &RangeUpstream::IsEligible);
  if (eligible > EligibleSeen) {
    // Upstreams still arrive: dividing now would move keys right afterwards.
    EligibleSeen = eligible;
    if (FirstEligibleAt == Time::max())
      FirstEligibleAt = now;
    FirstDivisionAt =
        std::min(now + Terms.Settle, FirstEligibleAt + 3 * Terms.Settle);
  }
}

void RangeLeader::setStoreUnavailable(bool isTroubled, Time now) {
  if (isTroubled && !IsStoreTroubled)
    // The lease may end before the next renewals: they are brought forward.
    for (RowState &state : States)
      if (state.Step == Phase::Serving)
        state.NextOrderAt = std::min(state.NextOrderAt, now);
  IsStoreTroubled = isTroubled;
}

void RangeLeader::markUpstreamDead(const UpstreamId &id, std::int64_t born) {
  Dead.insert({id, born});
}

const RangeUpstream *RangeLeader::findUpstream(const UpstreamId &id) const {
  const auto it =
      std::ranges::lower_bound(Upstreams, id, {}, &RangeUpstream::Id);
  return it == Upstreams.end() || it->Id != id ? nullptr : &*it;
}

const RangeUpstream *RangeLeader::liveOwner(const RangeRow &row) const {
  const RangeUpstream *upstream = findUpstream(row.Owner);
  return upstream != nullptr && upstream->StartedAtMs == row.OwnerStartedAtMs
             ? upstream
             : nullptr;
}

bool RangeLeader::isDead(const RangeRow &row) const {
  if (row.Owner.Value.empty() ||
      Dead.contains({row.Owner, row.OwnerStartedAtMs}))
    return true;
  const RangeUpstream *upstream = findUpstream(row.Owner);
  return upstream != nullptr && upstream->StartedAtMs > row.OwnerStartedAtMs;
}

bool RangeLeader::mustLeave(const RangeRow &row, const RowState &state) const {
  const RangeUpstream *owner = liveOwner(row);
  return owner == nullptr || !owner->IsEligible || state.MoveTo.has_value();
}

bool RangeLeader::isTakeable(const RangeRow &row, const RowState &state,
                             Time now) const {
  if (isDead(row))
    return true;
  if (state.Open.empty() && now >= state.HeldUntil)
    return true;
  return state.Step == Phase::Released && state.Open.empty() &&
         !state.HasStrayOrders;
}

/// A silent owner is asked less and less often.
Duration RangeLeader::retryPause(const RowState &state) {
  constexpr int maxDoublings = 4;
  return OrderRetry * (1 << std::min(state.Refences, maxDoublings));
}

void RangeLeader::onOrder(std::uint64_t id, OrderOutcome outcome,
                          const std::string &handover, Time now) {
  const auto found = Orders.find(id);
  if (found == Orders.end())
    return;
  const RangeOrder order = std::move(found->second);
  Orders.erase(found);
  const auto apply = [&](const RangeRow &row, RowState &state) {
    const bool concerns =
        row.Owner == order.Upstream && row.Fence == order.Fence &&
        order.Range.From <= row.Range.From && row.Range.To <= order.Range.To;
    if (!concerns)
      return;
    state.Open.erase(id);
    if (order.Kind == OrderKind::Release) {
      if (outcome == OrderOutcome::Accepted) {
        state.Step = Phase::Released;
        state.Handover = handover;
      } else if (state.Step == Phase::Releasing) {
        state.NextOrderAt = now + OrderRetry;
      }
      return;
    }
    switch (outcome) {
    case OrderOutcome::Accepted:
      state.NeedsGrant = false;
      state.Refences = 0;
      state.HeldUntil =
          std::max(state.HeldUntil, now + longestRight(order.GrantDuration));
      break;
    case OrderOutcome::HigherFence:
      state.NeedsFence = true;
      state.NextOrderAt = now + OrderRetry;
      break;
    case OrderOutcome::NotDelivered:
      state.NextOrderAt = now + retryPause(state);
      ++state.Refences;
      break;
    case OrderOutcome::Unanswered:
      state.HasStrayOrders = true;
      state.HeldUntil =
          std::max(state.HeldUntil, now + longestRight(order.GrantDuration));
      state.NextOrderAt = now + retryPause(state);
      break;
    }
  };
  for (std::size_t n = 0; n < Stored.Rows.size(); ++n)
    apply(Stored.Rows[n], States[n]);
  if (InFlight)
    for (std::size_t n = 0; n < InFlight->Rows.size(); ++n)
      apply(InFlight->Rows[n], InFlightStates[n]);
}

void RangeLeader::onWriteApplied(std::uint64_t revision) {
  if (!InFlight)
    return;
  Stored = *std::move(InFlight);
  Stored.Revision = revision;
  States = std::move(InFlightStates);
  InFlight.reset();
  InFlightStates.clear();
}

void RangeLeader::onWriteFailed(RangeMap stored, Time now) {
  const bool isOwnWrite = InFlight && stored.Revision != Stored.Revision &&
                          stored.NextFence == InFlight->NextFence &&
                          stored.Rows == InFlight->Rows;
  if (isOwnWrite) {
    onWriteApplied(stored.Revision);
    return;
  }
  if (stored.Revision == Stored.Revision) {
    // The write may still take effect later. Rows that it changes are granted
    // again only under a fence that a later write has stored.
    for (std::size_t n = 0; InFlight && n < Stored.Rows.size(); ++n)
      if (inFlightState(Stored.Rows[n]) == nullptr)
        States[n].NeedsFence = true;
    InFlight.reset();
    InFlightStates.clear();
    return;
  }
  if (stored.Revision > Stored.Revision)
    adopt(std::move(stored), now);
}

void RangeLeader::splitRow(std::size_t index, const KeyRange &part,
                           RangeMap &map, std::vector<RowState> &states) const {
  const RangeRow row = map.Rows[index];
  const RowState state = states[index];
  std::vector<RangeRow> rows;
  const auto add = [&](int from, int to) {
    if (from > to)
      return;
    rows.push_back(row);
    rows.back().Range = {static_cast<std::uint16_t>(from),
                         static_cast<std::uint16_t>(to)};
  };
  add(row.Range.From, part.From - 1);
  add(part.From, part.To);
  add(part.To + 1, row.Range.To);
  const auto at = static_cast<std::ptrdiff_t>(index);
  map.Rows.erase(map.Rows.begin() + at);
  map.Rows.insert(map.Rows.begin() + at, rows.begin(), rows.end());
  states.erase(states.begin() + at);
  states.insert(states.begin() + at, rows.size(), state);
}

/// Chooses moves for balance. The map announces them first, so that requests
/// for keys that are being released wait instead of being turned away.
void RangeLeader::startMoves(Time now) {
  if (now < NextMoveAt || InFlight || Stored.Rows.empty())
    return;
  Load.decay(now);
  NextMoveAt = now + Terms.MoveGap;
  const auto moving = std::ranges::count_if(
      States, [](const RowState &state) { return state.MoveTo.has_value(); });
  std::vector<RangeRow> future = Stored.Rows;
  for (std::size_t n = 0; n < future.size(); ++n)
    if (States[n].MoveTo)
      future[n].Owner = *States[n].MoveTo;
  const int most =
      std::max(LeastMoves,
               static_cast<int>(MovesPerUpstream *
                                static_cast<double>(Upstreams.size()))) -
      static_cast<int>(moving);
  const auto moves = planMoves(future, Upstreams, Load, most);
  RangeMap map = Stored;
  std::vector<RowState> states = States;
  for (const RangeMove &move : moves) {
    const auto it = std::ranges::find_if(map.Rows, [&](const RangeRow &row) {
      return row.Range.contains(move.Range.From);
    });
    const auto index = static_cast<std::size_t>(it - map.Rows.begin());
    const RowState &state = states[index];
    if (state.MoveTo || state.Step != Phase::Serving || mustLeave(*it, state) ||
        !it->Range.contains(move.Range.To))
      continue;
    splitRow(index, move.Range, map, states);
    for (std::size_t n = 0; n < map.Rows.size(); ++n)
      if (map.Rows[n].Range == move.Range) {
        map.Rows[n].IsMoving = true;
        states[n].MoveTo = move.To;
        states[n].NextOrderAt = now;
      }
    ++MovesStarted;
  }
  if (map.Rows == Stored.Rows)
    return;
  InFlight = std::move(map);
  InFlightStates = std::move(states);
}

/// @return the map that gives every range that is free to its next owner
std::optional<RangeMap> RangeLeader::planWrite(Time now) {
  RangeMap map = Stored;
  std::vector<RowState> states = States;
  bool isChanged = false;
  if (map.Rows.empty()) {
    if (now < FirstDivisionAt)
      return std::nullopt;
    map.Rows = divideKeys(Upstreams);
    for (RangeRow &row : map.Rows)
      row.Fence = map.NextFence++;
    states.assign(map.Rows.size(), {});
    isChanged = !map.Rows.empty();
  }
  for (std::size_t n = 0; n < Stored.Rows.size(); ++n) {
    RangeRow &row = map.Rows[n];
    RowState &state = states[n];
    if (mustLeave(row, state) && isTakeable(row, state, now)) {
      const RangeUpstream *target =
          state.MoveTo ? findUpstream(*state.MoveTo) : nullptr;
      if (target == nullptr || !target->IsEligible)
        target = leastLoaded(map.Rows, Upstreams, Load);
      if (target == nullptr)
        continue;
      row = {row.Range,       target->Id,     target->StartedAtMs,
             map.NextFence++, state.Handover, false};
      state = {};
      state.NeedsGrant = true;
      isChanged = true;
    } else if (const bool mustRefence =
                   state.NeedsFence ||
                   (mustLeave(row, state) && state.HasStrayOrders &&
                    state.Step != Phase::Released);
               mustRefence && liveOwner(row) != nullptr &&
               now >= state.NextOrderAt) {
      // Under a new fence that the owner has confirmed, no order of the old
      // one can take effect any more.
      row.Fence = map.NextFence++;
      row.Handover.clear();
      row.IsMoving = state.MoveTo.has_value();
      state.HasStrayOrders = false;
      state.NeedsFence = false;
      state.NeedsGrant = true;
      // Orders under the old fence may still arrive and count until then.
      for (const std::uint64_t id : state.Open)
        if (const auto open = Orders.find(id); open != Orders.end())
          state.HeldUntil = std::max(
              state.HeldUntil, now + Terms.OrderDeadline +
                                   longestRight(open->second.GrantDuration));
      state.Open.clear();
      state.Step = Phase::Serving;
      ++state.Refences;
      isChanged = true;
    } else if (row.IsMoving && !mustLeave(row, state) &&
               state.Step == Phase::Serving) {
      row.IsMoving = false; // an earlier leader's plan
      isChanged = true;
    }
  }
  if (!isChanged)
    return std::nullopt;
  for (std::size_t n = 0; n < map.Rows.size(); ++n)
    if (n >= Stored.Rows.size() || map.Rows[n].Fence != Stored.Rows[n].Fence)
      states[n].NextOrderAt = now;
  InFlightStates = std::move(states);
  return map;
}

void RangeLeader::sendOrder(std::size_t index, OrderKind kind,
                            const Endpoint &address, Time now,
                            RangeActions &actions) {
  const RangeRow &row = Stored.Rows[index];
  RowState &state = States[index];
  RangeOrder order{NextOrder++, kind,      row.Owner, address,
                   row.Range,   row.Fence, {},        ""};
  if (kind == OrderKind::Grant) {
    // A fence that only serves to take the range away needs no long right.
    order.GrantDuration = mustLeave(row, state) ? Terms.FenceHold
                          : IsStoreTroubled     ? Terms.MaxGrantDuration
                                                : Terms.GrantDuration;
    order.Handover = row.Handover;
    state.Open.insert(order.Id);
    state.NextOrderAt = now + Terms.RenewInterval;
  } else {
    state.Step = Phase::Releasing;
    state.NextOrderAt = now + seconds(4); // a release waits for running work
  }
  Orders.emplace(order.Id, order);
  actions.Orders.push_back(std::move(order));
}

void RangeLeader::sendOrders(Time now, RangeActions &actions) {
  for (std::size_t n = 0; n < Stored.Rows.size(); ++n) {
    const RangeRow &row = Stored.Rows[n];
    RowState &state = States[n];
    if (row.Owner.Value.empty() || isDead(row) || now < state.NextOrderAt)
      continue;
    if (InFlight && inFlightState(row) == nullptr)
      continue; // the row may have another owner already
    const RangeUpstream *owner = liveOwner(row);
    if (!mustLeave(row, state)) {
      if (state.Step != Phase::Serving) {
        // The move was given up: the owner gets the range back by a new fence.
        state.NeedsFence = true;
        state.NextOrderAt = now;
        continue;
      }
      if (state.Open.empty() && !state.NeedsFence)
        sendOrder(n, OrderKind::Grant, owner->Address, now, actions);
      continue;
    }
    if (owner == nullptr || state.Step == Phase::Released)
      continue;
    if (!state.Open.empty() || state.HasStrayOrders || state.NeedsFence)
      continue;
    sendOrder(n, state.NeedsGrant ? OrderKind::Grant : OrderKind::Release,
              owner->Address, now, actions);
  }
  mirrorStates();
}

/// @return the state that row @p row has once the write in flight is stored,
///   or nullptr when the write changes the row
RangeLeader::RowState *RangeLeader::inFlightState(const RangeRow &row) {
  const auto it = std::ranges::find(InFlight->Rows, row);
  return it == InFlight->Rows.end() ? nullptr
                                    : &InFlightStates[static_cast<std::size_t>(
                                          it - InFlight->Rows.begin())];
}

/// Rows that the write in flight leaves alone change state meanwhile.
void RangeLeader::mirrorStates() {
  if (!InFlight)
    return;
  for (std::size_t n = 0; n < Stored.Rows.size(); ++n)
    if (RowState *twin = inFlightState(Stored.Rows[n]))
      *twin = States[n];
}

void RangeLeader::keepWake(RangeActions &actions, Time now) const {
  const auto sooner = [&](Time time) {
    if (time > now)
      actions.WakeAt = std::min(actions.WakeAt, time);
  };
  sooner(NextMoveAt);
  sooner(FirstDivisionAt);
  for (std::size_t n = 0; n < States.size(); ++n) {
    sooner(States[n].NextOrderAt);
    if (mustLeave(Stored.Rows[n], States[n]))
      sooner(States[n].HeldUntil);
  }
}

RangeActions RangeLeader::step(Time now, bool mayOrder) {
  RangeActions actions;
  if (!mayOrder)
    return actions;
  if (!InFlight) {
    if (auto map = planWrite(now)) {
      InFlight = std::move(map);
      actions.Write = InFlight;
    }
  }
  if (!InFlight) {
    startMoves(now);
    if (InFlight)
      actions.Write = InFlight;
  }
  sendOrders(now, actions);
  keepWake(actions, now);
  return actions;
}

} // namespace waxwing
