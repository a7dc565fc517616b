/**
 * @file range_leader.cpp
 * Tracks until when owners may serve their ranges, and issues grants, releases
 * and writes of the map accordingly.
 */
#include "ranges/range_leader_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Longest time that an order may spend in transit to the upstream; added to
/// the duration of the grant to get the latest end of the ownership.
constexpr Duration MaxOrderTransit = milliseconds(300);
/// Delay before the next order for a key range when an order was not executed.
constexpr Duration OrderRetryDelay = milliseconds(300);
/// Concurrent moves for load balancing: a minimum for any service, and a number
/// relative to its upstreams. A hot range of a large service must be spread
/// over many upstreams at once.
constexpr int MinConcurrentMoves = 4;
constexpr double ConcurrentMovesPerUpstream = 0.25;
/// Bits of a fencing token that count within one epoch of the store.
constexpr int FenceCounterBits = 32;

/// @return the least fencing token of grants in @p epoch
std::uint64_t firstFence(StoreEpoch epoch) {
  return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(epoch)
                                        << FenceCounterBits);
}

} // namespace

RangeLeader::RangeLeader(const RangeTimings &timings, RangeMap map, Time now,
                         EpochInfo epoch)
    : Timings(timings), Epoch(epoch) {
  adoptMap(std::move(map), now);
  // A map that was lost in the restoration may have given grants as well.
  if (StoredMap.Rows.empty() && Epoch.mayHaveEarlier())
    awaitFormerGrants(Epoch.BegunAt == Time() ? now : Epoch.BegunAt);
  NextBalancingAt = now + Timings.InitialDivisionDelay;
}

void RangeLeader::awaitFormerGrants(Time now) {
  // A leader of the earlier epoch that does not know of the restoration sends
  // grants until its lease ends. A process that has known no earlier epoch does
  // not know when the restoration was.
  const Time begunAt = Epoch.BegunAt == Time() ? now : Epoch.BegunAt;
  FormerGrantsUntil = std::max(now, begunAt + Timings.LeaderLease) +
                      maxOwnershipDuration(Timings.MaxGrantDuration);
  for (RangeOwnershipState &state : States) {
    state.HeldUntil = FormerGrantsUntil;
    state.NextOrderAt = FormerGrantsUntil;
    state.NeedsNewFence = true;
    state.IsUnverified = true;
  }
}

bool RangeLeader::resumeInEpoch(StoreRevision storedRevision, EpochInfo epoch,
                                Time entriesCurrentAt, Time now) {
  // Every other leader adopted the map after this one had acted for the last
  // time. It gave keys to others only after their owner had confirmed a higher
  // fencing token or had ended, or after the longest ownership.
  const bool mayHaveLostKeys =
      LastActedAt == Time() ||
      now >= LastActedAt + maxOwnershipDuration(Timings.MaxGrantDuration);
  // The restored map is newer than the last one known here: another leader, or
  // a write of this one with an unknown result, has stored it.
  const bool isStoredMapNewer =
      counterOf(storedRevision) > counterOf(StoredMap.Revision);
  if (storedRevision == 0 || StoredMap.Rows.empty() ||
      StoredMap.Epoch >= epoch.Epoch || isStoredMapNewer || mayHaveLostKeys)
    return false;
  std::vector<bool> mayBeVerified;
  mayBeVerified.reserve(States.size());
  for (std::size_t n = 0; n < States.size(); ++n)
    mayBeVerified.push_back(!States[n].NeedsNewFence &&
                            !mayBeReassigned(StoredMap.Rows[n]));
  Epoch = epoch;
  EntriesCurrentAt = entriesCurrentAt;
  IsStoreUnavailable = false;
  Orders.clear();
  StoredMap.Revision = storedRevision;
  adoptMap(StoredMap, now);
  for (std::size_t n = 0; n < States.size(); ++n)
    if (mayBeVerified[n]) {
      States[n].NeedsNewFence = false;
      States[n].NextOrderAt = now;
    }
  NextBalancingAt = now + Timings.InitialDivisionDelay;
  return true;
}

