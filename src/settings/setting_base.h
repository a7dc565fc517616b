/**
 * @file setting_base.h
 * Validated values of the settings in one section of an INI document.
 */
#ifndef WAXWING_SETTINGS_SETTING_BASE_H
#define WAXWING_SETTINGS_SETTING_BASE_H

#include "core/time_type.h"
#include "settings/ini_type.h"
#include "settings/setting_type.h"

#include <absl/status/statusor.h>
#include <map>
#include <span>
#include <string>

namespace waxwing {

/// Values of one settings section; every key of its table has a value.
/// Invariant: each value was validated against its row of the settings table.
class SettingSection {
public:
  /// Each getter requires that the settings table has @p key with the type that
  /// the getter returns.
  /// @return value of an Integer setting
  std::int64_t integer(std::string_view key) const;
  /// @return value of a Decimal setting
  double decimal(std::string_view key) const;
  /// @return value of a Decimal setting in seconds
  Duration seconds(std::string_view key) const;
  /// @return value of a Boolean setting
  bool boolean(std::string_view key) const;
  /// @return value of a Text or Address setting
  const std::string &text(std::string_view key) const;
  /// @return value of an Integer setting in milliseconds
  Duration duration(std::string_view key) const {
    return milliseconds(integer(key));
  }

private:
  friend absl::StatusOr<SettingSection>
  readSection(std::span<const SettingInfo>, std::string_view,
              const IniDocument &, const std::string &);
  std::map<std::string, std::string, std::less<>> Values;
};

/// Reads and validates one section of an INI document.
/// @param table settings of all section kinds
/// @param kind section kind; only table rows of this kind apply
/// @param section full section name in the document
/// @return values with defaults filled in, or InvalidArgument with source,
///   line, key, the offending value and the allowed values
absl::StatusOr<SettingSection> readSection(std::span<const SettingInfo> table,
                                           std::string_view kind,
                                           const IniDocument &document,
                                           const std::string &section);

/// Validates one value against its table row.
/// @return Ok, or InvalidArgument with the allowed values
absl::Status checkSettingValue(const SettingInfo &info,
                               const std::string &value);

/// @return help text with section, key, default, description and allowed
///   values of each setting
std::string describeSettings(std::span<const SettingInfo> table);

} // namespace waxwing

#endif
