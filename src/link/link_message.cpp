/**
 * @file link_message.cpp
 * Encodes and decodes link messages as CBOR arrays [type name, body].
 */
#include "link/link_message_func.h"

#include "link/control_codec.h"
#include "link/home_message_func.h"

#include <absl/status/status.h>
#include <array>
#include <nlohmann/json.hpp>

namespace waxwing {
namespace {

using Json = nlohmann::json;

Json::binary_t toBinary(const std::string &bytes) {
  return {std::vector<std::uint8_t>(bytes.begin(), bytes.end())};
}

std::string fromBinary(const Json &json) {
  const auto &bytes = json.get_binary();
  return {bytes.begin(), bytes.end()};
}

/// Encodes a message as [type name, body].
struct Encoder {
  Json operator()(const LinkHello &hello) const {
    return {"hello",
            {hello.Self.Vm.Value, hello.Self.Process.Value,
             hello.Self.Domain.Value, static_cast<int>(hello.Role)}};
  }
  Json operator()(const DocumentsUpdate &update) const {
    Json documents = Json::array();
    for (const TeamDocument &document : update.Documents)
      documents.push_back(
          {document.Team.Value, document.Rev.Value, document.Text});
    return {"documents", documents};
  }
  Json operator()(const OwnersUpdate &update) const {
    return {"owners", toBinary(encodeRecord(update.Record))};
  }
  Json operator()(const CrashReportsUpdate &update) const {
    Json reports = Json::array();
    for (const CrashReport &it : update.Reports)
      reports.push_back(Json::array({it.Fingerprint.Value, it.Upstream.Value,
                                     it.Domain.Value, it.Age.count()}));
    return {"crashes", reports};
  }
  Json operator()(const OwnershipEnvelope &envelope) const {
    return std::visit(*this, envelope.Message);
  }
  Json operator()(const MembershipEnvelope &envelope) const {
    return std::visit([](const auto &it) { return encodeControl(it); },
                      envelope.Message);
  }
  Json operator()(const RelayEnvelope &envelope) const {
    return std::visit(*this, envelope.Message);
  }
  Json operator()(const ItemContent &it) const {
    return std::visit(*this, it.Content);
  }
  Json operator()(const TeamDocument &it) const {
    return (*this)(DocumentsUpdate{{it}});
  }
  Json operator()(const OwnershipRecord &it) const {
    return (*this)(OwnersUpdate{it});
  }
  Json operator()(const ItemsAnnouncement &it) const {
    return encodeControl(it);
  }
  Json operator()(const ItemsRequest &it) const { return encodeControl(it); }
  Json operator()(const ItemsSyncRequest &it) const {
    return encodeControl(it);
  }
  Json operator()(const ItemsSyncReply &it) const { return encodeControl(it); }
  Json operator()(const RevisionReportsUpdate &it) const {
    return encodeControl(it);
  }
  Json operator()(const ConfirmRequest &it) const {
    return {"confirm", {it.Service.Value, it.Record.Value, it.Round}};
  }
  Json operator()(const ConfirmReply &it) const {
    return {"confirmed",
            {it.Service.Value, it.Record.Value, it.Round, it.Confirmed,
             it.Fence.Value, it.IsOnlyRenewer}};
  }
  Json operator()(const HomeLeaseRequest &it) const {
    return {"home_ask", encodeHomeLeaseRequest(it)};
  }
  Json operator()(const HotKeysReport &it) const {
    Json rates = Json::array();
    for (const auto &[key, rate] : it.Rates)
      rates.push_back({key.Value, rate});
    return {"hot_keys", {it.Service.Value, rates}};
  }
  Json operator()(const HomeLeaseResponse &it) const {
    return {"home_answer", encodeHomeLeaseResponse(it)};
  }
  Json operator()(const HomesUpdate &it) const {
    return {"homes", encodeHomesUpdate(it)};
  }
};

LinkMessage decodeLinkHello(const Json &body) {
  return LinkHello{{VmId(body.at(0).get<std::string>()),
                    Incarnation(body.at(1).get<std::uint64_t>()),
                    DomainId(body.at(2).get<std::string>())},
                   static_cast<ProcessRole>(body.at(3).get<int>())};
}

LinkMessage decodeDocumentsUpdate(const Json &body) {
  DocumentsUpdate update;
  for (const Json &document : body)
    update.Documents.push_back({TeamId(document.at(0).get<std::string>()),
                                Revision(document.at(1).get<std::uint64_t>()),
                                document.at(2).get<std::string>()});
  return update;
}

LinkMessage decodeCrashReports(const Json &body) {
  CrashReportsUpdate update;
  for (const Json &it : body)
    update.Reports.push_back({RequestFingerprint(it.at(0).get<std::uint64_t>()),
                              UpstreamId(it.at(1).get<std::string>()),
                              DomainId(it.at(2).get<std::string>()),
                              Duration(it.at(3).get<std::int64_t>())});
  return update;
}

LinkMessage decodeHotKeysReport(const Json &body) {
  HotKeysReport report;
  report.Service = ServiceId(body.at(0).get<std::string>());
  for (const Json &row : body.at(1))
    report.Rates[KeyHash(row.at(0).get<std::uint64_t>())] =
        row.at(1).get<double>();
  return report;
}

LinkMessage decodeOwnersUpdate(const Json &body) {
  auto record = decodeRecord(fromBinary(body));
  if (!record.ok())
    throw std::invalid_argument(std::string(record.status().message()));
  return OwnersUpdate{*std::move(record)};
}

LinkMessage decodeConfirmRequest(const Json &body) {
  return OwnershipEnvelope{
      ConfirmRequest{ServiceId(body.at(0).get<std::string>()),
                     Revision(body.at(1).get<std::uint64_t>()),
                     body.at(2).get<std::uint64_t>()}};
}

LinkMessage decodeConfirmReply(const Json &body) {
  return OwnershipEnvelope{ConfirmReply{
      ServiceId(body.at(0).get<std::string>()),
      Revision(body.at(1).get<std::uint64_t>()),
      body.at(2).get<std::uint64_t>(), body.at(3).get<bool>(),
      Revision(body.at(4).get<std::uint64_t>()), body.at(5).get<bool>()}};
}

/// A message type's name and the decoder of its body.
struct MessageDecoder {
  std::string_view Name;
  LinkMessage (*Decode)(const Json &body);
};

constexpr std::array Decoders{
    MessageDecoder{"hello", decodeLinkHello},
    MessageDecoder{"documents", decodeDocumentsUpdate},
    MessageDecoder{"owners", decodeOwnersUpdate},
    MessageDecoder{"crashes", decodeCrashReports},
    MessageDecoder{"confirm", decodeConfirmRequest},
    MessageDecoder{"confirmed", decodeConfirmReply},
    MessageDecoder{"home_ask",
                   [](const Json &body) {
                     return LinkMessage(decodeHomeLeaseRequest(body));
                   }},
    MessageDecoder{"home_answer",
                   [](const Json &body) {
                     return LinkMessage(decodeHomeLeaseResponse(body));
                   }},
    MessageDecoder{
        "homes",
        [](const Json &body) { return LinkMessage(decodeHomesUpdate(body)); }},
    MessageDecoder{"hot_keys", decodeHotKeysReport},
    MessageDecoder{"beat", decodeHeartbeat},
    MessageDecoder{"members", decodeMembersUpdate},
    MessageDecoder{"members?", decodeMembersSyncRequest},
    MessageDecoder{"have", decodeItemsAnnouncement},
    MessageDecoder{"pull", decodeItemsRequest},
    MessageDecoder{"items?", decodeItemsSyncRequest},
    MessageDecoder{"items", decodeItemsSyncReply},
    MessageDecoder{"reports", decodeRevisionReports},
};

} // namespace

std::string encodeLinkMessage(const LinkMessage &message) {
  std::string bytes;
  Json::to_cbor(std::visit(Encoder(), message), bytes);
  return bytes;
}

absl::StatusOr<LinkMessage> decodeLinkMessage(const std::string &bytes) {
  try {
    const Json json = Json::from_cbor(bytes);
    const auto name = json.at(0).get<std::string>();
    for (const MessageDecoder &row : Decoders)
      if (row.Name == name)
        return row.Decode(json.at(1));
    return absl::InvalidArgumentError("unknown link message type '" + name +
                                      "'");
  } catch (const std::exception &error) {
    return absl::InvalidArgumentError(std::string("malformed link message: ") +
                                      error.what());
  }
}

} // namespace waxwing
