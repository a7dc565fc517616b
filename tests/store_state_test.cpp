/**
 * @file store_state_test.cpp
 * Compare-and-swap and lease expiry of the store stand-in.
 */
#include "standin/store_base.h"

#include <gtest/gtest.h>

namespace waxwing {
namespace {

constexpr Time Start{seconds(1)};

TEST(StoreState, CompareAndSwapRejectsStaleRevision) {
  StoreState store;
  Revision current;
  ASSERT_TRUE(store.compareAndSwap("/a", Revision(0), "1", current));
  EXPECT_FALSE(store.compareAndSwap("/a", Revision(0), "2", current));
  EXPECT_EQ(current, store.get("/a").Rev);
  EXPECT_EQ(store.get("/a").Value, "1");
}

TEST(StoreState, KeyIsRemovedWhenItsLeaseExpires) {
  StoreState store;
  Revision current;
  const LeaseId lease = store.grantLease(milliseconds(100), Start);
  ASSERT_TRUE(store.compareAndSwap("/a", Revision(0), "1", current, lease));
  EXPECT_TRUE(
      store.renewLease(lease, milliseconds(100), Start + milliseconds(90)));
  EXPECT_FALSE(store.expireLeases(Start + milliseconds(150)));
  EXPECT_TRUE(store.expireLeases(Start + milliseconds(190)));
  EXPECT_EQ(store.get("/a").Rev, Revision(0));
  EXPECT_TRUE(store.hasNewerEntry("/", current));
  EXPECT_FALSE(
      store.renewLease(lease, milliseconds(100), Start + milliseconds(200)));
}

TEST(StoreState, ExpiringAllLeasesRemovesTheirKeys) {
  StoreState store;
  Revision current;
  const LeaseId lease = store.grantLease(seconds(60), Start);
  ASSERT_TRUE(store.compareAndSwap("/a", Revision(0), "1", current, lease));
  EXPECT_TRUE(store.expireAllLeases());
  EXPECT_EQ(store.get("/a").Rev, Revision(0));
  EXPECT_FALSE(store.compareAndSwap("/b", Revision(0), "1", current, lease));
}

} // namespace
} // namespace waxwing
