/**
 * @file range_world.h
 * A world around RangeLeader: a store whose writes may go unanswered or take
 * effect late, upstreams that keep grants by clocks that run slow, orders
 * that are lost, answered or carried out seconds later, and leaders that are
 * replaced while their orders are under way.
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

/// What goes wrong in a history; probabilities of each step or message.
struct RangeFaults {
  double OrderLost = 0.05;      ///< never arrives, no answer
  double AnswerLost = 0.05;     ///< arrives, no answer
  double OrderLate = 0.05;      ///< no answer, carried out 2 to 12 s later
  double WriteUnanswered = 0.1; ///< takes effect or not, now or later
  double LeaderChange = 0.01;   ///< in each step
  double UpstreamCrash = 0.01;
  double UpstreamDrain = 0.01;
  double UpstreamCut = 0.01;   ///< leaves the list, but lives and keeps keys
  double UpstreamDark = 0.005; ///< is not reached for some time
};

class RangeWorld {
public:
  explicit RangeWorld(std::uint64_t seed, RangeFaults faults = {})
      : Random(seed), Faults(faults) {
    for (int n = 0; n < UpstreamCount; ++n)
      start(n);
    lead();
  }

  /// Lets one step of time pass. @return a description of two owners of one
  /// key, or nullopt
  std::optional<std::string> step() {
    Now += milliseconds(20 + static_cast<int>(Random() % 180));
    runDue();
    disturb();
    request();
    act();
    return findTwoOwners();
  }

  /// @return keys of the sample that some live upstream holds
  int heldKeys() const {
    return static_cast<int>(
        std::ranges::count_if(sampleKeys(), [&](std::uint16_t key) {
          return std::ranges::any_of(Upstreams, [&](const auto &entry) {
            return entry.second.holds(key, Now);
          });
        }));
  }
  static int sampleSize() { return SampleCount; }
  /// The upstream is not reached and not listed any more, but keeps its keys
  /// until its grants end.
  void darken(const std::string &name) {
    Upstreams.at(UpstreamId(name)).IsListed = false;
    Upstreams.at(UpstreamId(name)).IsDark = true;
  }
  /// The leader is lost and replaced at once.
  void replaceLeader() { lead(); }
  Time now() const { return Now; }
  /// Ends all faults; returns after enough time for every right to end.
  void calm() {
    Faults = {0, 0, 0, 0, 0, 0, 0, 0, 0};
    for (auto &[name, upstream] : Upstreams) {
      upstream.IsListed = true;
      upstream.IsDraining = false;
      upstream.IsDark = false;
    }
  }
  std::uint64_t moves() const { return Moves; }

private:
  static constexpr int UpstreamCount = 5;
  static constexpr int SampleCount = 64;
  /// A slow clock lets a hold last longer than it says.
  static constexpr double SlowClock = 1.02;

  struct Hold {
    KeyRange Range;
    std::uint64_t Fence;
    Time Until;
  };
  /// One life of an upstream.
  struct FakeUpstream {
    UpstreamId Id;
    std::int64_t StartedAtMs = 0;
    bool IsListed = true;
    bool IsDraining = false;
    bool IsDark = false; ///< no connection to it can be opened
    std::vector<Hold> Holds;
    std::map<std::uint16_t, std::uint64_t> SeenFence; ///< of sample keys

    bool holds(std::uint16_t key, Time now) const {
      return std::ranges::any_of(Holds, [&](const Hold &hold) {
        return hold.Range.contains(key) && now < hold.Until;
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
  void later(Duration after, std::function<void()> what) {
    Due.emplace(Now + after, std::move(what));
  }
  void runDue() {
    while (!Due.empty() && Due.begin()->first <= Now) {
      const auto what = std::move(Due.begin()->second);
      Due.erase(Due.begin());
      what();
    }
  }

  void start(int n) {
    FakeUpstream upstream;
    upstream.Id = UpstreamId("u" + std::to_string(n));
    upstream.StartedAtMs = ++LastBorn;
    Upstreams[upstream.Id] = upstream;
  }

  void lead() {
    Leader = std::make_unique<RangeLeader>(RangeTimings{}, Store, Now);
    ++Term;
    MayOrder = true;
  }

  void disturb() {
    if (happens(Faults.LeaderChange)) {
      // The old leader stops when its lease ends; orders stay under way.
      MayOrder = false;
      ++Term;
      later(milliseconds(Random() % 3000), [this] { lead(); });
    }
    for (auto &[name, upstream] : Upstreams) {
      if (happens(Faults.UpstreamCrash)) {
        const UpstreamId id = upstream.Id;
        upstream = {};
        upstream.Id = id;
        upstream.StartedAtMs = ++LastBorn;
      }
      if (happens(Faults.UpstreamDrain))
        upstream.IsDraining = !upstream.IsDraining;
      if (happens(Faults.UpstreamDark))
        upstream.IsDark = !upstream.IsDark;
      if (happens(Faults.UpstreamCut))
        upstream.IsListed = !upstream.IsListed;
    }
  }

  void request() {
    for (int n = 0; n < 5; ++n)
      Leader->recordKeyRequest(static_cast<std::uint16_t>(
          happens(0.5) ? HotKey + Random() % 100 : Random() % 65536));
    if (happens(0.01))
      HotKey = static_cast<std::uint16_t>(Random() % 65000);
  }

  void act() {
    if (!MayOrder)
      return;
    std::vector<RangeUpstream> views;
    for (const auto &[name, upstream] : Upstreams) {
      RangeUpstream view;
      view.Id = upstream.Id;
      view.StartedAtMs = upstream.StartedAtMs;
      view.Slots = 4;
      view.ProcessingSeconds = 0.2;
      view.IsEligible = upstream.IsListed && !upstream.IsDraining;
      views.push_back(view);
    }
    Leader->setUpstreams(views, Now);
    const RangeActions actions = Leader->step(Now, true);
    if (actions.Write)
      write(*actions.Write);
    for (const RangeOrder &order : actions.Orders)
      send(order);
    Moves = std::max(Moves, Leader->movesStarted());
  }

  /// Each write is conditional on the map's revision and on the leader's key,
  /// which goes when its leadership ends.
  /// @return true when both conditions held
  bool applyWrite(const RangeMap &map, int term) {
    if (map.Revision != Store.Revision || term != Term)
      return false;
    Store = map;
    Store.Revision = ++LastRevision;
    return true;
  }

  void write(const RangeMap &map) {
    const int term = Term;
    if (!happens(Faults.WriteUnanswered)) {
      const bool isApplied = applyWrite(map, term);
      const std::uint64_t revision = Store.Revision;
      later(milliseconds(4), [this, term, isApplied, revision] {
        if (term != Term)
          return;
        if (isApplied)
          Leader->onWriteApplied(revision);
        else
          Leader->onWriteFailed(Store, Now);
      });
      return;
    }
    const double fate = draw();
    if (fate < 0.4)
      applyWrite(map, term);
    else if (fate < 0.8)
      later(milliseconds(Random() % 6000),
            [this, map, term] { applyWrite(map, term); });
    later(milliseconds(1500 + Random() % 500), [this, term] {
      if (term == Term)
        Leader->onWriteFailed(Store, Now);
    });
  }

  void answer(const RangeOrder &order, OrderOutcome outcome, Duration after,
              const std::string &handover = "") {
    const int term = Term;
    later(after, [this, order, outcome, handover, term] {
      if (term == Term)
        Leader->onOrder(order.Id, outcome, handover, Now);
    });
  }

  void send(const RangeOrder &order) {
    const auto target = Upstreams.find(order.Upstream);
    if (target == Upstreams.end()) {
      answer(order, OrderOutcome::NotDelivered, milliseconds(2));
      return;
    }
    if (target->second.IsDark) {
      answer(order, OrderOutcome::NotDelivered, milliseconds(1000));
      return;
    }
    const std::int64_t life = target->second.StartedAtMs;
    const Time arrivedAt = Now;
    if (happens(Faults.OrderLost)) {
      answer(order, OrderOutcome::Unanswered, milliseconds(1000));
      return;
    }
    if (happens(Faults.OrderLate)) {
      later(
          milliseconds(2000 + Random() % 10000),
          [this, order, life, arrivedAt] { carryOut(order, life, arrivedAt); });
      answer(order, OrderOutcome::Unanswered, milliseconds(1000));
      return;
    }
    const bool isAccepted = carryOut(order, life, arrivedAt);
    if (happens(Faults.AnswerLost))
      answer(order, OrderOutcome::Unanswered, milliseconds(1000));
    else
      answer(order,
             isAccepted ? OrderOutcome::Accepted : OrderOutcome::HigherFence,
             milliseconds(1 + Random() % 100), "h");
  }

  /// @return false when the upstream has seen a higher fence
  bool carryOut(const RangeOrder &order, std::int64_t life, Time arrivedAt) {
    FakeUpstream &upstream = Upstreams[order.Upstream];
    if (upstream.StartedAtMs != life)
      return true; // went down with the process
    if (order.Kind == OrderKind::Release) {
      std::vector<Hold> rest;
      for (const Hold &hold : upstream.Holds)
        cut(hold, order.Range, rest);
      upstream.Holds = rest;
      return true;
    }
    for (const std::uint16_t key : sampleKeys())
      if (order.Range.contains(key) && upstream.SeenFence[key] > order.Fence)
        return false;
    for (const std::uint16_t key : sampleKeys())
      if (order.Range.contains(key))
        upstream.SeenFence[key] = order.Fence;
    const Time until = arrivedAt + std::chrono::duration_cast<Duration>(
                                       SlowClock * order.GrantDuration);
    upstream.Holds.push_back({order.Range, order.Fence, until});
    return true;
  }

  /// Appends what is left of @p hold without @p range.
  static void cut(const Hold &hold, const KeyRange &range,
                  std::vector<Hold> &rest) {
    const auto add = [&](int from, int to) {
      if (from <= to)
        rest.push_back(
            {{static_cast<std::uint16_t>(from), static_cast<std::uint16_t>(to)},
             hold.Fence,
             hold.Until});
    };
    add(hold.Range.From, std::min<int>(hold.Range.To, range.From - 1));
    add(std::max<int>(hold.Range.From, range.To + 1), hold.Range.To);
  }

  std::optional<std::string> findTwoOwners() const {
    for (const std::uint16_t key : sampleKeys()) {
      const FakeUpstream *owner = nullptr;
      for (const auto &[name, upstream] : Upstreams) {
        if (!upstream.holds(key, Now))
          continue;
        if (owner != nullptr)
          return "key " + std::to_string(key) + " is held by " +
                 owner->Id.Value + " and " + upstream.Id.Value;
        owner = &upstream;
      }
    }
    return std::nullopt;
  }

  std::mt19937_64 Random;
  RangeFaults Faults;
  Time Now{seconds(1000)};
  std::multimap<Time, std::function<void()>> Due;
  std::map<UpstreamId, FakeUpstream> Upstreams;
  std::unique_ptr<RangeLeader> Leader;
  RangeMap Store;
  std::uint64_t LastRevision = 1;
  std::int64_t LastBorn = 0;
  std::uint64_t Moves = 0;
  int Term = 0; ///< answers of an earlier one are not heard
  bool MayOrder = false;
  std::uint16_t HotKey = 1000;
};

} // namespace waxwing

#endif
