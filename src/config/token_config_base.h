/**
 * @file token_config_base.h
 * Who may administer what.
 */
#ifndef WAXWING_CONFIG_TOKEN_CONFIG_BASE_H
#define WAXWING_CONFIG_TOKEN_CONFIG_BASE_H

#include "core/id_type.h"

#include <absl/status/statusor.h>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace waxwing {

/// Name of the operator's token in a VM's settings; no other may bear it.
constexpr std::string_view SettingsOperatorName = "settings-operator";

/// What a token allows.
struct TokenScope {
  bool IsOperator = false; ///< all teams, and tokens
  std::set<TeamId> Teams;

  bool allows(const TeamId &team) const {
    return IsOperator || Teams.contains(team);
  }
};

struct TokenEntry {
  std::string Sha256;
  TokenScope Scope;
};

/// All tokens by their names.
struct TokenConfig {
  std::map<std::string, TokenEntry> Tokens;
};

/// A token that was recognized.
struct TokenHolder {
  std::string Name;
  TokenScope Scope;
};

/// @return the typed document, or InvalidArgument with place and cause
absl::StatusOr<TokenConfig> parseTokenConfig(const std::string &text);

/// Compares in constant time with every entry.
/// @param secret what the client sent
/// @return its holder, or nothing
std::optional<TokenHolder> findToken(const TokenConfig &config,
                                     const std::string &secret);

} // namespace waxwing

#endif
