/**
 * @file node_settings_base.h
 * The settings of waxwing-node.
 */
#ifndef WAXWING_SETTINGS_NODE_SETTINGS_BASE_H
#define WAXWING_SETTINGS_NODE_SETTINGS_BASE_H

#include "settings/setting_base.h"

#include <string>

namespace waxwing {

/// All sections of table/node_settings.h.
struct NodeSettings {
  SettingSection Vm;
  SettingSection Listen;
  SettingSection Store;
  SettingSection Bounds;
  SettingSection Retries;
  SettingSection WarmUp;
  SettingSection Log;
};

/// Checks @p text whole.
/// @return settings, or InvalidArgument with place and allowed values
absl::StatusOr<NodeSettings> parseNodeSettings(const std::string &text,
                                               const std::string &source);

/// Reads and checks the file @p path.
/// @return as parseNodeSettings(), or NotFound when it cannot be read
absl::StatusOr<NodeSettings> loadNodeSettings(const std::string &path);

} // namespace waxwing

#endif
