/**
 * @file range_balance_test.cpp
 * Moves of key ranges under hot keys, slow upstreams and new upstreams;
 * replication of range maps under lost datagrams; message encoding.
 */
#include "peers/range_map_replica_base.h"
#include "ranges/range_balance_func.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace waxwing {
namespace {

std::vector<RangeUpstream> upstreams(int count) {
  std::vector<RangeUpstream> result;
  for (int n = 0; n < count; ++n) {
    RangeUpstream upstream;
    upstream.Id = UpstreamId("u" + std::to_string(n));
    upstream.StartedAtMs = 1;
    upstream.Slots = 4;
    upstream.ProcessingSeconds = 0.2;
    upstream.IsEligible = true;
    result.push_back(upstream);
  }
  return result;
}

/// Adds a load of @p perSecond requests/s for each key from @p from to @p to.
/// At a constant rate, a counter of KeyLoad holds the requests of 1.5 s, the
/// time constant of its decay.
void addLoad(KeyLoad &keys, int from, int to, double perSecond) {
  for (int key = from; key <= to; ++key)
    for (int n = 0; n < perSecond * 1.5; ++n)
      keys.recordRequest(static_cast<std::uint16_t>(key));
}

TEST(KeyLoad, HotRangeReceivesTheWantedRate) {
  KeyLoad keys;
  addLoad(keys, 1000, 1009, 10);
  const KeyRange part = keys.findHotRange({0, 65535}, 50);
  EXPECT_GE(part.From, 1000);
  EXPECT_LE(part.To, 1009);
  EXPECT_NEAR(keys.rate(part), 50, 11);
}

TEST(RangeBalance, HotRangeIsSpreadOverMoreUpstreams) {
  KeyLoad keys;
  addLoad(keys, 5000, 5039, 1); // 40 requests/s; one upstream can process 20
  const auto cluster = upstreams(8);
  const auto moves = planMoves(divideKeys(cluster), cluster, keys, 4);
  ASSERT_FALSE(moves.empty());
  int keysMoved = 0;
  for (const RangeMove &move : moves)
    keysMoved += move.Range.size();
  EXPECT_LE(keysMoved, 400); // most idle keys are not moved
  EXPECT_GE(moves.size(), 2U);
}

TEST(RangeBalance, SingleHotKeyIsNotMoved) {
  KeyLoad keys;
  addLoad(keys, 5000, 5000, 30); // more than any upstream can process
  const auto cluster = upstreams(4);
  auto rows = divideKeys(cluster);
  RangeRow hotRow = rows[0];
  hotRow.Range = {5000, 5000};
  RangeRow otherRow = rows[0];
  otherRow.Owner = UpstreamId("u1");
  std::vector<RangeRow> split;
  otherRow.Range = {0, 4999};
  split.push_back(otherRow);
  split.push_back(hotRow);
  otherRow.Range = {5001, rows[0].Range.To};
  split.push_back(otherRow);
  split.insert(split.end(), rows.begin() + 1, rows.end());
  EXPECT_TRUE(planMoves(split, cluster, keys, 4).empty());
}

TEST(RangeBalance, EvenLoadMovesNothing) {
  KeyLoad keys;
  for (int key = 0; key < 65536; key += 1000)
    addLoad(keys, key, key, 1);
  const auto cluster = upstreams(8);
  EXPECT_TRUE(planMoves(divideKeys(cluster), cluster, keys, 4).empty());
}

TEST(RangeBalance, SlowUpstreamOwnsFewKeys) {
  auto cluster = upstreams(4);
  cluster[2].ProcessingSeconds = 0.5;
  const auto rows = divideKeys(cluster);
  const auto keysOf = [&](const std::string &id) {
    int sum = 0;
    for (const RangeRow &row : rows)
      if (row.Owner.Value == id)
        sum += row.Range.size();
    return sum;
  };
  EXPECT_LT(4 * keysOf("u2"), keysOf("u1"));
  EXPECT_GT(keysOf("u2"), 0);
}

TEST(RangeBalance, NewUpstreamGetsKeys) {
  KeyLoad keys;
  const auto cluster = upstreams(4);
  std::vector<RangeUpstream> first(cluster.begin(), cluster.end() - 1);
  const auto moves = planMoves(divideKeys(first), cluster, keys, 1);
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves[0].To, UpstreamId("u3"));
}

TEST(RangeBalance, LatencyGrowsWithLoadAndBeyondCapacity) {
  const RangeUpstream upstream = upstreams(1)[0];
  EXPECT_NEAR(expectedLatency(upstream, 0.1), 0.2, 0.01);
  EXPECT_GT(expectedLatency(upstream, 18), expectedLatency(upstream, 10));
  EXPECT_GT(expectedLatency(upstream, 60), expectedLatency(upstream, 30));
}

RangeMap createRangeMap(const std::vector<RangeRow> &rows,
                        std::uint64_t revision) {
  RangeMap map;
  map.Rows = rows;
  map.NextFence = 9;
  map.Revision = revision;
  return map;
}

