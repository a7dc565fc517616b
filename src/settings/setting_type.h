/**
 * @file setting_type.h
 * Row type of the settings tables. Process settings and the sections of
 * teams' documents are both described by such tables.
 */
#ifndef WAXWING_SETTINGS_SETTING_TYPE_H
#define WAXWING_SETTINGS_SETTING_TYPE_H

#include <cstdint>
#include <string_view>

namespace waxwing {

/// Value type of a setting; decides how its text is parsed.
enum class SettingType : std::uint8_t {
  Integer, ///< whole number within [Min, Max]
  Decimal, ///< number with optional fraction, within [Min, Max]
  Boolean, ///< true or false
  Text,    ///< length within [Min, Max] characters
  Address, ///< IP:port; may be empty if Min is 0
};

/// Description of one setting.
struct SettingInfo {
  /// Section name; for sections with the header `[kind name]`, the kind.
  std::string_view Section;
  std::string_view Key;
  SettingType Type;
  std::string_view Unit; ///< for example "ms" or "requests"; empty if none
  std::string_view Default;
  std::int64_t Min;
  std::int64_t Max;
  std::string_view Help;
};

} // namespace waxwing

#endif
