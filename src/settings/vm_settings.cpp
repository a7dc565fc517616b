/**
 * @file vm_settings.cpp
 * Parses a VM's INI file according to table/vm_settings.h.
 */
#include "settings/vm_settings_base.h"

#include "settings/section_parser.h"
#include "table/vm_settings.h"

namespace waxwing {

absl::StatusOr<VmSettings> parseVmSettings(const std::string &text,
                                           const std::string &source) {
  return parseSections<VmSettings>(text, source, VmSettingTable,
                                   {{"vm", &VmSettings::Vm},
                                    {"store", &VmSettings::Store},
                                    {"router", &VmSettings::Router},
                                    {"controller", &VmSettings::Controller},
                                    {"ownership", &VmSettings::Ownership},
                                    {"log", &VmSettings::Log}});
}

absl::StatusOr<VmSettings> loadVmSettings(const std::string &path) {
  const auto text = readSettingsFile(path);
  if (!text.ok())
    return text.status();
  return parseVmSettings(*text, path);
}

} // namespace waxwing
