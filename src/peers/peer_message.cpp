/**
 * @file peer_message.cpp
 * CBOR encoding of the datagrams between VMs.
 */
#include "peers/peer_message_type.h"

#include "core/hash_func.h"
#include "ranges/range_codec_func.h"

#include <absl/status/status.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace waxwing {
namespace {

using Json = nlohmann::json;

/// First element of each datagram; identifies the type of the message.
constexpr int HelloTag = 1;
constexpr int ReplyTag = 2;
constexpr int RangeUpdateTag = 3;
constexpr int StoreUpdateTag = 4;
constexpr int CrashNewsTag = 5;
constexpr int PermitAskTag = 6;
constexpr int PermitAnswerTag = 7;

std::int64_t encodeDuration(Duration duration) { return duration.count(); }
Duration decodeDuration(const Json &json) {
  return Duration(json.get<std::int64_t>());
}

Json encodeCandidate(const Candidate &candidate) {
  return {candidate.Vm.Value, candidate.Domain.Value, candidate.CpuCores};
}

Candidate decodeCandidate(const Json &json) {
  return {VmId(json.at(0).get<std::string>()),
          DomainId(json.at(1).get<std::string>()), json.at(2).get<double>()};
}

Endpoint decodeEndpoint(const Json &json) {
  return parseEndpoint(json.get<std::string>());
}

Json encodeVmInfos(const std::vector<VmInfo> &vms) {
  Json result = Json::array();
  for (const VmInfo &vm : vms)
    result.push_back(
        {encodeCandidate(vm.Vm), formatEndpoint(vm.Address), vm.HasLinks});
  return result;
}

std::vector<VmInfo> decodeVmInfos(const Json &json) {
  std::vector<VmInfo> vms;
  for (const Json &vm : json)
    vms.push_back({decodeCandidate(vm.at(0)), decodeEndpoint(vm.at(1)),
                   vm.at(2).get<bool>()});
  return vms;
}

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

Json encodeLimits(const std::vector<LimitNotice> &limits) {
  Json result = Json::array();
  for (const LimitNotice &limit : limits) {
    Json perS;
    if (limit.PerS)
      perS = *limit.PerS;
    result.push_back({limit.Process.Id.Value, limit.Process.StartedAtMs, perS,
                      encodeDuration(limit.Age)});
  }
  return result;
}

/// Decodes the element @p index of a message, which earlier versions lack.
std::vector<LimitNotice> decodeLimits(const Json &message, std::size_t index) {
  std::vector<LimitNotice> limits;
  if (message.size() <= index)
    return limits;
  for (const Json &json : message.at(index)) {
    LimitNotice limit;
    limit.Process = {UpstreamId(json.at(0).get<std::string>()),
                     json.at(1).get<std::int64_t>()};
    if (!json.at(2).is_null())
      limit.PerS = json.at(2).get<double>();
    limit.Age = decodeDuration(json.at(3));
    limits.push_back(std::move(limit));
  }
  return limits;
}

Json encodeService(const std::optional<StoreServiceReport> &service) {
  if (!service)
    return {};
  return {encodeDuration(service->SinceAge), encodeDuration(service->UntilAge)};
}

/// @return the report at @p index; nullopt if the message ends before
std::optional<StoreServiceReport> decodeService(const Json &json,
                                                std::size_t index) {
  if (json.size() <= index || json.at(index).is_null())
    return std::nullopt;
  return StoreServiceReport{decodeDuration(json.at(index).at(0)),
                            decodeDuration(json.at(index).at(1))};
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
    Json report;
    if (hello.Report) {
      report = {encodeDuration(hello.Report->StoreAge),
                encodeVmInfos(hello.Report->Followers)};
    }
    Json leaving = Json::array();
    for (const UpstreamProcess &process : hello.Leaving)
      leaving.push_back({process.Id.Value, process.StartedAtMs});
    Json crashDigest;
    if (hello.CrashDigest)
      crashDigest = *hello.CrashDigest;
    return {HelloTag,
            encodeCandidate(hello.Sender),
            hello.ListHash,
            revisions,
            keys,
            hello.StoreRevisions,
            report,
            hello.HasLinks,
            leaving,
            crashDigest,
            encodeLimits(hello.Limits),
            hello.NewestChanges,
            hello.SentAtUs,
            encodeService(hello.StoreService)};
  }
  Json operator()(const PeerReply &reply) const {
    Json list;
    if (reply.List)
      list = {encodeVmInfos(reply.List->Vms),
              encodeVmIds(reply.List->Successors)};
    Json assignment;
    if (reply.Assignment)
      assignment = {reply.Assignment->IsReader, reply.Assignment->Reader.Value,
                    formatEndpoint(reply.Assignment->Address)};
    Json store;
    if (reply.Store) {
      Json recoveredAge;
      if (reply.Store->RecoveredAge)
        recoveredAge = encodeDuration(*reply.Store->RecoveredAge);
      store = {encodeDuration(reply.Store->Age), recoveredAge,
               reply.Store->Revisions};
    }
    return {ReplyTag,
            reply.Leader.Term,
            reply.Leader.Name.Value,
            formatEndpoint(reply.Leader.Address),
            list,
            reply.IsLeaving,
            assignment,
            store,
            encodeLimits(reply.Limits),
            reply.NewestChanges,
            reply.HelloSentAtUs,
            encodeService(reply.StoreService)};
  }
  Json operator()(const PeerStoreUpdate &update) const {
    Json changes = Json::array();
    for (const platform::StoreChange &change : update.Batch.Changes) {
      Json value;
      if (change.Value)
        value = Json::binary(std::vector<std::uint8_t>(change.Value->begin(),
                                                       change.Value->end()));
      changes.push_back({change.Key, value, change.Revision});
    }
    return {StoreUpdateTag, static_cast<int>(update.Feed), update.Batch.Base,
            update.Batch.To, changes};
  }
  Json operator()(const PeerRangeUpdate &ranges) const {
    Json rows = Json::array();
    for (const RangeRow &row : ranges.Rows)
      rows.push_back(encodeRangeRow(row));
    return {
        RangeUpdateTag,   ranges.Service.Value, ranges.Revision, ranges.Base,
        ranges.NextFence, ranges.Part,          ranges.Parts,    rows};
  }
  Json operator()(const PeerCrashNews &message) const {
    Json reports = Json::array();
    for (const CrashReport &it : message.News.Reports)
      reports.push_back({it.Fingerprint.Value, it.Upstream.Value,
                         it.Domain.Value, encodeDuration(it.Age),
                         it.StartedAtMs});
    Json clearances = Json::array();
    for (const CrashClearance &it : message.News.Clearances)
      clearances.push_back({it.Fingerprint.Value, encodeDuration(it.Age)});
    Json suspects = Json::array();
    for (const CrashSuspect &it : message.News.Suspects)
      suspects.push_back({it.Fingerprint.Value, encodeDuration(it.Left)});
    return {CrashNewsTag, reports, clearances, suspects, message.IsComplete};
  }
  Json operator()(const PeerPermitAsk &ask) const {
    return {PermitAskTag, ask.Process.Id.Value, ask.Process.StartedAtMs,
            ask.PerS};
  }
  Json operator()(const PeerPermitAnswer &answer) const {
    return {PermitAnswerTag, answer.Process.Id.Value,
            answer.Process.StartedAtMs, answer.Answer.IsGranted,
            encodeDuration(answer.Answer.RetryAfter)};
  }
};

