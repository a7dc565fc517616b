/**
 * @file earlier_build_message_test.cpp
 * Messages between VMs and values in the store, as the build of 9418cc1 encoded
 * them. While VMs are replaced in turn, builds of both versions exchange them.
 */
#include "node/store_keys.h"
#include "peers/peer_message_type.h"
#include "peers/relay_message.h"
#include "ranges/range_codec_func.h"

#include <absl/strings/escaping.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace waxwing {
namespace {

constexpr const char *HelloHex =
    "8901836966726f6e742d612d316161fb3fc999999999999a1b00007048860ddf79a1646b"
    "657973184da1646b657973820119ffff820c1822821a0003d0908183836966726f6e742d"
    "612d326161fb3fb999999999999a6e31302e312e302e31363a37363230f5f4818263692d"
    "371b0000019c680a15d0";
constexpr const char *ReplyHex =
    "880218636966726f6e742d622d316d31302e322e302e313a373632308282838369667"
    "26f6e742d612d316161fb3fc999999999999a6e31302e312e302e31353a37363230f4"
    "83836966726f6e742d622d316162fa3f0000006d31302e322e302e313a37363230f58"
    "16966726f6e742d622d31f583f46966726f6e742d622d316d31302e322e302e313a37"
    "363230831a00015f901a002dc6c0820c1822";
constexpr const char *RangesHex =
    "8803646b657973184e184d0c000181870019ffff63692d371b0000019c680a15d00b62"
    "6831f5";
constexpr const char *StoreHex =
    "850401181e182282836b736572766572732f692d37427b7d181f836b73657276657273"
    "2f692d38f61822";
constexpr const char *MapHex =
    "a36565706f636803646e6578740c64726f777381870019ffff63692d371b0000019c68"
    "0a15d00b626831f5";

std::string bytes(const char *hex) { return absl::HexStringToBytes(hex); }

template <class Message> Message decode(const char *hex) {
  const auto message = decodePeerMessage(bytes(hex));
  EXPECT_TRUE(message.ok()) << message.status();
  return std::get<Message>(*message);
}

/// Checks that the earlier build finds in @p message what it encoded itself as
/// @p hex; it ignores elements behind those that it knows.
void expectReadableByEarlierBuild(const PeerMessage &message, const char *hex) {
  const auto known = nlohmann::json::from_cbor(bytes(hex));
  const auto now = nlohmann::json::from_cbor(encodePeerMessage(message));
  ASSERT_GE(now.size(), known.size());
  for (std::size_t n = 0; n < known.size(); ++n)
    EXPECT_EQ(now[n], known[n]) << "element " << n;
}

// Guards against VMs that cannot report to each other while they are replaced.
TEST(EarlierBuildMessageTest, HelloIsReadBothWays) {
  const auto hello = decode<PeerHello>(HelloHex);
  EXPECT_EQ(hello.Sender.Vm, VmId("front-a-1"));
  EXPECT_FALSE(hello.HasLinks);
  EXPECT_EQ(hello.StoreRevisions, (FeedRevisions{12, 34}));
  ASSERT_TRUE(hello.Report);
  EXPECT_EQ(hello.Report->Followers.size(), 1U);
  EXPECT_EQ(hello.Leaving,
            (std::vector<UpstreamProcess>{{UpstreamId("i-7"), 1771272017360}}));
  EXPECT_FALSE(hello.CrashDigest);
  EXPECT_TRUE(hello.Limits.empty());
  expectReadableByEarlierBuild(hello, HelloHex);
}

TEST(EarlierBuildMessageTest, ReplyIsReadBothWays) {
  const auto reply = decode<PeerReply>(ReplyHex);
  EXPECT_EQ(reply.Leader.Name, VmId("front-b-1"));
  ASSERT_TRUE(reply.List && reply.Assignment && reply.Store);
  EXPECT_EQ(reply.List->Vms.size(), 2U);
  EXPECT_FALSE(reply.List->Vms[0].HasLinks);
  EXPECT_TRUE(reply.IsLeaving);
  EXPECT_TRUE(reply.Limits.empty());
  expectReadableByEarlierBuild(reply, ReplyHex);
}

TEST(EarlierBuildMessageTest, UpdatesAreReadBothWays) {
  const auto ranges = decode<PeerRangeUpdate>(RangesHex);
  EXPECT_EQ(ranges.Rows.size(), 1U);
  expectReadableByEarlierBuild(ranges, RangesHex);
  const auto update = decode<PeerStoreUpdate>(StoreHex);
  EXPECT_EQ(update.Batch.Changes.size(), 2U);
  expectReadableByEarlierBuild(update, StoreHex);
}

// Guards against a leader that cannot take over from one of the earlier build.
TEST(EarlierBuildMessageTest, StoreValuesAreReadBothWays) {
  const auto map = decodeRangeMap(bytes(MapHex), 78, 3);
  ASSERT_TRUE(map.ok());
  EXPECT_EQ(map->NextFence, 12U);
  EXPECT_EQ(encodeRangeMap(*map), bytes(MapHex));
  const std::string leader = "front-b-1 3\n10.2.0.1:7620";
  const auto key = decodeLeaderKey(leader);
  ASSERT_TRUE(key);
  EXPECT_EQ(key->Name, VmId("front-b-1"));
  EXPECT_EQ(encodeLeaderKey(*key), leader);
}

// Guards against relayed requests that fail between VMs of two versions.
TEST(EarlierBuildMessageTest, RelayedRequestIsReadBothWays) {
  const http::Fields earlier{
      {"Waxwing-Relay-Request", "5 0 1 400000 900000 1500000 keys"}};
  auto request = readRelayRequest(earlier);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->Service, ServiceId("keys"));
  EXPECT_TRUE(request->Caller.empty());
  request->Caller = "10.9.0.4";
  std::string head;
  appendRelayRequest(head, *request);
  EXPECT_EQ(head.substr(0, head.find('\r')),
            earlier[0].first + ": " + earlier[0].second);
  const http::Fields result{
      {"Waxwing-Relay-Result", "5 2 22 2 60000 1771272017360 i-7"}};
  const auto read = readRelayResult(result);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->Cause, Reason::ConnectionLost);
  head.clear();
  appendRelayResult(head, *read);
  EXPECT_EQ(head, result[0].first + ": " + result[0].second + "\r\n");
}

// Guards against a VM of the present build that drops news since an element was
// added behind those that it knows.
TEST(EarlierBuildMessageTest, FurtherElementsAreIgnored) {
  for (const char *hex : {HelloHex, ReplyHex, RangesHex, StoreHex}) {
    const auto message = decodePeerMessage(bytes(hex));
    ASSERT_TRUE(message.ok());
    auto json = nlohmann::json::from_cbor(encodePeerMessage(*message));
    json.push_back(nullptr);
    json.push_back({{"later", 1}});
    const auto cbor = nlohmann::json::to_cbor(json);
    EXPECT_TRUE(decodePeerMessage({cbor.begin(), cbor.end()}).ok());
  }
}

} // namespace
} // namespace waxwing
