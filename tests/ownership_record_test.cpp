/**
 * @file ownership_record_test.cpp
 * Commands that change the ownership record, and its CBOR encoding.
 */
#include "ownership/ownership_record_cmd.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwing {
namespace {

OwnershipRecord makeRecord(std::uint32_t shards) {
  const std::vector<RecordCommand> commands{CreateShards{shards}};
  return *makeChange({.Service = ServiceId("t/s")}, commands, ChangeId(1));
}

TEST(OwnershipRecord, MoveRaisesTheFencingToken) {
  const OwnershipRecord record = makeRecord(4);
  const std::vector<RecordCommand> commands{
      MoveUnit{ShardId(2), UpstreamId("t/u")}};
  const auto next = makeChange(record, commands, ChangeId(2));
  ASSERT_TRUE(next.ok());
  EXPECT_EQ(next->Rev, Revision(2));
  EXPECT_EQ(next->Shards[2], (UnitOwner{UpstreamId("t/u"), FencingToken(2)}));
  EXPECT_EQ(next->Shards[1], UnitOwner());
}

TEST(OwnershipRecord, FailedCommandChangesNothing) {
  const OwnershipRecord record = makeRecord(4);
  const std::vector<RecordCommand> commands{
      MoveUnit{ShardId(9), UpstreamId("t/u")}};
  EXPECT_EQ(makeChange(record, commands, ChangeId(2)).status().code(),
            absl::StatusCode::kOutOfRange);
}

TEST(OwnershipRecord, SplitKeyMovesWithoutItsShard) {
  const OwnershipRecord record = makeRecord(4);
  const KeyHash key = hashKey("hot");
  const std::vector<RecordCommand> commands{SplitKey{key},
                                            MoveUnit{key, UpstreamId("t/u")}};
  const auto next = makeChange(record, commands, ChangeId(2));
  ASSERT_TRUE(next.ok());
  EXPECT_EQ(next->Shards, record.Shards);
  EXPECT_EQ(next->SplitKeys.at(key).Owner, UpstreamId("t/u"));
}

RC_GTEST_PROP(OwnershipRecord, DecodedRecordEqualsEncodedOne, ()) {
  OwnershipRecord record = makeRecord(*rc::gen::inRange<std::uint32_t>(1, 64));
  const auto moves = *rc::gen::container<std::vector<std::uint32_t>>(
      rc::gen::inRange<std::uint32_t>(0, 64));
  for (const std::uint32_t n : moves) {
    const std::vector<RecordCommand> commands{
        MoveUnit{ShardId(n), UpstreamId("t/u" + std::to_string(n % 5))}};
    auto next = makeChange(record, commands, ChangeId(n));
    if (next.ok())
      record = *std::move(next);
  }
  const auto decoded = decodeRecord(encodeRecord(record));
  RC_ASSERT(decoded.ok());
  RC_ASSERT(*decoded == record);
}

RC_GTEST_PROP(OwnershipRecord, DecoderSurvivesArbitraryBytes,
              (const std::string &bytes)) {
  decodeRecord(bytes).status().IgnoreError();
}

} // namespace
} // namespace waxwing