TEST(RangeMapReplica, UpdateAppliesOnlyToItsBase) {
  const ServiceId service("s");
  const RangeMap first = createRangeMap(divideKeys(upstreams(3)), 5);
  RangeMap second = first;
  second.Revision = 6;
  second.Rows[1].Owner = UpstreamId("u9");
  RangeMap third = second;
  third.Revision = 7;
  third.Rows[2].IsMoving = true;
  RangeMapReplica replica;
  ASSERT_TRUE(replica.applyRangeMap(service, first));
  const auto later =
      RangeMapReplica::buildRangeUpdates(service, &second, third);
  EXPECT_FALSE(
      replica.applyRangeMap(later.at(0))); // the previous update was lost
  EXPECT_TRUE(replica.applyRangeMap(
      RangeMapReplica::buildRangeUpdates(service, &first, second).at(0)));
  EXPECT_TRUE(replica.applyRangeMap(later.at(0)));
  EXPECT_EQ(replica.find(service)->Rows, third.Rows);
  EXPECT_EQ(replica.revisions()[service], 7U);
}

TEST(RangeMapReplica, CompleteMapNeedsAllItsParts) {
  const ServiceId service("s");
  const RangeMap map = createRangeMap(divideKeys(upstreams(250)), 5);
  const auto parts = RangeMapReplica::buildRangeUpdates(service, nullptr, map);
  ASSERT_GT(parts.size(), 1U);
  RangeMapReplica replica;
  for (std::size_t n = 1; n < parts.size(); ++n)
    EXPECT_FALSE(replica.applyRangeMap(parts[n]));
  EXPECT_EQ(replica.find(service), nullptr);
  EXPECT_TRUE(replica.applyRangeMap(parts[0]));
  EXPECT_EQ(replica.find(service)->Rows, map.Rows);
  EXPECT_FALSE(replica.applyRangeMap(parts[0])); // duplicate datagram
}

TEST(RangeMapReplica, SplitRowsReplaceTheOriginalRow) {
  const ServiceId service("s");
  const RangeMap before = createRangeMap(divideKeys(upstreams(2)), 5);
  RangeMap after = before;
  after.Revision = 6;
  RangeRow upper = after.Rows[0];
  const std::uint16_t middle = after.Rows[0].Range.To / 2;
  upper.Range.From = middle + 1;
  after.Rows[0].Range.To = middle;
  upper.IsMoving = true;
  after.Rows.insert(after.Rows.begin() + 1, upper);
  RangeMapReplica replica;
  replica.applyRangeMap(service, before);
  EXPECT_TRUE(replica.applyRangeMap(
      RangeMapReplica::buildRangeUpdates(service, &before, after).at(0)));
  EXPECT_EQ(replica.find(service)->Rows, after.Rows);
}

TEST(PeerMessage, IsDecodedAndMalformedBytesAreRejected) {
  PeerHello hello;
  hello.Sender = {VmId("vm1"), DomainId("d1"), 0.5};
  hello.Keys[ServiceId("s")] = {1, 2, 2};
  hello.MapRevisions[ServiceId("s")] = 4;
  const auto decoded = decodePeerMessage(encodePeerMessage(hello));
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(std::get<PeerHello>(*decoded).Keys, hello.Keys);
  EXPECT_EQ(std::get<PeerHello>(*decoded).Sender, hello.Sender);
  const PeerReply reply{
      {VmId("a"), {"10.0.0.1", 7}, 7},
      VmList{{{{VmId("a"), DomainId("d"), 1}, {"127.0.0.1", 1}, true},
              {{VmId("b"), DomainId("d"), 1}, {"127.0.0.1", 2}, false}},
             {VmId("b")}},
      true,
      {},
      {}};
  const auto back = decodePeerMessage(encodePeerMessage(reply));
  ASSERT_TRUE(back.ok());
  EXPECT_EQ(std::get<PeerReply>(*back).Leader.Term, 7U);
  EXPECT_EQ(std::get<PeerReply>(*back).List, reply.List);
  EXPECT_TRUE(std::get<PeerReply>(*back).IsLeaving);
  for (const std::string malformed : {"", "x", "\x81\x09", "\xff\xff\xff"})
    EXPECT_FALSE(decodePeerMessage(malformed).ok());
}

TEST(RangeCodec, RejectsMapsThatDoNotCoverAllKeys) {
  RangeMap map = createRangeMap(divideKeys(upstreams(3)), 5);
  ASSERT_TRUE(decodeRangeMap(encodeRangeMap(map), 5).ok());
  map.Rows.erase(map.Rows.begin() + 1);
  EXPECT_FALSE(decodeRangeMap(encodeRangeMap(map), 5).ok());
  EXPECT_FALSE(decodeRangeMap("noise", 5).ok());
}

} // namespace
} // namespace waxwing
