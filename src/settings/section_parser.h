/**
 * @file section_parser.h
 * Parses a settings file into a struct with one member for each section.
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

/// Maps a section of the file to the struct member that stores it.
template <class Settings> struct SectionBinding {
  std::string Name;
  SettingSection Settings::*Member;
};

/// Parses and validates a complete settings file.
/// @param source file name shown in error messages
/// @return settings, or InvalidArgument with source, line and allowed values
template <class Settings>
absl::StatusOr<Settings>
parseSections(const std::string &text, const std::string &source,
              std::span<const SettingInfo> table,
              const std::vector<SectionBinding<Settings>> &bindings) {
  const absl::StatusOr<IniDocument> document = parseIni(text, source);
  if (!document.ok())
    return document.status();
  std::vector<std::string> names;
  names.reserve(bindings.size());
  for (const auto &binding : bindings)
    names.push_back(binding.Name);
  for (const IniSection &section : document->Sections)
    if (std::ranges::find(names, section.Name) == names.end())
      return absl::InvalidArgumentError(fmt::format(
          "{}:{}: unknown section [{}]; allowed: {}", document->Source,
          section.Line, section.Name, fmt::join(names, ", ")));
  Settings settings;
  for (const auto &binding : bindings) {
    auto section = readSection(table, binding.Name, *document, binding.Name);
    if (!section.ok())
      return section.status();
    settings.*binding.Member = *std::move(section);
  }
  return settings;
}

/// @return content of the file @p path, or NotFound if it cannot be read
inline absl::StatusOr<std::string> readSettingsFile(const std::string &path) {
  const std::ifstream file(path);
  if (!file)
    return absl::NotFoundError(fmt::format(
        "{}: cannot read the file; specify the path of an INI file", path));
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace waxwing

#endif
