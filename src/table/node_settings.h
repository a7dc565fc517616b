/**
 * @file node_settings.h
 * Table of the settings of waxwing-node, read from an INI file.
 */
#ifndef WAXWING_TABLE_NODE_SETTINGS_H
#define WAXWING_TABLE_NODE_SETTINGS_H

#include "settings/setting_type.h"

#include <array>

namespace waxwing {

constexpr auto NodeSettingTable = std::to_array<SettingInfo>({
    {"vm", "name", SettingType::Text, "", "", 1, 200, "unique name of this VM"},
    {"vm", "domain", SettingType::Text, "", "", 1, 200,
     "failure domain of this VM"},
    {"vm", "region", SettingType::Text, "", "main", 1, 200,
     "region of this VM"},
    {"vm", "processor_share", SettingType::Decimal, "cores", "1", 0, 1024,
     "processor cores of this VM; VMs with more cores are preferred as leader"},
    {"vm", "memory", SettingType::Decimal, "MB", "256", 16, 1000000,
     "memory of this process; an eighth of it holds callers' request bodies"},
    {"vm", "first_start", SettingType::Boolean, "", "true", 0, 0,
     "true if this process starts together with the whole system, false if it "
     "joins a running one"},
    {"listen", "callers", SettingType::Address, "", "", 1, 64,
     "address for callers' HTTP requests"},
    {"listen", "ready", SettingType::Address, "", "", 1, 64,
     "address of the readiness page that the load balancer polls"},
    {"listen", "metrics", SettingType::Address, "", "", 0, 64,
     "address of the metrics page; disabled if empty"},
    {"listen", "peers", SettingType::Address, "", "", 1, 64,
     "UDP and TCP address for messages and requests of other VMs"},
    {"store", "address", SettingType::Address, "", "", 1, 64,
     "address of the platform's store"},
    {"store", "least_lease", SettingType::Decimal, "s", "1", 0, 600,
     "minimum lease duration that the store grants"},
    {"bounds", "drain", SettingType::Decimal, "s", "2", 0, 600,
     "a draining upstream gets no new requests after this time"},
    {"bounds", "configuration", SettingType::Decimal, "s", "2", 0, 600,
     "a new configuration is in force after this time"},
    {"bounds", "grace", SettingType::Decimal, "s", "6", 0, 600,
     "time between SIGTERM and the kill of the process"},
    {"bounds", "longest_hold", SettingType::Decimal, "s", "10", 1, 600,
     "maximum duration for which an upstream accepts a grant"},
    {"retries", "ratio", SettingType::Decimal, "", "0.2", 0, 10,
     "retries allowed per request of a service, over all VMs"},
    {"retries", "window", SettingType::Decimal, "s", "10", 1, 600,
     "time window over which the ratio is computed"},
    {"retries", "slack", SettingType::Decimal, "requests", "50", 0, 1000000,
     "retries allowed in addition to the ratio, over all VMs"},
    {"warm_up", "overage", SettingType::Decimal, "", "1.5", 1, 100,
     "limit on a cold upstream's request rate, relative to its capacity"},
    {"warm_up", "slack", SettingType::Decimal, "requests", "5", 0, 100000,
     "requests per second allowed beyond that limit, over all VMs"},
    {"log", "level", SettingType::Text, "", "info", 1, 16,
     "log level: debug, info, warning or error"},
    {"log", "lines_per_second", SettingType::Integer, "lines", "400", 10,
     1000000, "maximum log rate; further lines are dropped and counted"},
});

} // namespace waxwing

#endif
