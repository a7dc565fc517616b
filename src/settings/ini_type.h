/**
 * @file ini_type.h
 * Entries of an INI text with the place where each was found.
 */
#ifndef WAXWING_SETTINGS_INI_TYPE_H
#define WAXWING_SETTINGS_INI_TYPE_H

#include <string>
#include <vector>

namespace waxwing {

/// One `key = value` line.
struct IniEntry {
  std::string Section; ///< text between the brackets, "" before the first
  std::string Key;     ///< trimmed
  std::string Value;   ///< trimmed, without comment
  int Line = 0;        ///< 1-based line in the source
  int LastLine = 0;    ///< last line that continues the value
};

/// One `[name]` line; the section may have no entries.
struct IniSection {
  std::string Name;
  int Line = 0; ///< 1-based line in the source
};

/// All sections and entries of one text in their order.
struct IniDocument {
  std::string Source; ///< file name or store path, for messages
  std::vector<IniSection> Sections;
  std::vector<IniEntry> Entries;
};

} // namespace waxwing

#endif
