/**
 * @file node_settings.cpp
 * Parses waxwing-node's INI file according to table/node_settings.h.
 */
#include "settings/node_settings_base.h"

#include "settings/section_parser.h"
#include "table/node_settings.h"

namespace waxwing {

absl::StatusOr<NodeSettings> parseNodeSettings(const std::string &text,
                                               const std::string &source) {
  return parseSections<NodeSettings>(text, source, NodeSettingTable,
                                     {{"vm", &NodeSettings::Vm},
                                      {"listen", &NodeSettings::Listen},
                                      {"store", &NodeSettings::Store},
                                      {"bounds", &NodeSettings::Bounds},
                                      {"retries", &NodeSettings::Retries},
                                      {"warm_up", &NodeSettings::WarmUp},
                                      {"log", &NodeSettings::Log}});
}

absl::StatusOr<NodeSettings> loadNodeSettings(const std::string &path) {
  const auto text = readSettingsFile(path);
  if (!text.ok())
    return text.status();
  return parseNodeSettings(*text, path);
}

} // namespace waxwing
