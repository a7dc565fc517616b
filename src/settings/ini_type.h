/**
 * @file ini_type.h
 * Sections and entries of an INI document with their line numbers.
 */
#ifndef WAXWING_SETTINGS_INI_TYPE_H
#define WAXWING_SETTINGS_INI_TYPE_H

#include <string>
#include <vector>

namespace waxwing {

/// One `key = value` line.
struct IniEntry {
  std::string Section; ///< section name; empty before the first header
  std::string Key;     ///< key without surrounding spaces
  std::string Value;   ///< value without surrounding spaces and comment
  int Line = 0;        ///< 1-based line in the source
  int LastLine = 0;    ///< 1-based last line of a multi-line value
};

/// One `[name]` section header; the section may have no entries.
struct IniSection {
  std::string Name;
  int Line = 0; ///< 1-based line in the source
};

/// A parsed INI document; sections and entries are in source order.
struct IniDocument {
  std::string Source; ///< file name or store path for error messages
  std::vector<IniSection> Sections;
  std::vector<IniEntry> Entries;
};

} // namespace waxwing

#endif
