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
     "failure domain that this VM stands in"},
    {"vm", "region", SettingType::Text, "", "main", 1, 200,
     "region that this VM stands in"},
    {"vm", "processor_share", SettingType::Decimal, "cores", "1", 0, 1024,
     "processor time of this VM; VMs with more of it lead first"},
    {"listen", "callers", SettingType::Address, "", "", 1, 64,
     "callers' HTTP requests arrive here"},
    {"listen", "ready", SettingType::Address, "", "", 1, 64,
     "the balancer asks here whether this VM takes connections"},
    {"listen", "metrics", SettingType::Address, "", "", 0, 64,
     "metrics page; none when empty"},
    {"listen", "peers", SettingType::Address, "", "", 1, 64,
     "UDP reports of other VMs arrive here"},
    {"store", "address", SettingType::Address, "", "", 1, 64,
     "address of the platform's store"},
    {"store", "least_lease", SettingType::Decimal, "s", "1", 0, 600,
     "shortest lease that the store grants"},
    {"bounds", "drain", SettingType::Decimal, "s", "2", 0, 600,
     "a leaving upstream gets no request this long after it was told"},
    {"bounds", "grace", SettingType::Decimal, "s", "6", 0, 600,
     "the process is killed this long after SIGTERM"},
    {"bounds", "longest_hold", SettingType::Decimal, "s", "10", 1, 600,
     "longest time for which an upstream takes keys"},
    {"retries", "ratio", SettingType::Decimal, "", "0.2", 0, 10,
     "repeated arrivals for each request of a service, over all VMs"},
    {"retries", "window", SettingType::Decimal, "s", "10", 1, 600,
     "time over which the ratio holds"},
    {"retries", "slack", SettingType::Decimal, "requests", "50", 0, 1000000,
     "repeated arrivals beyond the ratio, over all VMs"},
    {"warm_up", "overage", SettingType::Decimal, "", "1.5", 1, 100,
     "bound on a cold upstream's rate, relative to what it bears"},
    {"warm_up", "slack", SettingType::Decimal, "requests", "5", 0, 100000,
     "requests in a second beyond that, over all VMs"},
    {"log", "level", SettingType::Text, "", "info", 1, 16,
     "debug, info, warning or error"},
    {"log", "lines_per_second", SettingType::Integer, "lines", "400", 10,
     1000000, "lines beyond this are dropped and counted"},
});

} // namespace waxwing

#endif
