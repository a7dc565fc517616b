/**
 * @file token_settings.h
 * Table of the settings in the token document, which has one section
 * `[token NAME]` for each token. Only digests of tokens are stored.
 */
#ifndef WAXWING_TABLE_TOKEN_SETTINGS_H
#define WAXWING_TABLE_TOKEN_SETTINGS_H

#include "settings/setting_type.h"

#include <array>

namespace waxwing {

constexpr auto TokenSettingTable = std::to_array<SettingInfo>({
    {"token", "sha256", SettingType::Text, "", "", 64, 64,
     "SHA-256 of the token, in lower-case hexadecimal"},
    {"token", "teams", SettingType::Text, "", "", 1, 150,
     "teams that the token may change, separated by commas; * for all teams "
     "and for tokens"},
});

} // namespace waxwing

#endif
