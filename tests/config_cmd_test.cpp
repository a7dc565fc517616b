/**
 * @file config_cmd_test.cpp
 * Commands on documents: edits keep other lines, checks refuse with place
 * and cause, secrets stay hidden.
 */
#include "config/config_cmd.h"
#include "config/ini_edit_func.h"
#include "config/token_config_base.h"
#include "core/sha256_func.h"
#include "settings/ini_func.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwing {
namespace {

const DocumentId Team{DocumentKind::Team, TeamId("t")};
const std::string Base = "# the district's own\n"
                         "[domain north] ; tower\n"
                         "[domain south]\n"
                         "[service s]\n"
                         "divided_by_key = true\n"
                         "shards = 16\n"
                         "; slots by contract\n"
                         "slots = 4\n"
                         "[upstream a]\n"
                         "service = s\n"
                         "address = 127.0.0.1:1\n"
                         "domain = north\n"
                         "[upstream b]\n"
                         "service = s\n"
                         "address = 127.0.0.1:2\n"
                         "domain = south\n";

absl::StatusOr<DocumentChange> change(const std::string &body,
                                      std::vector<ConfigCommand> commands) {
  return makeDocumentChange(Team, body, commands);
}

std::string errorOf(std::vector<ConfigCommand> commands) {
  return std::string(change(Base, std::move(commands)).status().message());
}

TEST(ConfigCommand, SetKeepsCommentsAndOrder) {
  const auto result = change(Base, {SetValue{{"service", "s"}, "slots", "3"}});
  ASSERT_TRUE(result.ok());
  std::string expected = Base;
  expected.replace(expected.find("slots = 4"), 9, "slots = 3");
  EXPECT_EQ(result->Body, expected);
  EXPECT_EQ(result->Values,
            (std::vector<ValueChange>{{"service/s/slots", "4", "3"}}));
}

TEST(ConfigCommand, SetAddsKeyAtTheEndOfItsSection) {
  const auto result =
      change(Base, {SetValue{{"domain", "north"}, "taken_out", "true"}});
  ASSERT_TRUE(result.ok());
  EXPECT_NE(result->Body.find("[domain north] ; tower\ntaken_out = true\n"),
            std::string::npos);
}

TEST(ConfigCommand, SetReplacesAContinuedValueWhole) {
  const auto text =
      setIniValue("[a b]\nk = one\n  two\nl = 1\n", "a b", "k", "x");
  ASSERT_TRUE(text.ok());
  EXPECT_EQ(*text, "[a b]\nk = x\nl = 1\n");
}

TEST(ConfigCommand, RemovedSectionLeavesItsNeighbours) {
  const auto result = change(Base, {RemoveSection{{"upstream", "a"}}});
  ASSERT_TRUE(result.ok());
  EXPECT_EQ(result->Body.find("[upstream a]"), std::string::npos);
  EXPECT_NE(result->Body.find("[upstream b]\nservice = s"), std::string::npos);
}

TEST(ConfigCommand, ValueThatBreaksItsLineIsRefused) {
  for (const std::string value : {"a\n[domain evil]", "a ; b", " a", "a\r"})
    EXPECT_FALSE(change(Base, {SetValue{{"caller", "c"}, "tier", value}}).ok());
}

TEST(ConfigCommand, FailedCommandOfSeveralLeavesNothing) {
  EXPECT_EQ(change(Base, {SetValue{{"service", "s"}, "slots", "3"},
                          RemoveSection{{"tier", "gold"}}})
                .status()
                .code(),
            absl::StatusCode::kNotFound);
}

TEST(ConfigCommand, ShardCountIsFixed) {
  EXPECT_EQ(errorOf({SetValue{{"service", "s"}, "shards", "32"}}),
            "service t/s: shards = 16 is fixed once the service exists, not "
            "32; create a service of another name");
  EXPECT_NE(errorOf({SetValue{{"service", "s"}, "divided_by_key", "false"}})
                .find("divided_by_key is fixed"),
            std::string::npos);
}

TEST(ConfigCommand, AddressesAreUnique) {
  EXPECT_EQ(errorOf({SetValue{{"upstream", "a"}, "address", "127.0.0.1:2"}}),
            "upstreams t/a and t/b have the same address 127.0.0.1:2; give "
            "each its own");
}

TEST(ConfigCommand, ColdSlotsStayBelowSlots) {
  EXPECT_NE(errorOf({SetValue{{"service", "s"}, "cold_slots", "9"}})
                .find("above slots = 4"),
            std::string::npos);
}

TEST(ConfigCommand, LastOwnerStays) {
  const auto one = change(Base, {SetDomainTakenOut{DomainId("north"), true}});
  ASSERT_TRUE(one.ok());
  EXPECT_NE(std::string(
                change(one->Body, {SetDomainTakenOut{DomainId("south"), true}})
                    .status()
                    .message())
                .find("would have no upstream left"),
            std::string::npos);
  EXPECT_FALSE(change(one->Body, {SetUpstreamDrained{"b", true}}).ok());
  EXPECT_TRUE(change(one->Body, {SetDomainTakenOut{DomainId("north"), false},
                                 SetUpstreamDrained{"b", true}})
                  .ok());
}

TEST(ConfigCommand, ReferenceToNothingIsNamed) {
  EXPECT_NE(errorOf({RemoveSection{{"domain", "north"}}})
                .find("[upstream t/a] domain = 'north' names nothing"),
            std::string::npos);
}

TEST(ConfigCommand, UnknownDomainOrUpstreamIsNotFound) {
  EXPECT_EQ(
      change(Base, {SetDomainTakenOut{DomainId("x"), true}}).status().code(),
      absl::StatusCode::kNotFound);
  EXPECT_EQ(change(Base, {SetUpstreamDrained{"x", true}}).status().code(),
            absl::StatusCode::kNotFound);
}

TEST(ConfigCommand, TooLargeDocumentIsRefused) {
  EXPECT_NE(errorOf({ReplaceDocument{Base + std::string(DocumentBytes, '\n')}})
                .find("bytes; at most"),
            std::string::npos);
}

TEST(ConfigCommand, HiddenSecretKeepsItsValue) {
  const std::string digest = sha256Hex("k");
  const std::string body =
      Base + "[tier p]\n[caller c]\ntier = p\nkey_sha256 = " + digest + "\n";
  const auto shown = hideSecrets(body);
  ASSERT_TRUE(shown.ok());
  EXPECT_EQ(shown->find(digest), std::string::npos);
  const auto result = change(body, {ReplaceDocument{*shown}});
  ASSERT_TRUE(result.ok());
  EXPECT_EQ(result->Body, body);
  EXPECT_FALSE(change(Base, {ReplaceDocument{*shown}}).ok());
}

TEST(ConfigDocument, SecretsDoNotEnterTheHistory) {
  const std::string digest = sha256Hex("k");
  const auto values =
      compareBodies("", "[caller c]\nkey_sha256 = " + digest + "\ntier = p\n");
  ASSERT_TRUE(values.ok());
  for (const ValueChange &value : *values)
    EXPECT_NE(value.New, digest);
}

TEST(ConfigDocument, HistoryIsBounded) {
  ConfigDocument document{{}, Base};
  for (std::uint64_t n = 0; n < 500; ++n)
    document.History.push_back({"id" + std::to_string(n),
                                "f",
                                Revision(n),
                                "now",
                                "who",
                                {{"tier/p/weight", "1", "2"}}});
  const std::string text = joinDocument(document);
  EXPECT_LT(text.size(), Base.size() + HistoryBytes + HistoryChanges);
  const ConfigDocument back = splitDocument(text);
  EXPECT_LE(back.History.size(), HistoryChanges);
  EXPECT_EQ(back.History.back(), document.History.back());
  EXPECT_EQ(back.Body, Base);
}

TEST(ConfigDocument, BodyCannotForgeHistory) {
  const ConfigDocument forged{
      {{"a", "f", Revision(1), "now", "me", {{"p", "1", "2"}}}}, ""};
  const std::string lines = joinDocument(forged);
  const auto result = change(Base, {ReplaceDocument{lines + Base}});
  ASSERT_TRUE(result.ok());
  EXPECT_EQ(result->Body, Base);
  ConfigDocument document{{}, "# x\n" + lines + Base};
  document.History.push_back({"real", "f", Revision(7), "now", "you", {}});
  const ConfigDocument back = splitDocument(joinDocument(document));
  ASSERT_EQ(back.History.size(), 1U);
  EXPECT_EQ(back.History[0].Change, "real");
}

TEST(ConfigDocument, PathsOverlapAtPartsOnly) {
  EXPECT_TRUE(isOverlapping("", "a/b"));
  EXPECT_TRUE(isOverlapping("a/b", "a/b/c"));
  EXPECT_TRUE(isOverlapping("a/b/c", "a/b/c"));
  EXPECT_FALSE(isOverlapping("a/b", "a/bc"));
}

TEST(TokenConfig, RecognizesOnlyWhatItHolds) {
  const auto config = parseTokenConfig(
      "[token one]\nsha256 = " + sha256Hex("s1") +
      "\nteams = a,b\n[token op]\nsha256 = " + sha256Hex("s2") +
      "\nteams = *\n");
  ASSERT_TRUE(config.ok());
  const auto one = findToken(*config, "s1");
  ASSERT_TRUE(one);
  EXPECT_TRUE(one->Scope.allows(TeamId("a")));
  EXPECT_FALSE(one->Scope.allows(TeamId("c")));
  EXPECT_FALSE(one->Scope.IsOperator);
  EXPECT_TRUE(findToken(*config, "s2")->Scope.IsOperator);
  EXPECT_FALSE(findToken(*config, sha256Hex("s1")));
  EXPECT_FALSE(findToken(*config, ""));
  EXPECT_FALSE(parseTokenConfig("[token x]\nsha256 = " + std::string(64, 'Z') +
                                "\nteams = a\n")
                   .ok());
}

TEST(TokenConfig, FaultyTokensAreRefused) {
  const std::string digest = "sha256 = " + sha256Hex("s") + "\n";
  EXPECT_TRUE(parseTokenConfig("[token a]\n" + digest + "teams = x\n").ok());
  for (const std::string &text :
       {"[token a]\n" + digest + "teams = x, y\n",
        "[token a]\n" + digest + "teams = x,\n", "[token a]\n" + digest,
        "[token settings-operator]\n" + digest + "teams = x\n",
        std::string("[tokens a]\n"), std::string("[token a]\nteams = x\n")})
    EXPECT_FALSE(parseTokenConfig(text).ok()) << text;
}

/// Values as a map and as INI text stay the same under any edits.
RC_GTEST_PROP(
    IniEdit, MatchesAMap,
    (const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>
         &edits)) {
  std::map<std::pair<std::string, std::string>, std::string> model;
  std::string text = "# head\n";
  for (const auto &[a, b, c] : edits) {
    const std::string section = "s " + std::to_string(a % 3);
    const std::string key = "k" + std::to_string(b % 3);
    if (c % 4 == 0) {
      const auto removed = removeIniValue(text, section, key);
      RC_ASSERT(removed.ok() == (model.erase({section, key}) == 1));
      text = removed.value_or(text);
    } else if (c % 16 == 1) {
      const auto removed = removeIniSection(text, section);
      std::erase_if(model, [&](const auto &entry) {
        return entry.first.first == section;
      });
      text = removed.value_or(text);
    } else {
      text = *setIniValue(text, section, key, std::to_string(c));
      model[{section, key}] = std::to_string(c);
    }
  }
  const auto document = parseIni(text, "t");
  RC_ASSERT(document.ok());
  RC_ASSERT(document->Entries.size() == model.size());
  for (const IniEntry &entry : document->Entries)
    RC_ASSERT(model.at({entry.Section, entry.Key}) == entry.Value);
  RC_ASSERT(text.starts_with("# head\n"));
}

} // namespace
} // namespace waxwing
