/**
 * @file ownership_world_test.cpp
 * Focused failures of the ownership state machine, in model time.
 */
#include "ownership_world.h"

#include <gtest/gtest.h>

namespace waxwing {
namespace {

TEST(OwnershipWorld, ServesAfterStart) {
  World world((WorldShape()));
  world.advance(5 * ModelSecond);
  EXPECT_EQ(world.unservedKeys(), 0u);
  EXPECT_EQ(world.violation(), "");
  EXPECT_EQ(world.stored()->Members.size(), 5u);
  EXPECT_TRUE(world.stored()->Former.empty());
}

} // namespace
} // namespace waxwing
