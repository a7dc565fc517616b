/**
 * @file token_config.cpp
 * Parses the token document and looks up tokens by their secret.
 */
#include "config/token_config_base.h"

#include "config/config_document_base.h"
#include "core/sha256_func.h"
#include "settings/ini_func.h"
#include "settings/setting_base.h"
#include "table/token_settings.h"

#include <absl/status/status.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <openssl/crypto.h>

namespace waxwing {
namespace {

constexpr std::string_view TokenSectionPrefix = "token ";
constexpr std::string_view AllTeamsWildcard = "*";

bool isSha256Hex(const std::string &text) {
  return text.size() == 64 && std::ranges::all_of(text, [](unsigned char c) {
           return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f');
         });
}

bool isValidTeamName(const std::string &name) {
  return !name.empty() && std::ranges::all_of(name, [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

std::optional<TokenScope> parseScope(const std::string &teams) {
  if (teams == AllTeamsWildcard)
    return TokenScope{true, {}};
  const std::vector<std::string> names = absl::StrSplit(teams, ',');
  if (!std::ranges::all_of(names, isValidTeamName))
    return std::nullopt;
  TokenScope scope;
  for (const std::string &name : names)
    scope.Teams.insert(TeamId(name));
  return scope;
}

absl::Status invalidToken(const IniSection &section, std::string_view cause) {
  return absl::InvalidArgumentError(
      fmt::format("/tokens:{}: [{}] {}", section.Line, section.Name, cause));
}

} // namespace

absl::StatusOr<TokenConfig> parseTokenConfig(const std::string &text) {
  const auto document = parseIni(splitDocument(text).Body, "/tokens");
  if (!document.ok())
    return document.status();
  TokenConfig config;
  for (const IniSection &section : document->Sections) {
    if (!section.Name.starts_with(TokenSectionPrefix))
      return absl::InvalidArgumentError(
          fmt::format("/tokens:{}: unknown section [{}]; allowed: [token NAME]",
                      section.Line, section.Name));
    const auto values =
        readSection(TokenSettingTable, "token", *document, section.Name);
    if (!values.ok())
      return values.status();
    const std::string name = section.Name.substr(TokenSectionPrefix.size());
    if (name == SettingsOperatorName)
      return invalidToken(section, "is reserved for the token in VM settings; "
                                   "choose another name");
    if (!isSha256Hex(values->text("sha256")))
      return invalidToken(section,
                          "sha256 needs 64 lower-case hexadecimal digits");
    const auto scope = parseScope(values->text("teams"));
    if (!scope)
      return invalidToken(section, "teams needs team names separated by commas "
                                   "without blanks, or *");
    config.Tokens[name] = {values->text("sha256"), *scope};
  }
  return config;
}

std::optional<TokenHolder> findToken(const TokenConfig &config,
                                     const std::string &secret) {
  const std::string digest = sha256Hex(secret);
  std::optional<TokenHolder> holder;
  for (const auto &[name, entry] : config.Tokens) {
    const bool isSame =
        entry.Sha256.size() == digest.size() &&
        CRYPTO_memcmp(entry.Sha256.data(), digest.data(), digest.size()) == 0;
    if (isSame)
      holder = TokenHolder{name, entry.Scope};
  }
  return holder;
}

} // namespace waxwing
