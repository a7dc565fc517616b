/**
 * @file vm_settings.h
 * Table of the settings of one VM's processes, read from an INI file.
 */
#ifndef WAXWING_TABLE_VM_SETTINGS_H
#define WAXWING_TABLE_VM_SETTINGS_H

#include "settings/setting_type.h"

#include <array>

namespace waxwing {

constexpr auto VmSettingTable = std::to_array<SettingInfo>({
    {"vm", "name", SettingType::Text, "", "", 1, 64, "unique name of this VM"},
    {"vm", "domain", SettingType::Text, "", "", 1, 64,
     "failure domain of this VM"},
    {"vm", "region", SettingType::Text, "", "main", 1, 64, "region of this VM"},
    {"store", "address", SettingType::Address, "", "", 1, 64,
     "address of the platform's key-value service"},
    {"store", "timeout", SettingType::Integer, "ms", "500", 10, 60000,
     "time limit of a store request"},
    {"store", "vm_list", SettingType::Address, "", "", 0, 64,
     "address of the platform's list of VMs"},
    {"router", "address", SettingType::Address, "", "127.0.0.1:8080", 1, 64,
     "listening address for HTTP requests of callers"},
    {"router", "forward", SettingType::Address, "", "127.0.0.1:8081", 1, 64,
     "listening address for requests forwarded by other routers"},
    {"router", "metrics", SettingType::Address, "", "127.0.0.1:8082", 1, 64,
     "listening address of the router's metrics page"},
    {"router", "upstream_connections", SettingType::Integer, "connections",
     "12", 1, 10000,
     "largest number of connections of this router to one upstream"},
    {"router", "drain", SettingType::Integer, "ms", "10000", 0, 600000,
     "longest wait for requests in progress at shutdown"},
    {"controller", "link", SettingType::Address, "", "127.0.0.1:8090", 1, 64,
     "listening address for links of routers and other controllers"},
    {"controller", "admin", SettingType::Address, "", "127.0.0.1:8091", 1, 64,
     "listening address of the administration API"},
    {"controller", "operator_token_sha256", SettingType::Text, "", "", 0, 64,
     "SHA-256 of an operator's token that works without the store, in "
     "lower-case hexadecimal; creates the first tokens"},
    {"controller", "admin_certificate", SettingType::Text, "", "", 0, 150,
     "PEM file of the administration API's certificate chain; with it and "
     "admin_key the API accepts TLS only"},
    {"controller", "admin_key", SettingType::Text, "", "", 0, 150,
     "PEM file of the certificate's private key"},
    {"controller", "metrics", SettingType::Address, "", "127.0.0.1:8092", 1, 64,
     "listening address of the controller's metrics page"},
    {"controller", "links", SettingType::Integer, "links", "8", 4, 64,
     "links that this controller opens if there are more than 12 VMs"},
    {"ownership", "heartbeat", SettingType::Integer, "ms", "100", 10, 10000,
     "time between renewals of a grant and between heartbeats"},
    {"ownership", "grant_term", SettingType::Integer, "ms", "300", 30, 60000,
     "time from the clock reading of a grant to its end"},
    {"ownership", "confirmation_term", SettingType::Integer, "ms", "200", 20,
     60000,
     "time after a confirmation request in which a leader may renew grants"},
    {"ownership", "suspicion", SettingType::Integer, "ms", "250", 25, 60000,
     "time without messages after which a peer or upstream is suspected"},
    {"ownership", "clock_drift", SettingType::Integer, "ppm", "10000", 0,
     100000, "largest rate difference between any two clocks"},
    {"log", "level", SettingType::Text, "", "info", 1, 16,
     "lowest level to log: debug, info, warning or error"},
});

} // namespace waxwing

#endif
