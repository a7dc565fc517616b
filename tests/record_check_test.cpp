/**
 * @file record_check_test.cpp
 * The check of execution records detects duplicate and lost writes and
 * overlapping ownership.
 */
#include "standin/record_check_func.h"

#include <gtest/gtest.h>

namespace waxwing {
namespace {

TEST(RecordCheck, DetectsKeyExecutedByTwoUpstreams) {
  const auto check =
      checkUpstreamRecords({"service t/s\nkey a 1\n", "service t/s\nkey a 1\n"},
                           {{"a", WriteOutcome::Answered}});
  EXPECT_EQ(check.DuplicateExecutions, 1U);
}

TEST(RecordCheck, DetectsExecutionOfWriteReportedAsNotRun) {
  const auto check = checkUpstreamRecords({"service t/s\nkey a 1\n"},
                                          {{"a", WriteOutcome::NotRun}});
  EXPECT_EQ(check.ExecutedDespiteNotRun, 1U);
}

TEST(RecordCheck, DetectsLostWriteOnlyWhenAllRecordsAreAvailable) {
  const std::map<std::string, WriteOutcome> writes{
      {"a", WriteOutcome::Answered}};
  EXPECT_EQ(checkUpstreamRecords({"service t/s\n"}, writes).LostWrites, 1U);
  EXPECT_EQ(checkUpstreamRecords({"service t/s\n", ""}, writes).LostWrites, 0U);
}

TEST(RecordCheck, DetectsTwoOwnersOfOneUnit) {
  const auto check =
      checkUpstreamRecords({"service t/s\nunit shard:1 4 100 200\n",
                            "service t/s\nunit shard:1 5 150 300\n"},
                           {});
  EXPECT_EQ(check.OverlappingTenures, 1U);
}

TEST(RecordCheck, DetectsShortTenuresInsideLongTenure) {
  const auto check =
      checkUpstreamRecords({"service t/s\nunit shard:1 4 100 900\n",
                            "service t/s\nunit shard:1 5 150 160\n",
                            "service t/s\nunit shard:1 6 500 510\n"},
                           {});
  EXPECT_EQ(check.OverlappingTenures, 2U);
}

TEST(RecordCheck, AcceptsConsecutiveOwners) {
  const auto check =
      checkUpstreamRecords({"service t/s\nunit shard:1 4 100 200\n",
                            "service t/s\nunit shard:1 5 201 300\n"},
                           {});
  EXPECT_EQ(check.OverlappingTenures, 0U);
}

} // namespace
} // namespace waxwing