bool RangeLeader::mayBeReassigned(const RangeRow &row) const {
  return InFlightMap &&
         std::ranges::any_of(InFlightMap->Rows, [&](const RangeRow &next) {
           return next.Range.From <= row.Range.To &&
                  row.Range.From <= next.Range.To &&
                  (next.Owner != row.Owner ||
                   next.OwnerStartedAtMs != row.OwnerStartedAtMs);
         });
}

bool RangeLeader::isAwaitingFormerGrants(Time now) const {
  return now < FormerGrantsUntil &&
         (StoredMap.Rows.empty() ||
          std::ranges::any_of(States, &RangeOwnershipState::IsUnverified));
}

void RangeLeader::verifyOwners(Time now, RangeActions &actions) {
  actions.WakeAt = FormerGrantsUntil;
  if (now < EntriesCurrentAt) {
    actions.WakeAt = std::min(actions.WakeAt, EntriesCurrentAt);
    return;
  }
  for (std::size_t n = 0; n < StoredMap.Rows.size(); ++n) {
    const RangeUpstream *owner = liveOwner(StoredMap.Rows[n]);
    const RangeOwnershipState &state = States[n];
    if (owner != nullptr && !isOwnerDead(StoredMap.Rows[n]) &&
        !state.NeedsNewFence && state.PendingGrants.empty() &&
        now >= state.NextOrderAt)
      sendOrder(n, OrderKind::Grant, owner->Address, now, actions);
  }
  setWakeTime(actions, now);
}

Duration RangeLeader::maxOwnershipDuration(Duration grantDuration) const {
  return addClockDrift(grantDuration, Timings.DriftPpm) + MaxOrderTransit;
}

/// Adopts a map that this leader did not write. Each owner may keep its keys
/// for the longest possible grant from now, since another leader may have sent
/// one.
void RangeLeader::adoptMap(RangeMap map, Time now) {
  StoredMap = std::move(map);
  InFlightMap.reset();
  States.assign(StoredMap.Rows.size(), {});
  for (RangeOwnershipState &state : States) {
    state.HeldUntil = now + maxOwnershipDuration(Timings.MaxGrantDuration);
    state.NextOrderAt = now;
    state.MayHaveLateOrders = true;
  }
  if (isMapOfEarlierEpoch())
    awaitFormerGrants(now);
}

void RangeLeader::setUpstreams(std::vector<RangeUpstream> upstreams, Time now) {
  Upstreams = std::move(upstreams);
  std::ranges::sort(Upstreams, {}, &RangeUpstream::Id);
  const auto eligible =
      std::ranges::count_if(Upstreams, &RangeUpstream::IsEligible);
  if (eligible > MaxEligibleSeen) {
    // Upstreams are still joining; keys divided now would have to be moved
    // right afterwards.
    MaxEligibleSeen = eligible;
    if (FirstEligibleAt == Time::max())
      FirstEligibleAt = now;
    EarliestDivisionAt =
        std::min(now + Timings.InitialDivisionDelay,
                 FirstEligibleAt + 3 * Timings.InitialDivisionDelay);
  }
}

void RangeLeader::setStoreUnavailable(bool isUnavailable, Time now) {
  if (isUnavailable && !IsStoreUnavailable)
    // Leadership may end before the grants are due for renewal: renew at once.
    for (RangeOwnershipState &state : States)
      if (state.CurrentPhase == ReleasePhase::Serving)
        state.NextOrderAt = std::min(state.NextOrderAt, now);
  IsStoreUnavailable = isUnavailable;
}

