/**
 * @file node_settings_base.h
 * Settings of one waxwing-node process.
 */
#ifndef WAXWING_SETTINGS_NODE_SETTINGS_BASE_H
#define WAXWING_SETTINGS_NODE_SETTINGS_BASE_H

#include "settings/setting_base.h"

#include <string>

namespace waxwing {

/// Settings of waxwing-node, one member for each section in
/// table/node_settings.h.
struct NodeSettings {
  SettingSection Vm;
  SettingSection Listen;
  SettingSection Store;
  SettingSection Bounds;
  SettingSection Retries;
  SettingSection WarmUp;
  SettingSection Log;
};

/// Parses and validates a complete settings file.
/// @param source file name shown in error messages
/// @return settings, or InvalidArgument with source, line and allowed values
absl::StatusOr<NodeSettings> parseNodeSettings(const std::string &text,
                                               const std::string &source);

/// Reads and validates the settings file @p path.
/// @return settings, NotFound if the file cannot be read, or InvalidArgument
///   if it is not valid
absl::StatusOr<NodeSettings> loadNodeSettings(const std::string &path);

} // namespace waxwing

#endif
