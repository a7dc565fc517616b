/**
 * @file message.cpp
 * Header field lookup.
 */
#include "http/message_type.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>

namespace waxwing::http {
namespace {

absl::string_view view(std::string_view text) {
  return {text.data(), text.size()};
}

constexpr std::array<std::string_view, 9> HopByHopNames{
    "connection", "keep-alive",        "proxy-authenticate",
    "te",         "proxy-connection",  "proxy-authorization",
    "trailer",    "transfer-encoding", "upgrade"};

} // namespace

const std::string *findField(const Fields &fields, std::string_view name) {
  const auto it = std::ranges::find_if(fields, [&](const auto &field) {
    return absl::EqualsIgnoreCase(field.first, view(name));
  });
  return it == fields.end() ? nullptr : &it->second;
}

bool fieldHasToken(const Fields &fields, std::string_view name,
                   std::string_view token) {
  return std::ranges::any_of(fields, [&](const auto &field) {
    if (!absl::EqualsIgnoreCase(field.first, view(name)))
      return false;
    const std::vector<absl::string_view> parts =
        absl::StrSplit(field.second, ',');
    return std::ranges::any_of(parts, [&](absl::string_view part) {
      return absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(part),
                                    view(token));
    });
  });
}

bool isHopByHop(const Fields &fields, std::string_view name) {
  return std::ranges::any_of(HopByHopNames,
                             [&](std::string_view known) {
                               return absl::EqualsIgnoreCase(view(name),
                                                             view(known));
                             }) ||
         fieldHasToken(fields, "Connection", name);
}

} // namespace waxwing::http
