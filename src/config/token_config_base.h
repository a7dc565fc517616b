/**
 * @file token_config_base.h
 * Administration tokens and their permissions.
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

/// Reserved name of the operator's token that is set in a VM's settings.
constexpr std::string_view SettingsOperatorName = "settings-operator";

/// Documents that a token gives access to.
struct TokenScope {
  bool IsOperator = false; ///< access to all teams and to the tokens
  std::set<TeamId> Teams;

  bool allows(const TeamId &team) const {
    return IsOperator || Teams.contains(team);
  }
};

struct TokenEntry {
  std::string Sha256;
  TokenScope Scope;
};

/// All tokens, by name.
struct TokenConfig {
  std::map<std::string, TokenEntry> Tokens;
};

/// Name and permissions of an authenticated token.
struct TokenHolder {
  std::string Name;
  TokenScope Scope;
};

/// @return the parsed document, or InvalidArgument with the place and cause of
///   the error
absl::StatusOr<TokenConfig> parseTokenConfig(const std::string &text);

/// Looks up a token by comparing with every entry in constant time.
/// @param secret token sent by the client
/// @return the token's name and scope, or nothing if it is unknown
std::optional<TokenHolder> findToken(const TokenConfig &config,
                                     const std::string &secret);

} // namespace waxwing

#endif
