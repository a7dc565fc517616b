/**
 * @file team_settings.h
 * Table of the settings in a team's document. A section has the header
 * `[kind name]`; the first column holds the kind.
 */
#ifndef WAXWING_TABLE_TEAM_SETTINGS_H
#define WAXWING_TABLE_TEAM_SETTINGS_H

#include "settings/setting_type.h"

#include <array>

namespace waxwing {

constexpr auto TeamSettingTable = std::to_array<SettingInfo>({
    {"domain", "taken_out", SettingType::Boolean, "", "false", 0, 0,
     "true: the failure domain gets no new work"},

    {"tier", "weight", SettingType::Integer, "", "1", 1, 1000,
     "weight of the tier in the sharing of a service's slots"},
    {"tier", "queue", SettingType::Integer, "requests", "64", 0, 100000,
     "requests of the tier that may be queued for an upstream or service"},

    {"caller", "tier", SettingType::Text, "", "", 1, 64,
     "tier that the caller belongs to"},
    {"caller", "key_sha256", SettingType::Text, "", "", 64, 64,
     "SHA-256 of the caller's key, in hexadecimal"},

    {"service", "divided_by_key", SettingType::Boolean, "", "false", 0, 0,
     "true: each key is owned by one upstream"},
    {"service", "shards", SettingType::Integer, "shards", "1024", 1, 65536,
     "ranges of the key hash space; fixed once the service has owners"},
    {"service", "slots", SettingType::Integer, "requests", "4", 1, 10000,
     "concurrent requests of one warm upstream"},
    {"service", "cold_slots", SettingType::Integer, "requests", "1", 1, 10000,
     "concurrent requests of an upstream that has just started"},
    {"service", "warm_up", SettingType::Integer, "ms", "2000", 0, 600000,
     "time after start until all slots are used"},
    {"service", "timeout", SettingType::Integer, "ms", "2000", 10, 600000,
     "default deadline of a request"},
    {"service", "checks_orders", SettingType::Boolean, "", "true", 0, 0,
     "false: upstreams accept orders of any age from any sender"},
    {"service", "idempotency_lifetime", SettingType::Integer, "ms", "60000",
     1000, 86400000, "how long an idempotency key is remembered"},

    {"upstream", "service", SettingType::Text, "", "", 1, 64,
     "service that the upstream belongs to"},
    {"upstream", "address", SettingType::Address, "", "", 1, 64,
     "address for requests and orders"},
    {"upstream", "domain", SettingType::Text, "", "", 1, 64,
     "failure domain of the upstream"},
    {"upstream", "drained", SettingType::Boolean, "", "false", 0, 0,
     "true: the upstream gets no new work"},
});

} // namespace waxwing

#endif
