/**
 * @file record_check_test.cpp
 * The oracle over upstream records finds what it is there to find.
 */
#include "standin/record_check_func.h"

#include <gtest/gtest.h>

namespace waxwing {
namespace {

TEST(RecordCheck, FindsAKeyExecutedByTwoUpstreams) {
  const auto check =
      compareRecords({"service t/s\nkey a 1\n", "service t/s\nkey a 1\n"},
                     {{"a", WriteEnd::Answered}});
  EXPECT_EQ(check.ExecutedTwice, 1U);
}

TEST(RecordCheck, FindsAnUntrueNotRun) {
  const auto check =
      compareRecords({"service t/s\nkey a 1\n"}, {{"a", WriteEnd::NotRun}});
  EXPECT_EQ(check.UntrueNotRun, 1U);
}

TEST(RecordCheck, FindsALostWriteOnlyWithAllRecords) {
  const std::map<std::string, WriteEnd> writes{{"a", WriteEnd::Answered}};
  EXPECT_EQ(compareRecords({"service t/s\n"}, writes).LostWrites, 1U);
  EXPECT_EQ(compareRecords({"service t/s\n", ""}, writes).LostWrites, 0U);
}

TEST(RecordCheck, FindsTwoOwnersOfAUnit) {
  const auto check = compareRecords({"service t/s\nunit shard:1 4 100 200\n",
                                     "service t/s\nunit shard:1 5 150 300\n"},
                                    {});
  EXPECT_EQ(check.DoubleOwners, 1U);
}

TEST(RecordCheck, FindsAnOwnerInsideALongTenure) {
  const auto check = compareRecords({"service t/s\nunit shard:1 4 100 900\n",
                                     "service t/s\nunit shard:1 5 150 160\n",
                                     "service t/s\nunit shard:1 6 500 510\n"},
                                    {});
  EXPECT_EQ(check.DoubleOwners, 2U);
}

TEST(RecordCheck, TakesOwnersThatFollowEachOther) {
  const auto check = compareRecords({"service t/s\nunit shard:1 4 100 200\n",
                                     "service t/s\nunit shard:1 5 201 300\n"},
                                    {});
  EXPECT_EQ(check.DoubleOwners, 0U);
}

} // namespace
} // namespace waxwing
