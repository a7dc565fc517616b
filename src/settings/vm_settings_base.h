/**
 * @file vm_settings_base.h
 * Settings of one VM, used by its router and its controller.
 */
#ifndef WAXWING_SETTINGS_VM_SETTINGS_BASE_H
#define WAXWING_SETTINGS_VM_SETTINGS_BASE_H

#include "settings/setting_base.h"

#include <string>

namespace waxwing {

/// Parsed values, one member for each section of table/vm_settings.h.
struct VmSettings {
  SettingSection Vm;
  SettingSection Store;
  SettingSection Router;
  SettingSection Controller;
  SettingSection Ownership;
  SettingSection Log;
};

/// Parses and checks @p text.
/// @param source file name for error messages
/// @return the settings, or InvalidArgument with the place of the error and the
///   allowed values
absl::StatusOr<VmSettings> parseVmSettings(const std::string &text,
                                           const std::string &source);

/// Parses and checks the file @p path.
/// @return as parseVmSettings(), or NotFound if the file cannot be read
absl::StatusOr<VmSettings> loadVmSettings(const std::string &path);

} // namespace waxwing

#endif