/// Decodes the first elements of a message about a process.
UpstreamProcess decodeProcess(const Json &message) {
  return {UpstreamId(message.at(1).get<std::string>()),
          message.at(2).get<std::int64_t>()};
}

PeerHello decodeHello(const Json &json) {
  PeerHello hello;
  hello.Sender = decodeCandidate(json.at(1));
  hello.ListHash = json.at(2).get<std::uint64_t>();
  for (const auto &[service, revision] : json.at(3).items())
    hello.MapRevisions[ServiceId(service)] = revision.get<std::uint64_t>();
  for (const auto &[service, keys] : json.at(4).items())
    hello.Keys[ServiceId(service)] = keys.get<std::vector<std::uint16_t>>();
  hello.StoreRevisions = json.at(5).get<FeedRevisions>();
  if (const Json &report = json.at(6); !report.is_null()) {
    hello.Report.emplace();
    hello.Report->StoreAge = decodeDuration(report.at(0));
    hello.Report->Followers = decodeVmInfos(report.at(1));
  }
  hello.HasLinks = json.at(7).get<bool>();
  for (const Json &process : json.at(8))
    hello.Leaving.push_back({UpstreamId(process.at(0).get<std::string>()),
                             process.at(1).get<std::int64_t>()});
  // Hellos of earlier versions end here.
  if (json.size() > 9 && !json.at(9).is_null())
    hello.CrashDigest = json.at(9).get<std::uint64_t>();
  hello.Limits = decodeLimits(json, 10);
  if (json.size() > 11)
    hello.NewestChanges = json.at(11).get<FeedRevisions>();
  if (json.size() > 12)
    hello.SentAtUs = json.at(12).get<std::int64_t>();
  hello.StoreService = decodeService(json, 13);
  return hello;
}

