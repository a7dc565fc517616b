/**
 * @file setting_type.h
 * The shape of a settings table: each row names a key, its type, unit,
 * default, limits and help. Process settings and the sections of teams'
 * documents are both described by such tables.
 */
#ifndef WAXWING_SETTINGS_SETTING_TYPE_H
#define WAXWING_SETTINGS_SETTING_TYPE_H

#include <cstdint>
#include <string_view>

namespace waxwing {

/// How the text of a setting is read.
enum class SettingType : std::uint8_t {
  Integer, ///< decimal, within [Min, Max]
  Decimal, ///< with a fraction or without, within [Min, Max]
  Boolean, ///< true or false
  Text,    ///< Min to Max characters
  Address, ///< IP:port, or "" when Min is 0
};

/// One row of a settings table.
struct SettingInfo {
  std::string_view Section; ///< section or section kind
  std::string_view Key;
  SettingType Type;
  std::string_view Unit; ///< "ms", "requests", "" for none
  std::string_view Default;
  std::int64_t Min;
  std::int64_t Max;
  std::string_view Help;
};

} // namespace waxwing

#endif
