/**
 * @file ownership_record.cpp
 * CBOR encoding of the ownership record. A table holds the name of each owner
 * once; shards and split keys refer to it by index.
 */
#include "ownership/ownership_record_base.h"

#include <absl/status/status.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace waxwing {
namespace {

using Json = nlohmann::json;

/// Assigns an index to each distinct owner.
class OwnerTable {
public:
  std::size_t indexOf(const UpstreamId &owner) {
    const auto [it, isNew] = Indices.try_emplace(owner, Names.size());
    if (isNew)
      Names.push_back(owner.Value);
    return it->second;
  }
  std::vector<std::string> Names;

private:
  std::map<UpstreamId, std::size_t> Indices;
};

UnitOwner decodeOwner(const std::vector<std::string> &names,
                      const Json &owner) {
  return {UpstreamId(names.at(owner.at(0).get<std::size_t>())),
          FencingToken(owner.at(1).get<std::uint64_t>())};
}

Json encodeMembers(const MemberSet &set) {
  Json members = Json::array();
  for (const RecordMember &member : set)
    members.push_back(
        {member.Vm.Value, member.Process.Value, member.Domain.Value});
  return members;
}

MemberSet decodeMembers(const Json &members) {
  MemberSet set;
  for (const Json &member : members)
    set.push_back({VmId(member.at(0).get<std::string>()),
                   Incarnation(member.at(1).get<std::uint64_t>()),
                   DomainId(member.at(2).get<std::string>())});
  return set;
}

} // namespace

std::string encodeRecord(const OwnershipRecord &record) {
  OwnerTable owners;
  const auto encodeOwner = [&](const UnitOwner &owner) {
    return Json::array({owners.indexOf(owner.Owner), owner.Fence.Value});
  };
  Json former = Json::array();
  for (const MemberSet &set : record.FormerMemberSets)
    former.push_back(encodeMembers(set));
  Json shards = Json::array();
  for (const UnitOwner &owner : record.Shards)
    shards.push_back(encodeOwner(owner));
  Json splits = Json::array();
  for (const auto &[key, owner] : record.SplitKeys)
    splits.push_back({key.Value, encodeOwner(owner)});
  Json changes = Json::array();
  for (const RecordChange &change : record.Changes)
    changes.push_back({change.Change.Value, change.Record.Value});
  const Json json{{"service", record.Service.Value},
                  {"rev", record.Rev.Value},
                  {"members", encodeMembers(record.Members)},
                  {"former", former},
                  {"shards", shards},
                  {"splits", splits},
                  {"owners", owners.Names},
                  {"changes", changes}};
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

absl::StatusOr<OwnershipRecord> decodeRecord(const std::string &bytes) {
  try {
    const Json json = Json::from_cbor(bytes);
    OwnershipRecord record;
    record.Service = ServiceId(json.at("service").get<std::string>());
    record.Rev = Revision(json.at("rev").get<std::uint64_t>());
    record.Members = decodeMembers(json.at("members"));
    for (const Json &set : json.at("former"))
      record.FormerMemberSets.push_back(decodeMembers(set));
    const auto names = json.at("owners").get<std::vector<std::string>>();
    for (const Json &shard : json.at("shards"))
      record.Shards.push_back(decodeOwner(names, shard));
    for (const Json &split : json.at("splits"))
      record.SplitKeys.emplace(KeyHash(split.at(0).get<std::uint64_t>()),
                               decodeOwner(names, split.at(1)));
    for (const Json &change : json.at("changes"))
      record.Changes.push_back({ChangeId(change.at(0).get<std::uint64_t>()),
                                Revision(change.at(1).get<std::uint64_t>())});
    return record;
  } catch (const std::exception &error) {
    return absl::InvalidArgumentError(std::string("ownership record: ") +
                                      error.what());
  }
}

KeyHash hashKey(const std::string &key) {
  return KeyHash(XXH3_64bits(key.data(), key.size()));
}

KeyOwner ownerOf(const OwnershipRecord &record, KeyHash key) {
  if (const auto it = record.SplitKeys.find(key); it != record.SplitKeys.end())
    return {key, it->second};
  const ShardId shard = shardOf(key, record.Shards.size());
  return {shard, record.Shards[shard.Value]};
}

ShardId shardOf(KeyHash key, std::size_t shardCount) {
  const auto scaled =
      static_cast<unsigned __int128>(key.Value) * shardCount >> 64;
  return ShardId(static_cast<std::uint32_t>(scaled));
}

} // namespace waxwing
