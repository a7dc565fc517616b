/**
 * @file parser_fuzz_test.cpp
 * Fuzz tests of all parsers of network input, with random bytes and with
 * mutated valid input. A parser must return a value or an error, and must not
 * crash.
 */
#include "admin/admin_call_func.h"
#include "config/config_cmd.h"
#include "config/token_config_base.h"
#include "core/sha256_func.h"
#include "link/link_message_func.h"
#include "membership/vm_list_type.h"
#include "net/url_func.h"
#include "settings/ini_func.h"
#include "settings/vm_settings_base.h"
#include "upstream/upstream_protocol.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwing {
namespace {

using Mutations =
    std::vector<std::tuple<std::uint16_t, std::uint8_t, std::uint8_t>>;

/// Overwrites, inserts, removes or repeats bytes, or truncates the text.
std::string mutate(std::string text, const Mutations &mutations) {
  for (const auto &[place, kind, byte] : mutations) {
    const std::size_t n = text.empty() ? 0 : place % text.size();
    switch (kind % 5) {
    case 0:
      if (!text.empty())
        text[n] = static_cast<char>(byte);
      break;
    case 1:
      text.insert(n, 1, static_cast<char>(byte));
      break;
    case 2:
      text.erase(n, byte % 8);
      break;
    case 3:
      text.insert(n, text.substr(n, byte));
      break;
    default:
      text.resize(n);
      break;
    }
  }
  return text;
}

/// Text of a team's document that begins with one history entry.
const std::string Document =
    ";@ [\"id\",\"f\",3,\"now\",\"who\",[[\"a/b/c\",null,\"1\"]]]\n;@ end\n"
    "# c\n[domain d]\n[tier p]\nweight = 1\n[service s]\nslots = 3\n"
    "  continued\n[upstream u]\nservice = s\naddress = 127.0.0.1:1\n"
    "domain = d\n";

OwnershipRecord makeRecord() {
  OwnershipRecord record;
  record.Service = ServiceId("t/s");
  record.Rev = Revision(3);
  record.Members = {{VmId("a"), Incarnation(7), DomainId("d")}};
  record.Shards = {{UpstreamId("t/u"), FencingToken(2)}, {}};
  record.SplitKeys[KeyHash(9)] = {UpstreamId("t/u"), FencingToken(3)};
  record.Changes = {{ChangeId(5), Revision(3)}};
  return record;
}

/// @return valid link messages of the various kinds
std::vector<LinkMessage> validLinkMessages() {
  const ServiceId service("t/s");
  MemberEntry member;
  member.Vm = VmId("a");
  member.Link = {"127.0.0.1", 1};
  const ItemVersion version{{ItemKind::Document, "t"}, Revision(3)};
  ItemsSyncReply items;
  items.Items = {version};
  items.DifferingBuckets = 5;
  RevisionReport report;
  report.Vm = VmId("a");
  report.Recent = {{TeamId("t"), Revision(3)}};
  HomeLeaseRequest ask;
  ask.Service = service;
  ask.Router = VmId("a");
  HomeLeaseResponse answer;
  answer.Service = service;
  HomesUpdate homes;
  homes.Service = service;
  return {LinkHello{{VmId("a"), Incarnation(1), DomainId("d")},
                    ProcessRole::Controller},
          DocumentsUpdate{{{TeamId("t"), Revision(1), Document}}},
          OwnersUpdate{makeRecord()},
          OwnershipEnvelope{ConfirmRequest{service, Revision(3), 4}},
          OwnershipEnvelope{
              ConfirmReply{service, Revision(3), 4, true, Revision(3), false}},
          CrashReportsUpdate{},
          MembershipEnvelope{Heartbeat{milliseconds(100), 7, 8}},
          MembershipEnvelope{MembersUpdate{{member}}},
          MembershipEnvelope{MembersSyncRequest{}},
          RelayEnvelope{ItemsAnnouncement{{version}}},
          RelayEnvelope{ItemsRequest{{version}}},
          RelayEnvelope{ItemContent{}},
          RelayEnvelope{ItemsSyncRequest{}},
          RelayEnvelope{items},
          RevisionReportsUpdate{{report}},
          ask,
          answer,
          homes};
}

/// Passes @p bytes to all parsers of INI documents.
void parseDocumentBytes(const std::string &bytes) {
  parseIni(bytes, "f").status().IgnoreError();
  parseTeamConfig(TeamId("t"), bytes).status().IgnoreError();
  parseTokenConfig(bytes).status().IgnoreError();
  parseVmSettings(bytes, "f").status().IgnoreError();
  hideSecrets(bytes).status().IgnoreError();
}

RC_GTEST_PROP(ParserFuzz, RandomBytesAsLinkMessage,
              (const std::string &bytes)) {
  decodeLinkMessage(bytes).status().IgnoreError();
}

RC_GTEST_PROP(ParserFuzz, MutatedLinkMessage, (const Mutations &mutations)) {
  for (const LinkMessage &message : validLinkMessages()) {
    const std::string valid = encodeLinkMessage(message);
    RC_ASSERT(decodeLinkMessage(valid).ok());
    const auto decoded = decodeLinkMessage(mutate(valid, mutations));
    // A message that was decoded must survive another round trip.
    if (decoded.ok())
      RC_ASSERT(decodeLinkMessage(encodeLinkMessage(*decoded)).ok());
  }
}

RC_GTEST_PROP(ParserFuzz, GrantOrderAndAnswer,
              (const std::string &bytes, const Mutations &mutations)) {
  GrantOrder order;
  order.Service = ServiceId("t/s");
  order.Set =
      GrantSet{{{ShardId(1), FencingToken(2)}, {KeyHash(3), FencingToken(4)}},
               {KeyHash(3)}};
  GrantAnswer answer;
  answer.From = UpstreamId("t/u");
  answer.Set = order.Set;
  RC_ASSERT(decodeOrder(encodeOrder(order)).ok());
  RC_ASSERT(decodeGrantAnswer(encodeGrantAnswer(answer)).ok());
  decodeOrder(bytes).status().IgnoreError();
  decodeGrantAnswer(bytes).status().IgnoreError();
  decodeOrder(mutate(encodeOrder(order), mutations)).status().IgnoreError();
  decodeGrantAnswer(mutate(encodeGrantAnswer(answer), mutations))
      .status()
      .IgnoreError();
  static_cast<void>(parseUnit(bytes));
  static_cast<void>(parseUnit(mutate("shard:17", mutations)));
}

RC_GTEST_PROP(ParserFuzz, MutatedOwnershipRecord,
              (const Mutations &mutations)) {
  decodeRecord(mutate(encodeRecord(makeRecord()), mutations))
      .status()
      .IgnoreError();
}

RC_GTEST_PROP(ParserFuzz, VmList,
              (const std::string &bytes, const Mutations &mutations)) {
  const std::string valid =
      R"([{"name":"vm1","domain":"d","link":"127.0.0.1:1",)"
      R"("forward":"127.0.0.1:2"}])";
  RC_ASSERT(parseVmList(valid).ok());
  parseVmList(bytes).status().IgnoreError();
  parseVmList(mutate(valid, mutations)).status().IgnoreError();
}

RC_GTEST_PROP(ParserFuzz, ConfigDocuments,
              (const std::string &bytes, const Mutations &mutations)) {
  parseDocumentBytes(bytes);
  parseDocumentBytes(mutate(Document, mutations));
}

RC_GTEST_PROP(ParserFuzz, DocumentSurvivesRoundTrip,
              (const Mutations &mutations)) {
  ConfigDocument document{{}, mutate(Document, mutations)};
  document.History.push_back(
      {"id", "f", Revision(1), "now", "who", {{"p", std::nullopt, "\xff\n"}}});
  const ConfigDocument back = splitDocument(joinDocument(document));
  RC_ASSERT(back.Body == document.Body);
  RC_ASSERT(back.History.size() == 1U);
}

/// Segments of an accepted target contain no separators and cannot refer to a
/// parent directory.
RC_GTEST_PROP(ParserFuzz, TargetSegmentsCannotTraversePaths,
              (const std::string &bytes, const Mutations &mutations)) {
  for (const std::string &text :
       {bytes, "/" + bytes,
        mutate("/v1/teams/two%2e/settings/a/b?base=1&change=x", mutations)}) {
    const auto target = parseTarget(text);
    if (!target)
      continue;
    for (const std::string &part : target->Parts) {
      RC_ASSERT(part != "" && part != "." && part != "..");
      RC_ASSERT(part.find_first_of("/\\\n\r") == std::string::npos);
      RC_ASSERT(part.find('\0') == std::string::npos);
    }
    target->number("base");
  }
}

/// Any administration request that parses as a change refers to a single
/// team's document.
RC_GTEST_PROP(ParserFuzz, AdminCalls,
              (const std::string &bytes, const Mutations &inTarget,
               const Mutations &inBody, std::uint8_t method)) {
  const std::array<std::string, 4> methods{"GET", "PUT", "POST", "DELETE"};
  const std::array<std::string, 3> bodies{
      R"({"commands":[{"set":"tier/p/weight","value":"1"},)"
      R"({"remove":"tier/p"}],"base":3,"change":"x"})",
      R"({"value":"1","text":"[domain d]\n","sha256":"ab","teams":"*"})",
      bytes};
  for (const std::string target :
       {"/v1/teams/one/changes", "/v1/teams/one/settings/tier/p/weight",
        "/v1/teams/one/validate", "/v1/tokens/n"})
    for (const std::string &body : bodies) {
      const HttpRequest request{methods[method % 4],
                                mutate(target, inTarget),
                                {},
                                mutate(body, inBody)};
      const auto parsed = parseAdminRequest(request);
      const auto *call = std::get_if<AdminRequest>(&parsed);
      if (call == nullptr)
        continue;
      if (const auto *change = std::get_if<ChangeRequest>(call)) {
        RC_ASSERT(change->Document.Team.Value.find('/') == std::string::npos);
        makeDocumentChange(change->Document, Document, change->Commands)
            .status()
            .IgnoreError();
      }
    }
}

/// A command that sets a value changes no other setting of the document.
RC_GTEST_PROP(ParserFuzz, SetValueModifiesItsPathOnly,
              (const std::string &key, const std::string &value)) {
  const std::string body = "[domain d]\n[tier p]\nweight = 1\n";
  const std::vector<ConfigCommand> commands{
      SetValue{{"tier", "p"}, key, value}};
  const auto change =
      makeDocumentChange({DocumentKind::Team, TeamId("t")}, body, commands);
  if (!change.ok())
    return;
  for (const ValueChange &it : change->Values)
    RC_ASSERT(it.Path == "tier/p/" + key);
}

} // namespace
} // namespace waxwing
