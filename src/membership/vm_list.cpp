/**
 * @file vm_list.cpp
 * Parser of the platform's list of VMs.
 */
#include "membership/vm_list_type.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

namespace waxwing {

absl::StatusOr<std::vector<ListedVm>> parseVmList(const std::string &json) {
  try {
    std::vector<ListedVm> vms;
    for (const auto &row : nlohmann::json::parse(json))
      vms.push_back({VmId(row.at("name").get<std::string>()),
                     DomainId(row.at("domain").get<std::string>()),
                     parseEndpoint(row.at("link").get<std::string>()),
                     parseEndpoint(row.at("forward").get<std::string>()),
                     row.value("leaving", false)});
    return vms;
  } catch (const std::exception &error) {
    return absl::InvalidArgumentError(std::string("VM list: ") + error.what());
  }
}

} // namespace waxwing
