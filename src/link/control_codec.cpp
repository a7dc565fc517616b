/**
 * @file control_codec.cpp
 * Encodes structs as JSON arrays, in the order of their members.
 */
#include "link/control_codec.h"

#include <stdexcept>

namespace waxwing {
namespace {

using Json = nlohmann::json;

Json encodeMemberEntry(const MemberEntry &it) {
  return {it.Vm.Value,      it.Process.Value,
          it.Version,       static_cast<int>(it.State),
          it.Domain.Value,  it.Region,
          it.Link.Address,  it.Link.Port,
          it.IsStoreFailing};
}

MemberEntry decodeMemberEntry(const Json &body) {
  const int state = body.at(3).get<int>();
  if (state < 0 || state > static_cast<int>(MemberState::Dead))
    throw std::invalid_argument("invalid member state " +
                                std::to_string(state));
  return {VmId(body.at(0).get<std::string>()),
          Incarnation(body.at(1).get<std::uint64_t>()),
          body.at(2).get<std::uint64_t>(),
          static_cast<MemberState>(state),
          DomainId(body.at(4).get<std::string>()),
          body.at(5).get<std::string>(),
          {body.at(6).get<std::string>(), body.at(7).get<std::uint16_t>()},
          body.at(8).get<bool>()};
}

Json encodeBucketDigests(const BucketDigests &buckets) { return Json(buckets); }

BucketDigests decodeBucketDigests(const Json &body) {
  return body.get<BucketDigests>();
}

Json encodeItemVersions(const std::vector<ItemVersion> &items) {
  Json body = Json::array();
  for (const ItemVersion &it : items)
    body.push_back({static_cast<int>(it.Key.Kind), it.Key.Name, it.Rev.Value});
  return body;
}

std::vector<ItemVersion> decodeItemVersions(const Json &body) {
  std::vector<ItemVersion> items;
  for (const Json &it : body) {
    const int kind = it.at(0).get<int>();
    if (kind < 0 || kind > static_cast<int>(ItemKind::Record))
      throw std::invalid_argument("invalid item kind " + std::to_string(kind));
    items.push_back({{static_cast<ItemKind>(kind), it.at(1).get<std::string>()},
                     Revision(it.at(2).get<std::uint64_t>())});
  }
  return items;
}

} // namespace

Json encodeControl(const Heartbeat &message) {
  return {"beat", {message.Period.count(), message.Members, message.Items}};
}

Json encodeControl(const MembersUpdate &message) {
  Json body = Json::array();
  for (const MemberEntry &it : message.Entries)
    body.push_back(encodeMemberEntry(it));
  return {"members", body};
}

Json encodeControl(const MembersSyncRequest &message) {
  return {"members?", encodeBucketDigests(message.Buckets)};
}

Json encodeControl(const ItemsAnnouncement &message) {
  return {"have", encodeItemVersions(message.Items)};
}

Json encodeControl(const ItemsRequest &message) {
  return {"pull", encodeItemVersions(message.Items)};
}

Json encodeControl(const ItemsSyncRequest &message) {
  return {"items?", encodeBucketDigests(message.Buckets)};
}

Json encodeControl(const ItemsSyncReply &message) {
  return {"items",
          {message.DifferingBuckets, encodeItemVersions(message.Items)}};
}

Json encodeControl(const RevisionReportsUpdate &message) {
  Json body = Json::array();
  for (const RevisionReport &it : message.Reports) {
    Json recent = Json::array();
    for (const TeamRevision &row : it.Recent)
      recent.push_back({row.Team.Value, row.Rev.Value});
    body.push_back(
        {it.Vm.Value, it.Process.Value, it.Version, it.Digest, recent});
  }
  return {"reports", body};
}

LinkMessage decodeHeartbeat(const Json &body) {
  return MembershipEnvelope{Heartbeat{Duration(body.at(0).get<std::int64_t>()),
                                      body.at(1).get<std::uint64_t>(),
                                      body.at(2).get<std::uint64_t>()}};
}

LinkMessage decodeMembersUpdate(const Json &body) {
  MembersUpdate message;
  for (const Json &it : body)
    message.Entries.push_back(decodeMemberEntry(it));
  return MembershipEnvelope{std::move(message)};
}

LinkMessage decodeMembersSyncRequest(const Json &body) {
  return MembershipEnvelope{MembersSyncRequest{decodeBucketDigests(body)}};
}

LinkMessage decodeItemsAnnouncement(const Json &body) {
  return RelayEnvelope{ItemsAnnouncement{decodeItemVersions(body)}};
}

LinkMessage decodeItemsRequest(const Json &body) {
  return RelayEnvelope{ItemsRequest{decodeItemVersions(body)}};
}

LinkMessage decodeItemsSyncRequest(const Json &body) {
  return RelayEnvelope{ItemsSyncRequest{decodeBucketDigests(body)}};
}

LinkMessage decodeItemsSyncReply(const Json &body) {
  return RelayEnvelope{ItemsSyncReply{decodeItemVersions(body.at(1)),
                                      body.at(0).get<std::uint32_t>()}};
}

LinkMessage decodeRevisionReports(const Json &body) {
  RevisionReportsUpdate message;
  for (const Json &it : body) {
    RevisionReport report{VmId(it.at(0).get<std::string>()),
                          Incarnation(it.at(1).get<std::uint64_t>()),
                          it.at(2).get<std::uint64_t>(),
                          it.at(3).get<std::uint64_t>(),
                          {}};
    for (const Json &row : it.at(4))
      report.Recent.push_back({TeamId(row.at(0).get<std::string>()),
                               Revision(row.at(1).get<std::uint64_t>())});
    message.Reports.push_back(std::move(report));
  }
  return message;
}

} // namespace waxwing
