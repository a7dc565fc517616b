/**
 * @file peer_message.cpp
 * CBOR encoding of the datagrams between VMs.
 */
#include "peers/peer_message_type.h"

#include "core/hash_func.h"
#include "ranges/range_codec_func.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

namespace waxwing {
namespace {

using Json = nlohmann::json;

/// First element of each datagram; identifies the type of the message.
constexpr int HelloTag = 1;
constexpr int ReplyTag = 2;
constexpr int RangeUpdateTag = 3;

Json encodeVmIds(const std::vector<VmId> &vms) {
  Json result = Json::array();
  for (const VmId &vm : vms)
    result.push_back(vm.Value);
  return result;
}

std::vector<VmId> decodeVmIds(const Json &json) {
  std::vector<VmId> vms;
  for (const Json &vm : json)
    vms.emplace_back(vm.get<std::string>());
  return vms;
}

/// Encodes each type of message as an array that begins with its tag.
struct Encoder {
  Json operator()(const PeerHello &hello) const {
    Json revisions = Json::object();
    for (const auto &[service, revision] : hello.MapRevisions)
      revisions[service.Value] = revision;
    Json keys = Json::object();
    for (const auto &[service, list] : hello.Keys)
      keys[service.Value] = list;
    return {HelloTag,
            hello.Sender.Vm.Value,
            hello.Sender.Domain.Value,
            hello.Sender.CpuCores,
            hello.ListHash,
            revisions,
            keys};
  }
  Json operator()(const PeerReply &reply) const {
    Json list;
    if (reply.List)
      list = {encodeVmIds(reply.List->Vms),
              encodeVmIds(reply.List->Successors)};
    return {ReplyTag, reply.Term, list, reply.IsLeaving};
  }
  Json operator()(const PeerRangeUpdate &ranges) const {
    Json rows = Json::array();
    for (const RangeRow &row : ranges.Rows)
      rows.push_back(encodeRangeRow(row));
    return {
        RangeUpdateTag,   ranges.Service.Value, ranges.Revision, ranges.Base,
        ranges.NextFence, ranges.Part,          ranges.Parts,    rows};
  }
};

PeerHello decodeHello(const Json &json) {
  PeerHello hello;
  hello.Sender = {VmId(json.at(1).get<std::string>()),
                  DomainId(json.at(2).get<std::string>()),
                  json.at(3).get<double>()};
  hello.ListHash = json.at(4).get<std::uint64_t>();
  for (const auto &[service, revision] : json.at(5).items())
    hello.MapRevisions[ServiceId(service)] = revision.get<std::uint64_t>();
  for (const auto &[service, keys] : json.at(6).items())
    hello.Keys[ServiceId(service)] = keys.get<std::vector<std::uint16_t>>();
  return hello;
}

PeerReply decodeReply(const Json &json) {
  PeerReply reply;
  reply.Term = json.at(1).get<std::uint64_t>();
  if (const Json &list = json.at(2); !list.is_null())
    reply.List = VmList{decodeVmIds(list.at(0)), decodeVmIds(list.at(1))};
  reply.IsLeaving = json.at(3).get<bool>();
  return reply;
}

PeerRangeUpdate decodeRangeUpdate(const Json &json) {
  PeerRangeUpdate ranges;
  ranges.Service = ServiceId(json.at(1).get<std::string>());
  ranges.Revision = json.at(2).get<std::uint64_t>();
  ranges.Base = json.at(3).get<std::uint64_t>();
  ranges.NextFence = json.at(4).get<std::uint64_t>();
  ranges.Part = json.at(5).get<std::uint32_t>();
  ranges.Parts = json.at(6).get<std::uint32_t>();
  for (const Json &row : json.at(7))
    ranges.Rows.push_back(decodeRangeRow(row));
  return ranges;
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message) {
  const auto bytes = Json::to_cbor(std::visit(Encoder{}, message));
  return {bytes.begin(), bytes.end()};
}

absl::StatusOr<PeerMessage> decodePeerMessage(const std::string &bytes) {
  try {
    const Json json = Json::from_cbor(bytes);
    switch (json.at(0).get<int>()) {
    case HelloTag:
      return decodeHello(json);
    case ReplyTag:
      return decodeReply(json);
    case RangeUpdateTag:
      return decodeRangeUpdate(json);
    default:
      return absl::InvalidArgumentError("datagram has an unknown message type");
    }
  } catch (const Json::exception &error) {
    return absl::InvalidArgumentError(std::string("datagram: ") + error.what());
  }
}

std::uint64_t hashVmList(const VmList &list) {
  std::uint64_t hash = 1;
  for (const VmId &vm : list.Vms)
    hash = hashText(vm.Value, hash);
  for (const VmId &vm : list.Successors)
    hash = hashText(vm.Value, hash);
  return hash;
}

} // namespace waxwing
