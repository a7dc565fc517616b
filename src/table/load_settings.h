/**
 * @file load_settings.h
 * Table of the load generator's settings: one `[load]` section and one
 * `[stream NAME]` section for each group of callers.
 */
#ifndef WAXWING_TABLE_LOAD_SETTINGS_H
#define WAXWING_TABLE_LOAD_SETTINGS_H

#include "settings/setting_type.h"

#include <array>

namespace waxwing {

constexpr auto LoadSettingTable = std::to_array<SettingInfo>({
    {"load", "routers", SettingType::Text, "", "", 1, 4000,
     "IP:port of each router, separated by spaces"},
    {"load", "upstream_records", SettingType::Text, "", "", 0, 8000,
     "IP:port of each simulated upstream's admin port; its records are "
     "compared with the responses"},
    {"load", "length", SettingType::Integer, "ms", "5000", 100, 3600000,
     "time during which requests are sent"},
    {"load", "deadline", SettingType::Integer, "ms", "2000", 10, 600000,
     "deadline sent with each request"},
    {"load", "client_latency", SettingType::Integer, "ms", "0", 0, 1000,
     "one-way latency between callers and routers; added to reported latency"},
    {"load", "min_right", SettingType::Integer, "per mille", "990", 0, 1000,
     "minimum share of correct responses for streams that must be served"},
    {"load", "seed", SettingType::Integer, "", "1", 0, 1000000000,
     "seed of the random number generator"},

    {"stream", "caller_key", SettingType::Text, "", "", 1, 200,
     "caller key sent with the requests"},
    {"stream", "services", SettingType::Text, "", "", 1, 1000,
     "team/name of each service, separated by spaces"},
    {"stream", "rate", SettingType::Integer, "requests/s", "100", 0, 1000000,
     "arrival rate; requests do not wait for earlier responses"},
    {"stream", "surge_rate", SettingType::Integer, "requests/s", "0", 0,
     1000000, "arrival rate during the surge"},
    {"stream", "surge_from", SettingType::Integer, "ms", "0", 0, 3600000,
     "start of the surge, from the start of the run"},
    {"stream", "surge_until", SettingType::Integer, "ms", "0", 0, 3600000,
     "end of the surge, from the start of the run"},
    {"stream", "keys", SettingType::Integer, "keys", "10000", 1, 1000000000,
     "number of distinct keys"},
    {"stream", "hot_keys", SettingType::Integer, "keys", "0", 0, 1000,
     "number of hot keys"},
    {"stream", "hot_share", SettingType::Integer, "%", "0", 0, 100,
     "share of requests that use a hot key"},
    {"stream", "hot_period", SettingType::Integer, "ms", "60000", 100, 3600000,
     "time after which other keys become hot"},
    {"stream", "write_share", SettingType::Integer, "%", "10", 0, 100,
     "share of POST requests with an idempotency key"},
    {"stream", "resend_share", SettingType::Integer, "%", "0", 0, 100,
     "share of POST requests without a conclusive response that are sent "
     "again through another router"},
    {"stream", "must_be_served", SettingType::Boolean, "", "true", 0, 0,
     "whether min_right applies to the stream"},
});

} // namespace waxwing

#endif
