/**
 * @file config_cmd_test.cpp
 * Configuration commands: edits preserve all other lines, errors name the place
 * and cause, and secrets are not disclosed.
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

absl::StatusOr<DocumentChange> execute(const std::string &body,
                                       std::vector<ConfigCommand> commands) {
  return makeDocumentChange(Team, body, commands);
}

/// @return error message of the commands on the document Base
std::string errorOf(std::vector<ConfigCommand> commands) {
  return std::string(execute(Base, std::move(commands)).status().message());
}

TEST(ConfigCommand, SetKeepsCommentsAndOrder) {
  const auto result = execute(Base, {SetValue{{"service", "s"}, "slots", "3"}});
  ASSERT_TRUE(result.ok());
  std::string expected = Base;
  expected.replace(expected.find("slots = 4"), 9, "slots = 3");
  EXPECT_EQ(result->Body, expected);
  EXPECT_EQ(result->Values,
            (std::vector<ValueChange>{{"service/s/slots", "4", "3"}}));
}

TEST(ConfigCommand, SetAddsNewKeyAtEndOfSection) {
  const auto result =
      execute(Base, {SetValue{{"domain", "north"}, "taken_out", "true"}});
  ASSERT_TRUE(result.ok());
  EXPECT_NE(result->Body.find("[domain north] ; tower\ntaken_out = true\n"),
            std::string::npos);
}

TEST(ConfigCommand, SetReplacesAllLinesOfAContinuedValue) {
  const auto text =
      setIniValue("[a b]\nk = one\n  two\nl = 1\n", "a b", "k", "x");
  ASSERT_TRUE(text.ok());
  EXPECT_EQ(*text, "[a b]\nk = x\nl = 1\n");
}

TEST(ConfigCommand, RemoveSectionKeepsOtherSections) {
  const auto result = execute(Base, {RemoveSection{{"upstream", "a"}}});
  ASSERT_TRUE(result.ok());
  EXPECT_EQ(result->Body.find("[upstream a]"), std::string::npos);
  EXPECT_NE(result->Body.find("[upstream b]\nservice = s"), std::string::npos);
}

TEST(ConfigCommand, ValueThatDoesNotFitOneLineIsRefused) {
  for (const std::string value : {"a\n[domain evil]", "a ; b", " a", "a\r"})
    EXPECT_FALSE(
        execute(Base, {SetValue{{"caller", "c"}, "tier", value}}).ok());
}

TEST(ConfigCommand, OneFailedCommandFailsTheChange) {
  EXPECT_EQ(execute(Base, {SetValue{{"service", "s"}, "slots", "3"},
                           RemoveSection{{"tier", "gold"}}})
                .status()
                .code(),
            absl::StatusCode::kNotFound);
}

TEST(ConfigCommand, ShardingOfExistingServiceIsFixed) {
  EXPECT_EQ(errorOf({SetValue{{"service", "s"}, "shards", "32"}}),
            "service t/s: shards = 16 is fixed once the service exists, not "
            "32; create a service of another name");
  EXPECT_NE(errorOf({SetValue{{"service", "s"}, "divided_by_key", "false"}})
                .find("divided_by_key is fixed"),
            std::string::npos);
}

TEST(ConfigCommand, DuplicateUpstreamAddressIsRefused) {
  EXPECT_EQ(errorOf({SetValue{{"upstream", "a"}, "address", "127.0.0.1:2"}}),
            "upstreams t/a and t/b have the same address 127.0.0.1:2; give "
            "each its own");
}

TEST(ConfigCommand, ColdSlotsAboveSlotsAreRefused) {
  EXPECT_NE(errorOf({SetValue{{"service", "s"}, "cold_slots", "9"}})
                .find("above slots = 4"),
            std::string::npos);
}

TEST(ConfigCommand, LastEligibleOwnerCannotBeRemoved) {
  const auto northOut =
      execute(Base, {SetDomainTakenOut{DomainId("north"), true}});
  ASSERT_TRUE(northOut.ok());
  EXPECT_NE(std::string(execute(northOut->Body,
                                {SetDomainTakenOut{DomainId("south"), true}})
                            .status()
                            .message())
                .find("would have no upstream left"),
            std::string::npos);
  EXPECT_FALSE(execute(northOut->Body, {SetUpstreamDrained{"b", true}}).ok());
  EXPECT_TRUE(
      execute(northOut->Body, {SetDomainTakenOut{DomainId("north"), false},
                               SetUpstreamDrained{"b", true}})
          .ok());
}

TEST(ConfigCommand, DanglingReferenceIsNamedInError) {
  EXPECT_NE(errorOf({RemoveSection{{"domain", "north"}}})
                .find("[upstream t/a] domain = 'north' does not exist"),
            std::string::npos);
}

TEST(ConfigCommand, UnknownDomainOrUpstreamIsNotFound) {
  EXPECT_EQ(
      execute(Base, {SetDomainTakenOut{DomainId("x"), true}}).status().code(),
      absl::StatusCode::kNotFound);
  EXPECT_EQ(execute(Base, {SetUpstreamDrained{"x", true}}).status().code(),
            absl::StatusCode::kNotFound);
}

TEST(ConfigCommand, TooLargeDocumentIsRefused) {
  EXPECT_NE(
      errorOf({ReplaceDocument{Base + std::string(MaxDocumentBytes, '\n')}})
          .find("bytes; at most"),
      std::string::npos);
}

TEST(ConfigCommand, HiddenValueKeepsStoredSecret) {
  const std::string digest = sha256Hex("k");
  const std::string body =
      Base + "[tier p]\n[caller c]\ntier = p\nkey_sha256 = " + digest + "\n";
  const auto shown = hideSecrets(body);
  ASSERT_TRUE(shown.ok());
  EXPECT_EQ(shown->find(digest), std::string::npos);
  const auto result = execute(body, {ReplaceDocument{*shown}});
  ASSERT_TRUE(result.ok());
  EXPECT_EQ(result->Body, body);
  EXPECT_FALSE(execute(Base, {ReplaceDocument{*shown}}).ok());
}

TEST(ConfigDocument, ComparisonHidesSecrets) {
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
  EXPECT_LT(text.size(), Base.size() + MaxHistoryBytes + MaxHistoryRecords);
  const ConfigDocument back = splitDocument(text);
  EXPECT_LE(back.History.size(), MaxHistoryRecords);
  EXPECT_EQ(back.History.back(), document.History.back());
  EXPECT_EQ(back.Body, Base);
}

TEST(ConfigDocument, HistoryLinesInBodyAreNotTakenForHistory) {
  const ConfigDocument forged{
      {{"a", "f", Revision(1), "now", "me", {{"p", "1", "2"}}}}, ""};
  const std::string lines = joinDocument(forged);
  const auto result = execute(Base, {ReplaceDocument{lines + Base}});
  ASSERT_TRUE(result.ok());
  EXPECT_EQ(result->Body, Base);
  ConfigDocument document{{}, "# x\n" + lines + Base};
  document.History.push_back({"real", "f", Revision(7), "now", "you", {}});
  const ConfigDocument back = splitDocument(joinDocument(document));
  ASSERT_EQ(back.History.size(), 1U);
  EXPECT_EQ(back.History[0].Change, "real");
}

TEST(ConfigDocument, PathsOverlapOnlyAtSegmentBoundaries) {
  EXPECT_TRUE(pathsOverlap("", "a/b"));
  EXPECT_TRUE(pathsOverlap("a/b", "a/b/c"));
  EXPECT_TRUE(pathsOverlap("a/b/c", "a/b/c"));
  EXPECT_FALSE(pathsOverlap("a/b", "a/bc"));
}

TEST(TokenConfig, FindsTokensBySecretOnly) {
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

TEST(TokenConfig, InvalidTokenDocumentIsRefused) {
  const std::string digest = "sha256 = " + sha256Hex("s") + "\n";
  EXPECT_TRUE(parseTokenConfig("[token a]\n" + digest + "teams = x\n").ok());
  for (const std::string &text :
       {"[token a]\n" + digest + "teams = x, y\n",
        "[token a]\n" + digest + "teams = x,\n", "[token a]\n" + digest,
        "[token settings-operator]\n" + digest + "teams = x\n",
        std::string("[tokens a]\n"), std::string("[token a]\nteams = x\n")})
    EXPECT_FALSE(parseTokenConfig(text).ok()) << text;
}

/// Compares an INI text with a map after the same random edits of both. The
/// comment at the start of the text must be preserved.
RC_GTEST_PROP(
    IniEdit, RandomEditsMatchMapModel,
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
