/**
 * @file range_world.h
 * Simulation of the environment of RangeLeader: a store whose writes may go
 * unanswered or take effect late, upstreams with slow clocks, orders that are
 * lost, unanswered or executed seconds later, and leaders that are replaced
 * while their orders are in transit.
 */
#ifndef WAXWING_TESTS_RANGE_WORLD_H
#define WAXWING_TESTS_RANGE_WORLD_H

#include "ranges/range_leader_base.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace waxwing {

/// Probabilities of injected faults, per simulated step or per message.
struct RangeFaults {
  double OrderLost = 0.05;      ///< the order never arrives
  double AnswerLost = 0.05;     ///< the order is executed, its answer is lost
  double OrderLate = 0.05;      ///< unanswered, executed 2 to 12 s later
  double WriteUnanswered = 0.1; ///< applied at once, late or never
  double LeaderChange = 0.01;   ///< the leader is replaced
  double UpstreamCrash = 0.01;
  double UpstreamDrain = 0.01;
  /// The upstream leaves the list or returns; it runs on and keeps its keys.
  double UpstreamUnlisted = 0.01;
  /// The upstream becomes unreachable, or reachable again.
  double UpstreamUnreachable = 0.005;
};

/// Runs a RangeLeader against a simulated store and simulated upstreams.
class RangeWorld {
public:
  explicit RangeWorld(std::uint64_t seed, RangeFaults faults = {})
      : Random(seed), Faults(faults) {
    for (int n = 0; n < UpstreamCount; ++n)
      startUpstream(n);
    startLeader();
  }

  /// Simulates one step of time.
  /// @return description of a key with two owners, or nullopt
  std::optional<std::string> step() {
    Now += milliseconds(20 + static_cast<int>(Random() % 180));
    runDueActions();
    injectFaults();
    sendRequests();
    runLeader();
    return findTwoOwners();
  }

  /// @return number of sample keys that some upstream owns
  int countOwnedSampleKeys() const {
    return static_cast<int>(
        std::ranges::count_if(sampleKeys(), [&](std::uint16_t key) {
          return std::ranges::any_of(Upstreams, [&](const auto &entry) {
            return entry.second.owns(key, Now);
          });
        }));
  }
  static int sampleKeyCount() { return SampleCount; }
  /// Makes the upstream unreachable and unlisted. It keeps its keys until its
  /// grants end.
  void makeUnreachable(const std::string &name) {
    Upstreams.at(UpstreamId(name)).IsListed = false;
    Upstreams.at(UpstreamId(name)).IsUnreachable = true;
  }
  /// Replaces the leader at once.
  void replaceLeader() { startLeader(); }
  Time now() const { return Now; }
  /// Stops injecting faults and makes all upstreams listed, reachable and
  /// not draining.
  void stopFaults() {
    Faults = {0, 0, 0, 0, 0, 0, 0, 0, 0};
    for (auto &[name, upstream] : Upstreams) {
      upstream.IsListed = true;
      upstream.IsDraining = false;
      upstream.IsUnreachable = false;
    }
  }
  std::uint64_t moves() const { return Moves; }

private:
  static constexpr int UpstreamCount = 5;
  static constexpr int SampleCount = 64;
  /// Factor by which the slow clock of an upstream extends its grants.
  static constexpr double SlowClockFactor = 1.02;

  /// A range that an upstream owns.
  struct Grant {
    KeyRange Range;
    std::uint64_t Fence;
    Time Until;
  };
  /// One process of an upstream.
  struct FakeUpstream {
    UpstreamId Id;
    std::int64_t StartedAtMs = 0;
    bool IsListed = true;
    bool IsDraining = false;
    bool IsUnreachable = false; ///< connections to it time out
    std::vector<Grant> Grants;
    /// Highest fencing token seen for each sample key.
    std::map<std::uint16_t, std::uint64_t> SeenFence;

    bool owns(std::uint16_t key, Time now) const {
      return std::ranges::any_of(Grants, [&](const Grant &grant) {
        return grant.Range.contains(key) && now < grant.Until;
      });
    }
  };

  static std::vector<std::uint16_t> sampleKeys() {
    std::vector<std::uint16_t> keys;
    keys.reserve(SampleCount);
    for (int n = 0; n < SampleCount; ++n)
      keys.push_back(static_cast<std::uint16_t>(n * 1031 % 65536));
    return keys;
  }

