/**
 * @file ownership_world_test.cpp
 * Focused failures of the ownership state machine, in model time.
 */
#include "ownership_world.h"

#include <gtest/gtest.h>

namespace waxwing {
namespace {

/// Follows the longest time without service of any key.
class OutageWatch {
public:
  explicit OutageWatch(World &world) : Model(world) {}

  /// Runs the world.
  /// @return longest time that any key has gone unserved, up to now
  ModelTime run(ModelTime length) {
    Model.sample(length, ModelMillisecond, [this] {
      for (const KeyHash &key : Model.probeKeys()) {
        if (Model.isServed(key))
          Since.erase(key);
        else
          Longest = std::max(
              Longest,
              Model.now() - Since.try_emplace(key, Model.now()).first->second);
      }
    });
    return Longest;
  }

private:
  World &Model;
  std::map<KeyHash, ModelTime> Since;
  ModelTime Longest = 0;
};

/// A deployment as large as the brief's smaller service.
WorldShape shapeOf(std::uint64_t seed) {
  WorldShape shape;
  shape.Controllers = 8;
  shape.Upstreams = 8;
  shape.NonChecking = 0;
  shape.Domains = 4;
  shape.Shards = 32;
  shape.Parameters.DriftPpm = 10'000;
  shape.Seed = seed;
  return shape;
}

/// Runs a test body over several seeds.
class OwnershipWorld : public testing::TestWithParam<std::uint64_t> {
protected:
  OwnershipWorld() : Model(shapeOf(GetParam())), Watch(Model) {
    Model.advance(5 * ModelSecond);
  }
  ~OwnershipWorld() override { EXPECT_EQ(Model.violation(), ""); }
  std::size_t leader() { return Model.leaderIndex().value(); }
  /// @return shards whose owner differs from @p before
  std::size_t movedSince(const OwnershipRecord &before) {
    std::size_t moved = 0;
    for (std::size_t n = 0; n < before.Shards.size(); ++n)
      moved += before.Shards[n].Owner != Model.stored()->Shards[n].Owner;
    return moved;
  }

