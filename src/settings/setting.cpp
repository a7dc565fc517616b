/**
 * @file setting.cpp
 * Parses setting values and validates them against the settings table.
 */
#include "settings/setting_base.h"

#include <absl/status/status.h>
#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <optional>
#include <vector>

namespace waxwing {
namespace {

std::optional<std::int64_t> parseInteger(std::string_view text) {
  std::int64_t n = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return n;
}

constexpr double MicrosPerSecond = 1e6;

std::optional<double> parseDecimal(std::string_view text) {
  double n = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return n;
}

bool isAddress(const std::string &value) {
  const auto colon = value.rfind(':');
  if (colon == std::string::npos || colon == 0)
    return false;
  const auto port = parseInteger(std::string_view(value).substr(colon + 1));
  return port && *port > 0 && *port <= 65535;
}

std::string describeAllowedValues(const SettingInfo &info) {
  switch (info.Type) {
  case SettingType::Integer:
    return fmt::format("a whole number from {} to {}{}{}", info.Min, info.Max,
                       info.Unit.empty() ? "" : " ", info.Unit);
  case SettingType::Decimal:
    return fmt::format("a number from {} to {}{}{}", info.Min, info.Max,
                       info.Unit.empty() ? "" : " ", info.Unit);
  case SettingType::Boolean:
    return "true or false";
  case SettingType::Text:
    return fmt::format("text of {} to {} characters", info.Min, info.Max);
  case SettingType::Address:
    return info.Min == 0 ? "IP:port or nothing" : "IP:port";
  }
  return "";
}

bool isAllowed(const SettingInfo &info, const std::string &value) {
  const auto size = static_cast<std::int64_t>(value.size());
  switch (info.Type) {
  case SettingType::Integer: {
    const auto n = parseInteger(value);
    return n && *n >= info.Min && *n <= info.Max;
  }
  case SettingType::Decimal: {
    const auto n = parseDecimal(value);
    return n && *n >= static_cast<double>(info.Min) &&
           *n <= static_cast<double>(info.Max);
  }
  case SettingType::Boolean:
    return value == "true" || value == "false";
  case SettingType::Text:
    return size >= info.Min && size <= info.Max;
  case SettingType::Address:
    return (value.empty() && info.Min == 0) || isAddress(value);
  }
  return false;
}

std::string listAllowedKeys(std::span<const SettingInfo> table,
                            std::string_view kind) {
  std::vector<std::string_view> keys;
  for (const SettingInfo &info : table)
    if (info.Section == kind)
      keys.push_back(info.Key);
  return fmt::format("{}", fmt::join(keys, ", "));
}

} // namespace

std::int64_t SettingSection::integer(std::string_view key) const {
  return parseInteger(Values.find(key)->second).value_or(0);
}

double SettingSection::decimal(std::string_view key) const {
  return parseDecimal(Values.find(key)->second).value_or(0);
}

Duration SettingSection::seconds(std::string_view key) const {
  return Duration(static_cast<Duration::rep>(decimal(key) * MicrosPerSecond));
}

bool SettingSection::boolean(std::string_view key) const {
  return Values.find(key)->second == "true";
}

const std::string &SettingSection::text(std::string_view key) const {
  return Values.find(key)->second;
}

absl::Status checkSettingValue(const SettingInfo &info,
                               const std::string &value) {
  if (isAllowed(info, value))
    return absl::OkStatus();
  return absl::InvalidArgumentError(
      fmt::format("{} = '{}' is not allowed; expected {}", info.Key, value,
                  describeAllowedValues(info)));
}

absl::StatusOr<SettingSection> readSection(std::span<const SettingInfo> table,
                                           std::string_view kind,
                                           const IniDocument &document,
                                           const std::string &section) {
  SettingSection result;
  for (const SettingInfo &info : table)
    if (info.Section == kind)
      result.Values.emplace(info.Key, info.Default);
  for (const IniEntry &entry : document.Entries) {
    if (entry.Section != section)
      continue;
    const auto row = std::ranges::find_if(table, [&](const SettingInfo &info) {
      return info.Section == kind && info.Key == entry.Key;
    });
    const std::string where =
        fmt::format("{}:{}: [{}] ", document.Source, entry.Line, entry.Section);
    if (row == table.end())
      return absl::InvalidArgumentError(
          fmt::format("{}unknown key '{}'; allowed: {}", where, entry.Key,
                      listAllowedKeys(table, kind)));
    if (const absl::Status status = checkSettingValue(*row, entry.Value);
        !status.ok())
      return absl::InvalidArgumentError(where + std::string(status.message()));
    result.Values[entry.Key] = entry.Value;
  }
  for (const SettingInfo &info : table) {
    if (info.Section != kind)
      continue;
    if (const absl::Status status =
            checkSettingValue(info, result.Values.find(info.Key)->second);
        !status.ok())
      return absl::InvalidArgumentError(fmt::format(
          "{}: [{}] is missing key '{}'; expected {}", document.Source, section,
          info.Key, describeAllowedValues(info)));
  }
  return result;
}

std::string describeSettings(std::span<const SettingInfo> table) {
  std::string text;
  for (const SettingInfo &info : table)
    text += fmt::format("[{}] {} = {}\n    {} ({})\n", info.Section, info.Key,
                        info.Default, info.Help, describeAllowedValues(info));
  return text;
}

} // namespace waxwing
