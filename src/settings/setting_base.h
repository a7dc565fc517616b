/**
 * @file setting_base.h
 * Checked values of the settings in one section of an INI document.
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

/// The values of one section; every key of its table has a value.
/// Invariant: each value passed the check of its table row.
class SettingSection {
public:
  /// @return value of Integer setting @p key, which the table must hold
  std::int64_t integer(std::string_view key) const;
  /// @return value of Decimal setting @p key
  double decimal(std::string_view key) const;
  /// @return value of Decimal setting @p key whose unit is s
  Duration seconds(std::string_view key) const;
  /// @return value of Boolean setting @p key
  bool boolean(std::string_view key) const;
  /// @return value of Text or Address setting @p key
  const std::string &text(std::string_view key) const;
  /// @return value of Integer setting @p key whose unit is ms
  Duration duration(std::string_view key) const {
    return milliseconds(integer(key));
  }

private:
  friend absl::StatusOr<SettingSection>
  readSection(std::span<const SettingInfo>, std::string_view,
              const IniDocument &, const std::string &);
  std::map<std::string, std::string, std::less<>> Values;
};

/// Reads one section of @p document by the rows of @p table.
/// @param kind section kind whose rows apply
/// @param section the section's full name in the document
/// @return values with defaults filled in, or InvalidArgument naming
///   source, line, key, the offending value and what is allowed
absl::StatusOr<SettingSection> readSection(std::span<const SettingInfo> table,
                                           std::string_view kind,
                                           const IniDocument &document,
                                           const std::string &section);

/// Checks one value against its row.
/// @return Ok, or InvalidArgument saying what is allowed
absl::Status checkSettingValue(const SettingInfo &info,
                               const std::string &value);

/// @return one readable line for each row: type, unit, default, limits, help
std::string describeSettings(std::span<const SettingInfo> table);

} // namespace waxwing

#endif