  double draw() { return std::uniform_real_distribution<>(0, 1)(Random); }
  bool happens(double probability) { return draw() < probability; }
  void schedule(Duration after, std::function<void()> action) {
    ScheduledActions.emplace(Now + after, std::move(action));
  }
  void runDueActions() {
    while (!ScheduledActions.empty() &&
           ScheduledActions.begin()->first <= Now) {
      const auto action = std::move(ScheduledActions.begin()->second);
      ScheduledActions.erase(ScheduledActions.begin());
      action();
    }
  }

  void startUpstream(int n) {
    FakeUpstream upstream;
    upstream.Id = UpstreamId("u" + std::to_string(n));
    upstream.StartedAtMs = ++LastStartedAtMs;
    Upstreams[upstream.Id] = upstream;
  }

  void startLeader() {
    Leader = std::make_unique<RangeLeader>(RangeTimings{}, Store, Now);
    ++Term;
    MaySendOrders = true;
  }

  void injectFaults() {
    if (happens(Faults.LeaderChange)) {
      // The old leader stops when its lease ends; its orders remain in transit.
      MaySendOrders = false;
      ++Term;
      schedule(milliseconds(Random() % 3000), [this] { startLeader(); });
    }
    for (auto &[name, upstream] : Upstreams) {
      if (happens(Faults.UpstreamCrash)) {
        const UpstreamId id = upstream.Id;
        upstream = {};
        upstream.Id = id;
        upstream.StartedAtMs = ++LastStartedAtMs;
      }
      if (happens(Faults.UpstreamDrain))
        upstream.IsDraining = !upstream.IsDraining;
      if (happens(Faults.UpstreamUnreachable))
        upstream.IsUnreachable = !upstream.IsUnreachable;
      if (happens(Faults.UpstreamUnlisted))
        upstream.IsListed = !upstream.IsListed;
    }
  }

  void sendRequests() {
    for (int n = 0; n < 5; ++n)
      Leader->recordKeyRequest(static_cast<std::uint16_t>(
          happens(0.5) ? HotKey + Random() % 100 : Random() % 65536));
    if (happens(0.01))
      HotKey = static_cast<std::uint16_t>(Random() % 65000);
  }

  void runLeader() {
    if (!MaySendOrders)
      return;
    std::vector<RangeUpstream> upstreams;
    for (const auto &[name, upstream] : Upstreams) {
      RangeUpstream state;
      state.Id = upstream.Id;
      state.StartedAtMs = upstream.StartedAtMs;
      state.Slots = 4;
      state.ProcessingSeconds = 0.2;
      state.IsEligible = upstream.IsListed && !upstream.IsDraining;
      upstreams.push_back(state);
    }
    Leader->setUpstreams(upstreams, Now);
    const RangeActions actions = Leader->step(Now, true);
    if (actions.Write)
      writeMap(*actions.Write);
    for (const RangeOrder &order : actions.Orders)
      sendOrder(order);
    Moves = std::max(Moves, Leader->startedMoveCount());
  }

  /// Writes the map, provided that its revision is unchanged and that the
  /// leader's key still exists; the key is removed when its leadership ends.
  /// @return true when both conditions held
  bool applyWrite(const RangeMap &map, int term) {
    if (map.Revision != Store.Revision || term != Term)
      return false;
    Store = map;
    Store.Revision = ++LastRevision;
    return true;
  }

  void writeMap(const RangeMap &map) {
    const int term = Term;
    if (!happens(Faults.WriteUnanswered)) {
      const bool isApplied = applyWrite(map, term);
      const std::uint64_t revision = Store.Revision;
      schedule(milliseconds(4), [this, term, isApplied, revision] {
        if (term != Term)
          return;
        if (isApplied)
          Leader->onWriteApplied(revision);
        else
          Leader->onWriteFailed(Store, Now);
      });
      return;
    }
    const double outcome = draw();
    if (outcome < 0.4)
      applyWrite(map, term);
    else if (outcome < 0.8)
      schedule(milliseconds(Random() % 6000),
               [this, map, term] { applyWrite(map, term); });
    schedule(milliseconds(1500 + Random() % 500), [this, term] {
      if (term == Term)
        Leader->onWriteFailed(Store, Now);
    });
  }

  void scheduleAnswer(const RangeOrder &order, OrderOutcome outcome,
                      Duration after, const std::string &handover = "") {
    const int term = Term;
    schedule(after, [this, order, outcome, handover, term] {
      if (term == Term)
        Leader->onOrder(order.Id, outcome, handover, Now);
    });
  }