  World Model;
  OutageWatch Watch;
};

INSTANTIATE_TEST_SUITE_P(Seeds, OwnershipWorld,
                         testing::Range<std::uint64_t>(1, 6));

TEST_P(OwnershipWorld, ServesAfterStartAndRestsQuietly) {
  EXPECT_EQ(Model.unservedKeys(), 0u);
  EXPECT_EQ(Model.stored()->Members.size(), 5u);
  EXPECT_TRUE(Model.stored()->FormerMemberSets.empty());
  Model.counts() = {};
  EXPECT_EQ(Watch.run(5 * ModelSecond), 0);
  EXPECT_EQ(Model.counts().StoreReads + Model.counts().StoreWrites, 0u);
}

TEST_P(OwnershipWorld, FrozenUpstreamIsReplacedWithinASecond) {
  Model.pause(Model.upstreamNode(2), 4 * ModelSecond);
  EXPECT_LT(Watch.run(6 * ModelSecond), ModelSecond);
}

TEST_P(OwnershipWorld, LostLeaderAndUpstreamAreReplacedWithinASecond) {
  Model.stop(leader());
  Model.stop(Model.upstreamNode(3));
  EXPECT_LT(Watch.run(4 * ModelSecond), ModelSecond);
}

TEST(OwnershipOutage, OfAnHourLeavesOwnersServed) {
  World world(shapeOf(1));
  world.advance(5 * ModelSecond);
  OutageWatch watch(world);
  world.setStoreDown(true);
  EXPECT_EQ(watch.run(10 * ModelSecond), 0);
  world.advance(3600 * ModelSecond);
  EXPECT_EQ(watch.run(2 * ModelSecond), 0);
  EXPECT_EQ(world.violation(), "");
}

TEST_P(OwnershipWorld, DeputyRenewsWithoutTheStore) {
  Model.setStoreDown(true);
  Model.advance(ModelSecond);
  Model.stop(leader());
  EXPECT_LT(Watch.run(5 * ModelSecond), 100 * ModelMillisecond);
}

TEST_P(OwnershipWorld, DeputyIsReplacedToo) {
  const auto members = Model.stored()->Members;
  Model.setStoreDown(true);
  for (std::size_t n = 0; n < 2; ++n)
    Model.stop(World::indexOf(members[n].Vm.Value));
  EXPECT_LT(Watch.run(5 * ModelSecond), 200 * ModelMillisecond);
}

TEST_P(OwnershipWorld, NothingMovesWithoutTheStore) {
  const OwnershipRecord before = *Model.stored();
  Model.setStoreDown(true);
  Model.stop(Model.upstreamNode(1));
  Model.advance(5 * ModelSecond);
  EXPECT_EQ(movedSince(before), 0u);
  EXPECT_GT(Model.unservedKeys(), 0u);
  Model.setStoreDown(false);
  Model.advance(2 * ModelSecond);
  EXPECT_EQ(Model.unservedKeys(), 0u);
}

TEST_P(OwnershipWorld, LossAndReturnMoveAFairShare) {
  OwnershipRecord before = *Model.stored();
  Model.stop(Model.upstreamNode(1));
  Model.advance(4 * ModelSecond);
  EXPECT_EQ(movedSince(before), 4u);
  before = *Model.stored();
  Model.startUpstream(1);
  Model.advance(8 * ModelSecond);
  EXPECT_LE(movedSince(before), 4u);
  EXPECT_EQ(Model.ownedBy(1), 4u);
}

TEST_P(OwnershipWorld, LeavingUpstreamHandsOverWithoutAGap) {
  Model.setLeaving(2, true);
  EXPECT_LE(Watch.run(3 * ModelSecond), 20 * ModelMillisecond);
  EXPECT_EQ(Model.ownedBy(2), 0u);
}

TEST_P(OwnershipWorld, DomainTakenOutHandsOverWithinTwoSeconds) {
  for (std::size_t n = 0; n < Model.upstreams(); n += 4)
    Model.setLeaving(n, true);
  EXPECT_LE(Watch.run(2 * ModelSecond), 20 * ModelMillisecond);
  EXPECT_EQ(Model.ownedBy(0) + Model.ownedBy(4), 0u);
}

TEST_P(OwnershipWorld, LostDomainIsReplaced) {
  const DomainId lost = Model.domainOf(leader());
  for (std::size_t n = 0; n < Model.storeNode(); ++n)
    if (Model.domainOf(n) == lost)
      Model.stop(n);
  EXPECT_LT(Watch.run(5 * ModelSecond), 1100 * ModelMillisecond);
  EXPECT_EQ(Model.unservedKeys(), 0u);
}

TEST_P(OwnershipWorld, HotKeyMovesAloneAndComesBack) {
  const OwnershipRecord before = *Model.stored();
  Model.reportHot(3, 1000);
  Model.advance(2 * ModelSecond);
  EXPECT_EQ(Model.stored()->SplitKeys.size(), 1u);
  EXPECT_EQ(movedSince(before), 0u);
  Model.advance(15 * ModelSecond);
  EXPECT_TRUE(Model.stored()->SplitKeys.empty());
  EXPECT_EQ(movedSince(before), 0u);
}

TEST_P(OwnershipWorld, AllControllersRestartedKeepOwners) {
  const OwnershipRecord before = *Model.stored();
  for (std::size_t n = 0; n < Model.controllers(); ++n)
    Model.startController(n);
  EXPECT_LT(Watch.run(4 * ModelSecond), ModelSecond);
  EXPECT_EQ(movedSince(before), 0u);
}

/// Cuts the first leader, two witnesses and upstream 0 off from the rest,
/// where two leaders follow each other.
/// @return what the oracle says
std::string runSecondSuccession(const OwnershipFaults &faults) {
  WorldShape shape = shapeOf(1);
  shape.Parameters.Faults = faults;
  World world(shape);
  world.advance(5 * ModelSecond);
  std::set<std::size_t> island{world.upstreamNode(0)};
  const MemberSet members = world.stored()->Members;
  for (const std::size_t n : {0, 2, 3})
    island.insert(World::indexOf(members[n].Vm.Value));
  for (std::size_t a = 0; a <= world.storeNode(); ++a)
    for (std::size_t b = 0; b < a; ++b)
      if (island.contains(a) != island.contains(b))
        world.cutBoth(a, b);
  const std::size_t first = world.leaderIndex().value();
  for (int n = 0; n < 4000 && world.leaderIndex() == first; ++n)
    world.advance(ModelMillisecond);
  EXPECT_NE(world.leaderIndex(), first);
  world.stop(world.leaderIndex().value());
  world.advance(6 * ModelSecond);
  if (world.violation().empty()) {
    EXPECT_EQ(world.unservedKeys(), 0u) << "the first leader goes on";
  }
  return world.violation();
}

/// The second successor knows only from FormerMemberSets whom the first
/// leader's confirmations depend on.
TEST(OwnershipSuccession, SecondSuccessorFencesTheFirstLeader) {
  EXPECT_EQ(runSecondSuccession({}), "");
}

TEST(OwnershipSuccession, ForgettingFormerMembersIsFound) {
  EXPECT_NE(runSecondSuccession({.ForgetsFormer = true}), "");
}

TEST(OwnershipService, WithoutShardsHasALeaderOnly) {
  WorldShape shape = shapeOf(1);
  shape.Shards = 0;
  World world(shape);
  world.advance(4 * ModelSecond);
  ASSERT_TRUE(world.leaderIndex().has_value());
  EXPECT_TRUE(world.controller(*world.leaderIndex()).isLeader());
  EXPECT_TRUE(world.stored()->Shards.empty());
}

} // namespace
} // namespace waxwing