void RangeLeader::markUpstreamDead(const UpstreamId &id,
                                   std::int64_t startedAtMs) {
  DeadProcesses.insert({id, startedAtMs});
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

bool RangeLeader::isOwnerDead(const RangeRow &row) const {
  return row.Owner.Value.empty() ||
         DeadProcesses.contains({row.Owner, row.OwnerStartedAtMs});
}

const RangeUpstream *RangeLeader::restartedOwner(const RangeRow &row) const {
  const RangeUpstream *upstream = findUpstream(row.Owner);
  return upstream != nullptr && upstream->StartedAtMs > row.OwnerStartedAtMs
             ? upstream
             : nullptr;
}

bool RangeLeader::mustChangeOwner(const RangeRow &row,
                                  const RangeOwnershipState &state) const {
  const RangeUpstream *owner = liveOwner(row);
  return owner == nullptr || !owner->IsEligible || state.MoveTarget.has_value();
}

bool RangeLeader::canReassign(const RangeRow &row,
                              const RangeOwnershipState &state,
                              Time now) const {
  if (isOwnerDead(row))
    return state.PendingGrants.empty() &&
           (!state.IsGrantedAfterEnd || now >= state.HeldUntil);
  if (state.PendingGrants.empty() && now >= state.HeldUntil)
    return true;
  return state.CurrentPhase == ReleasePhase::Released &&
         state.PendingGrants.empty() && !state.MayHaveLateOrders;
}

/// @return exponentially increasing delay between orders to an owner that does
///   not answer
Duration RangeLeader::retryDelay(const RangeOwnershipState &state) {
  constexpr int maxDoublings = 4;
  return OrderRetryDelay * (1 << std::min(state.RetryCount, maxDoublings));
}

void RangeLeader::onOrder(std::uint64_t id, OrderOutcome outcome,
                          const std::string &handover, Time now) {
  const auto found = Orders.find(id);
  if (found == Orders.end())
    return;
  const RangeOrder order = std::move(found->second);
  Orders.erase(found);
  const auto apply = [&](const RangeRow &row, RangeOwnershipState &state) {
    const bool isAffected =
        row.Owner == order.Upstream && row.Fence == order.Fence &&
        order.Range.From <= row.Range.From && row.Range.To <= order.Range.To;
    if (!isAffected)
      return;
    state.PendingGrants.erase(id);
    if (order.Kind == OrderKind::Grant && isOwnerDead(row) &&
        outcome != OrderOutcome::NotDelivered)
      state.IsGrantedAfterEnd = true;
    if (order.Kind == OrderKind::Release) {
      if (outcome == OrderOutcome::Accepted) {
        state.CurrentPhase = ReleasePhase::Released;
        state.Handover = handover;
      } else if (state.CurrentPhase == ReleasePhase::Releasing) {
        state.NextOrderAt = now + OrderRetryDelay;
      }
      return;
    }
    switch (outcome) {
    case OrderOutcome::Accepted:
      state.NeedsGrant = false;
      // Another owner would have needed this owner's consent to a higher
      // fencing token.
      state.IsUnverified = false;
      state.RetryCount = 0;
      state.HeldUntil = std::max(
          state.HeldUntil, now + maxOwnershipDuration(order.GrantDuration));
      break;
    case OrderOutcome::HigherFence:
      state.NeedsNewFence = true;
      state.NextOrderAt = now + OrderRetryDelay;
      break;
    case OrderOutcome::NotDelivered:
      state.NextOrderAt = now + retryDelay(state);
      ++state.RetryCount;
      break;
    case OrderOutcome::Unanswered:
      state.MayHaveLateOrders = true;
      state.HeldUntil = std::max(
          state.HeldUntil, now + maxOwnershipDuration(order.GrantDuration));
      state.NextOrderAt = now + retryDelay(state);
      break;
    }
  };
  for (std::size_t n = 0; n < StoredMap.Rows.size(); ++n)
    apply(StoredMap.Rows[n], States[n]);
  if (InFlightMap)
    for (std::size_t n = 0; n < InFlightMap->Rows.size(); ++n)
      apply(InFlightMap->Rows[n], InFlightStates[n]);
}

void RangeLeader::onWriteApplied(std::uint64_t revision) {
  if (!InFlightMap)
    return;
  StoredMap = *std::move(InFlightMap);
  StoredMap.Revision = revision;
  States = std::move(InFlightStates);
  InFlightMap.reset();
  InFlightStates.clear();
}

void RangeLeader::onWriteFailed(RangeMap stored, Time now) {
  const bool isOwnWrite = InFlightMap &&
                          stored.Revision != StoredMap.Revision &&
                          stored.NextFence == InFlightMap->NextFence &&
                          stored.Rows == InFlightMap->Rows;
  if (isOwnWrite) {
    onWriteApplied(stored.Revision);
    return;
  }
  if (stored.Revision == StoredMap.Revision) {
    // The write may still take effect later. Rows that it changes are granted
    // again only after a later write has stored a new fencing token for them.
    for (std::size_t n = 0; InFlightMap && n < StoredMap.Rows.size(); ++n)
      if (inFlightState(StoredMap.Rows[n]) == nullptr)
        States[n].NeedsNewFence = true;
    InFlightMap.reset();
    InFlightStates.clear();
    return;
  }
  if (stored.Revision > StoredMap.Revision)
    adoptMap(std::move(stored), now);
}

void RangeLeader::splitRow(std::size_t index, const KeyRange &part,
                           RangeMap &map,
                           std::vector<RangeOwnershipState> &states) const {
  const RangeRow row = map.Rows[index];
  const RangeOwnershipState state = states[index];
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

/// Plans moves for load balancing. The map announces them before the ranges are
/// released, so that requests for their keys are queued instead of refused.
void RangeLeader::startBalancingMoves(Time now) {
  if (now < NextBalancingAt || InFlightMap || StoredMap.Rows.empty())
    return;
  RequestRates.decay(now);
  NextBalancingAt = now + Timings.MoveInterval;
  const auto movesUnderWay =
      std::ranges::count_if(States, [](const RangeOwnershipState &state) {
        return state.MoveTarget.has_value();
      });
  std::vector<RangeRow> plannedRows = StoredMap.Rows;
  for (std::size_t n = 0; n < plannedRows.size(); ++n)
    if (States[n].MoveTarget)
      plannedRows[n].Owner = *States[n].MoveTarget;
  const int maxMoves =
      std::max(MinConcurrentMoves,
               static_cast<int>(ConcurrentMovesPerUpstream *
                                static_cast<double>(Upstreams.size()))) -
      static_cast<int>(movesUnderWay);
  const auto moves = planMoves(plannedRows, Upstreams, RequestRates, maxMoves);
  RangeMap map = StoredMap;
  std::vector<RangeOwnershipState> states = States;
  for (const RangeMove &move : moves) {
    const auto it = std::ranges::find_if(map.Rows, [&](const RangeRow &row) {
      return row.Range.contains(move.Range.From);
    });
    const auto index = static_cast<std::size_t>(it - map.Rows.begin());
    const RangeOwnershipState &state = states[index];
    if (state.MoveTarget || state.CurrentPhase != ReleasePhase::Serving ||
        mustChangeOwner(*it, state) || !it->Range.contains(move.Range.To))
      continue;
    splitRow(index, move.Range, map, states);
    for (std::size_t n = 0; n < map.Rows.size(); ++n)
      if (map.Rows[n].Range == move.Range) {
        map.Rows[n].IsMoving = true;
        states[n].MoveTarget = move.To;
        states[n].NextOrderAt = now;
      }
    ++MovesStarted;
  }
  if (map.Rows == StoredMap.Rows)
    return;
  InFlightMap = std::move(map);
  InFlightStates = std::move(states);
}

/// Gives the row at @p index of @p map a new fencing token. Once the owner has
/// confirmed it, no order under the old token can take effect.
void RangeLeader::renewFence(RangeMap &map, std::size_t index,
                             RangeOwnershipState &state, Time now) const {
  RangeRow &row = map.Rows[index];
  row.Fence = map.NextFence++;
  row.Handover.clear();
  row.IsMoving = state.MoveTarget.has_value();
  state.MayHaveLateOrders = false;
  state.NeedsNewFence = false;
  state.IsUnverified = false;
  state.NeedsGrant = true;
  // Until the owner confirms it, grants under the old token may still arrive
  // and extend the ownership.
  for (const std::uint64_t id : state.PendingGrants)
    if (const auto open = Orders.find(id); open != Orders.end())
      state.HeldUntil =
          std::max(state.HeldUntil,
                   now + Timings.OrderDeadline +
                       maxOwnershipDuration(open->second.GrantDuration));
  state.PendingGrants.clear();
  state.CurrentPhase = ReleasePhase::Serving;
  ++state.RetryCount;
}

/// A grant that was sent to a process of an upstream may have reached its next
/// one. The new process therefore keeps the ranges, under new fencing tokens,
/// until it has released them.
/// @return true when a row of @p map was changed
bool RangeLeader::followRestartedOwners(
    RangeMap &map, std::vector<RangeOwnershipState> &states, Time now) const {
  std::vector<RangeRow> plannedRows = map.Rows;
  for (std::size_t n = 0; n < plannedRows.size(); ++n)
    if (states[n].MoveTarget)
      plannedRows[n].Owner = *states[n].MoveTarget;
  bool isChanged = false;
  for (std::size_t n = 0; n < map.Rows.size(); ++n) {
    RangeRow &row = map.Rows[n];
    const RangeUpstream *process = restartedOwner(row);
    if (process == nullptr || isOwnerDead(row) || states[n].IsUnverified)
      continue;
    const RangeUpstream *target =
        findLeastLoaded(plannedRows, Upstreams, RequestRates);
    if (!states[n].MoveTarget && target != nullptr && target->Id != row.Owner) {
      states[n].MoveTarget = target->Id;
      plannedRows[n].Owner = target->Id;
    }
    row.OwnerStartedAtMs = process->StartedAtMs;
    renewFence(map, n, states[n], now);
    isChanged = true;
  }
  return isChanged;
}

/// @return the map in which every range that may be reassigned has its next
///   owner, or nullopt when nothing changes
std::optional<RangeMap> RangeLeader::planWrite(Time now) {
  RangeMap map = StoredMap;
  // Fencing tokens rise across restorations of the store.
  map.NextFence = std::max(map.NextFence, firstFence(Epoch.Epoch));
  std::vector<RangeOwnershipState> states = States;
  bool isChanged = isMapOfEarlierEpoch();
  if (map.Rows.empty()) {
    if (now < EarliestDivisionAt)
      return std::nullopt;
    map.Rows = divideKeys(Upstreams);
    for (RangeRow &row : map.Rows)
      row.Fence = map.NextFence++;
    states.assign(map.Rows.size(), {});
    isChanged = !map.Rows.empty();
  }
  isChanged |= followRestartedOwners(map, states, now);
  for (std::size_t n = 0; n < StoredMap.Rows.size(); ++n) {
    RangeRow &row = map.Rows[n];
    RangeOwnershipState &state = states[n];
    const RangeUpstream *target = nullptr;
    if (mustChangeOwner(row, state) && canReassign(row, state, now)) {
      target = state.MoveTarget ? findUpstream(*state.MoveTarget) : nullptr;
      if (target == nullptr || !target->IsEligible)
        target = findLeastLoaded(map.Rows, Upstreams, RequestRates);
      if (target == nullptr && !state.IsUnverified)
        continue;
    }
    if (target != nullptr) {
      row = {row.Range,       target->Id,     target->StartedAtMs,
             map.NextFence++, state.Handover, false};
      state = {};
      state.NeedsGrant = true;
      isChanged = true;
    } else if (const bool needsNewFence =
                   state.NeedsNewFence ||
                   (mustChangeOwner(row, state) && state.MayHaveLateOrders &&
                    state.CurrentPhase != ReleasePhase::Released);
               state.IsUnverified ||
               (needsNewFence && liveOwner(row) != nullptr &&
                now >= state.NextOrderAt)) {
      renewFence(map, n, state, now);
      isChanged = true;
    } else if (row.IsMoving && !mustChangeOwner(row, state) &&
               state.CurrentPhase == ReleasePhase::Serving) {
      row.IsMoving = false; // the move was planned by an earlier leader
      isChanged = true;
    }
  }
  if (!isChanged)
    return std::nullopt;
  for (std::size_t n = 0; n < map.Rows.size(); ++n)
    if (n >= StoredMap.Rows.size() ||
        map.Rows[n].Fence != StoredMap.Rows[n].Fence)
      states[n].NextOrderAt = now;
  InFlightStates = std::move(states);
  map.Epoch = Epoch.Epoch;
  return map;
}

void RangeLeader::sendOrder(std::size_t index, OrderKind kind,
                            const Endpoint &address, Time now,
                            RangeActions &actions) {
  const RangeRow &row = StoredMap.Rows[index];
  RangeOwnershipState &state = States[index];
  RangeOrder order{NextOrderId++, kind,      row.Owner, address,
                   row.Range,     row.Fence, {},        ""};
  if (kind == OrderKind::Grant) {
    // A grant that only establishes a new fencing token before a release is
    // kept short.
    order.GrantDuration = state.NeedsGrant && mustChangeOwner(row, state)
                              ? Timings.FencingGrantDuration
                          : IsStoreUnavailable ? Timings.MaxGrantDuration
                                               : Timings.GrantDuration;
    order.Handover = row.Handover;
    state.PendingGrants.insert(order.Id);
    state.NextOrderAt = now + Timings.RenewInterval;
  } else {
    state.CurrentPhase = ReleasePhase::Releasing;
    // A release is answered only once the running requests have ended.
    state.NextOrderAt = now + seconds(4);
  }
  Orders.emplace(order.Id, order);
  actions.Orders.push_back(std::move(order));
}

void RangeLeader::sendOrders(Time now, RangeActions &actions) {
  for (std::size_t n = 0; n < StoredMap.Rows.size(); ++n) {
    const RangeRow &row = StoredMap.Rows[n];
    RangeOwnershipState &state = States[n];
    if (row.Owner.Value.empty() || isOwnerDead(row) || now < state.NextOrderAt)
      continue;
    if (InFlightMap && inFlightState(row) == nullptr)
      continue; // the unfinished write may already have changed the owner
    const RangeUpstream *owner = liveOwner(row);
    if (!mustChangeOwner(row, state)) {
      if (state.CurrentPhase != ReleasePhase::Serving) {
        // The move was cancelled: the owner gets the range back under a new
        // fencing token.
        state.NeedsNewFence = true;
        state.NextOrderAt = now;
        continue;
      }
      if (state.PendingGrants.empty() && !state.NeedsNewFence)
        sendOrder(n, OrderKind::Grant, owner->Address, now, actions);
      continue;
    }
    if (owner == nullptr || state.CurrentPhase == ReleasePhase::Released)
      continue;
    if (!state.PendingGrants.empty() || state.MayHaveLateOrders ||
        state.NeedsNewFence)
      continue;
    sendOrder(n, state.NeedsGrant ? OrderKind::Grant : OrderKind::Release,
              owner->Address, now, actions);
  }
  copyUnchangedStates();
}

RangeLeader::RangeOwnershipState *
RangeLeader::inFlightState(const RangeRow &row) {
  const auto it = std::ranges::find(InFlightMap->Rows, row);
  return it == InFlightMap->Rows.end()
             ? nullptr
             : &InFlightStates[static_cast<std::size_t>(
                   it - InFlightMap->Rows.begin())];
}

/// Copies the states of rows that the unfinished write does not change to
/// InFlightStates, since they may have changed after the write was planned.
void RangeLeader::copyUnchangedStates() {
  if (!InFlightMap)
    return;
  for (std::size_t n = 0; n < StoredMap.Rows.size(); ++n)
    if (RangeOwnershipState *pendingState = inFlightState(StoredMap.Rows[n]))
      *pendingState = States[n];
}

/// Sets WakeAt to the next time at which step() has work to do.
void RangeLeader::setWakeTime(RangeActions &actions, Time now) const {
  const auto wakeAt = [&](Time time) {
    if (time > now)
      actions.WakeAt = std::min(actions.WakeAt, time);
  };
  wakeAt(NextBalancingAt);
  wakeAt(EarliestDivisionAt);
  for (std::size_t n = 0; n < States.size(); ++n) {
    wakeAt(States[n].NextOrderAt);
    if (mustChangeOwner(StoredMap.Rows[n], States[n]))
      wakeAt(States[n].HeldUntil);
  }
}

RangeActions RangeLeader::step(Time now, bool maySendOrders) {
  RangeActions actions;
  if (!maySendOrders)
    return actions;
  LastActedAt = now;
  if (isAwaitingFormerGrants(now)) {
    verifyOwners(now, actions);
    return actions;
  }
  if (!InFlightMap) {
    if (auto map = planWrite(now)) {
      InFlightMap = std::move(map);
      actions.Write = InFlightMap;
    }
  }
  if (!InFlightMap) {
    startBalancingMoves(now);
    if (InFlightMap)
      actions.Write = InFlightMap;
  }
  sendOrders(now, actions);
  setWakeTime(actions, now);
  return actions;
}

} // namespace waxwing