  void sendOrder(const RangeOrder &order) {
    const auto target = Upstreams.find(order.Upstream);
    if (target == Upstreams.end()) {
      scheduleAnswer(order, OrderOutcome::NotDelivered, milliseconds(2));
      return;
    }
    if (target->second.IsUnreachable) {
      scheduleAnswer(order, OrderOutcome::NotDelivered, milliseconds(1000));
      return;
    }
    const std::int64_t startedAtMs = target->second.StartedAtMs;
    const Time arrivedAt = Now;
    if (happens(Faults.OrderLost)) {
      scheduleAnswer(order, OrderOutcome::Unanswered, milliseconds(1000));
      return;
    }
    if (happens(Faults.OrderLate)) {
      schedule(milliseconds(2000 + Random() % 10000),
               [this, order, startedAtMs, arrivedAt] {
                 execute(order, startedAtMs, arrivedAt);
               });
      scheduleAnswer(order, OrderOutcome::Unanswered, milliseconds(1000));
      return;
    }
    const bool isAccepted = execute(order, startedAtMs, arrivedAt);
    if (happens(Faults.AnswerLost))
      scheduleAnswer(order, OrderOutcome::Unanswered, milliseconds(1000));
    else
      scheduleAnswer(order,
                     isAccepted ? OrderOutcome::Accepted
                                : OrderOutcome::HigherFence,
                     milliseconds(1 + Random() % 100), "h");
  }

  /// Executes @p order at its upstream, unless the process with
  /// @p startedAtMs, to which it was sent, has ended.
  /// @return false when the upstream has seen a higher fencing token
  bool execute(const RangeOrder &order, std::int64_t startedAtMs,
               Time arrivedAt) {
    FakeUpstream &upstream = Upstreams[order.Upstream];
    if (upstream.StartedAtMs != startedAtMs)
      return true; // the process that it was sent to has ended
    if (order.Kind == OrderKind::Release) {
      std::vector<Grant> rest;
      for (const Grant &grant : upstream.Grants)
        subtractRange(grant, order.Range, rest);
      upstream.Grants = rest;
      return true;
    }
    for (const std::uint16_t key : sampleKeys())
      if (order.Range.contains(key) && upstream.SeenFence[key] > order.Fence)
        return false;
    for (const std::uint16_t key : sampleKeys())
      if (order.Range.contains(key))
        upstream.SeenFence[key] = order.Fence;
    const Time until = arrivedAt + std::chrono::duration_cast<Duration>(
                                       SlowClockFactor * order.GrantDuration);
    upstream.Grants.push_back({order.Range, order.Fence, until});
    return true;
  }

  /// Appends the parts of @p grant that are outside of @p range.
  static void subtractRange(const Grant &grant, const KeyRange &range,
                            std::vector<Grant> &rest) {
    const auto add = [&](int from, int to) {
      if (from <= to)
        rest.push_back(
            {{static_cast<std::uint16_t>(from), static_cast<std::uint16_t>(to)},
             grant.Fence,
             grant.Until});
    };
    add(grant.Range.From, std::min<int>(grant.Range.To, range.From - 1));
    add(std::max<int>(grant.Range.From, range.To + 1), grant.Range.To);
  }

  std::optional<std::string> findTwoOwners() const {
    for (const std::uint16_t key : sampleKeys()) {
      const FakeUpstream *owner = nullptr;
      for (const auto &[name, upstream] : Upstreams) {
        if (!upstream.owns(key, Now))
          continue;
        if (owner != nullptr)
          return "key " + std::to_string(key) + " is owned by " +
                 owner->Id.Value + " and " + upstream.Id.Value;
        owner = &upstream;
      }
    }
    return std::nullopt;
  }

  std::mt19937_64 Random;
  RangeFaults Faults;
  Time Now{seconds(1000)};
  std::multimap<Time, std::function<void()>> ScheduledActions; ///< by due time
  std::map<UpstreamId, FakeUpstream> Upstreams;
  std::unique_ptr<RangeLeader> Leader;
  RangeMap Store;
  std::uint64_t LastRevision = 1;
  std::int64_t LastStartedAtMs = 0; ///< start time of the newest process
  std::uint64_t Moves = 0;
  int Term = 0; ///< leadership term; results from earlier ones are dropped
  bool MaySendOrders = false;
  std::uint16_t HotKey = 1000; ///< first of 100 hot keys
};

} // namespace waxwing

#endif
