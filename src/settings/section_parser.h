/**
 * @file section_parser.h
 * Reads settings whose sections are members of one struct.
 */
#ifndef WAXWING_SETTINGS_SECTION_PARSER_H
#define WAXWING_SETTINGS_SECTION_PARSER_H

#include "settings/ini_func.h"
#include "settings/setting_base.h"

#include <absl/status/status.h>
#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <span>
#include <sstream>
#include <string>
#include <vector>

namespace waxwing {

/// A section of the file and the member that receives it.
template <class Settings> struct SectionBinding {
  std::string Name;
  SettingSection Settings::*Member;
};

/// Checks @p text whole by @p table.
/// @return settings, or InvalidArgument with place and allowed values
template <class Settings>
absl::StatusOr<Settings>
parseSections(const std::string &text, const std::string &source,
              std::span<const SettingInfo> table,
              const std::vector<SectionBinding<Settings>> &targets) {
  const absl::StatusOr<IniDocument> document = parseIni(text, source);
  if (!document.ok())
    return document.status();
  std::vector<std::string> names;
  names.reserve(targets.size());
  for (const auto &target : targets)
    names.push_back(target.Name);
  for (const IniSection &section : document->Sections)
    if (std::ranges::find(names, section.Name) == names.end())
      return absl::InvalidArgumentError(fmt::format(
          "{}:{}: unknown section [{}]; allowed: {}", document->Source,
          section.Line, section.Name, fmt::join(names, ", ")));
  Settings settings;
  for (const auto &target : targets) {
    auto section = readSection(table, target.Name, *document, target.Name);
    if (!section.ok())
      return section.status();
    settings.*target.Member = *std::move(section);
  }
  return settings;
}

/// @return the text of @p path, or NotFound when it cannot be read
inline absl::StatusOr<std::string> readSettingsFile(const std::string &path) {
  const std::ifstream file(path);
  if (!file)
    return absl::NotFoundError(
        fmt::format("{}: cannot be read; give the path of an INI file", path));
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace waxwing

#endif