PeerReply decodeReply(const Json &json) {
  PeerReply reply;
  reply.Leader = {VmId(json.at(2).get<std::string>()),
                  decodeEndpoint(json.at(3)), json.at(1).get<std::uint64_t>()};
  if (const Json &list = json.at(4); !list.is_null())
    reply.List = VmList{decodeVmInfos(list.at(0)), decodeVmIds(list.at(1))};
  reply.IsLeaving = json.at(5).get<bool>();
  if (const Json &assignment = json.at(6); !assignment.is_null())
    reply.Assignment = {assignment.at(0).get<bool>(),
                        VmId(assignment.at(1).get<std::string>()),
                        decodeEndpoint(assignment.at(2))};
  if (const Json &store = json.at(7); !store.is_null()) {
    reply.Store.emplace();
    reply.Store->Age = decodeDuration(store.at(0));
    if (!store.at(1).is_null())
      reply.Store->RecoveredAge = decodeDuration(store.at(1));
    reply.Store->Revisions = store.at(2).get<FeedRevisions>();
  }
  reply.Limits = decodeLimits(json, 8);
  if (json.size() > 9)
    reply.NewestChanges = json.at(9).get<FeedRevisions>();
  if (json.size() > 10)
    reply.HelloSentAtUs = json.at(10).get<std::int64_t>();
  reply.StoreService = decodeService(json, 11);
  return reply;
}

PeerStoreUpdate decodeStoreUpdate(const Json &json) {
  PeerStoreUpdate update;
  const auto feed = json.at(1).get<std::size_t>();
  update.Feed = static_cast<FeedId>(std::min(feed, FeedCount - 1));
  update.Batch.Base = json.at(2).get<std::uint64_t>();
  update.Batch.To = json.at(3).get<std::uint64_t>();
  for (const Json &item : json.at(4)) {
    platform::StoreChange change;
    change.Key = item.at(0).get<std::string>();
    if (const Json &value = item.at(1); !value.is_null()) {
      const auto &bytes = value.get_binary();
      change.Value = std::string(bytes.begin(), bytes.end());
    }
    change.Revision = item.at(2).get<std::uint64_t>();
    update.Batch.Changes.push_back(std::move(change));
  }
  return update;
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

PeerCrashNews decodeCrashNews(const Json &json) {
  PeerCrashNews message;
  for (const Json &it : json.at(1))
    message.News.Reports.push_back(
        {RequestFingerprint(it.at(0).get<std::uint64_t>()),
         UpstreamId(it.at(1).get<std::string>()),
         DomainId(it.at(2).get<std::string>()), decodeDuration(it.at(3)),
         it.at(4).get<std::int64_t>()});
  for (const Json &it : json.at(2))
    message.News.Clearances.push_back(
        {RequestFingerprint(it.at(0).get<std::uint64_t>()),
         decodeDuration(it.at(1))});
  for (const Json &it : json.at(3))
    message.News.Suspects.push_back(
        {RequestFingerprint(it.at(0).get<std::uint64_t>()),
         decodeDuration(it.at(1))});
  message.IsComplete = json.at(4).get<bool>();
  return message;
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
    case StoreUpdateTag:
      return decodeStoreUpdate(json);
    case CrashNewsTag:
      return decodeCrashNews(json);
    case PermitAskTag:
      return PeerPermitAsk{decodeProcess(json), json.at(3).get<double>()};
    case PermitAnswerTag:
      return PeerPermitAnswer{
          decodeProcess(json),
          {json.at(3).get<bool>(), decodeDuration(json.at(4))}};
    default:
      return absl::InvalidArgumentError("datagram has an unknown message type");
    }
  } catch (const Json::exception &error) {
    return absl::InvalidArgumentError(std::string("datagram: ") + error.what());
  }
}

std::uint64_t hashVmList(const VmList &list) {
  std::uint64_t hash = 1;
  for (const VmInfo &vm : list.Vms) {
    hash = hashText(vm.Vm.Vm.Value, hash);
    hash = hashText(formatEndpoint(vm.Address), hash);
    hash = hashText(vm.HasLinks ? "links" : "", hash);
  }
  for (const VmId &vm : list.Successors)
    hash = hashText(vm.Value, hash);
  return hash;
}

} // namespace waxwing
