/**
 * @file url.cpp
 * Percent-encoding and parsing of request targets.
 */
#include "net/url_func.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fmt/format.h>

namespace waxwing {
namespace {

bool isUnreserved(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
         c == '_' || c == '.' || c == '~';
}

/// @return @p text with percent-escapes decoded, nullopt when one is malformed
std::optional<std::string> decodeUrl(std::string_view text) {
  std::string decoded;
  for (std::size_t n = 0; n < text.size(); ++n) {
    if (text[n] != '%') {
      decoded += text[n];
      continue;
    }
    unsigned byte = 0;
    if (n + 2 >= text.size())
      return std::nullopt;
    const auto [end, ec] =
        std::from_chars(text.data() + n + 1, text.data() + n + 3, byte, 16);
    if (ec != std::errc() || end != text.data() + n + 3)
      return std::nullopt;
    decoded += static_cast<char>(byte);
    n += 2;
  }
  return decoded;
}

/// @return true if a decoded segment cannot change the structure of the path,
///   since it is not empty, "." or ".." and has no slash, backslash or control
///   character
bool isSafeSegment(const std::string &segment) {
  return !segment.empty() && segment != "." && segment != ".." &&
         std::ranges::none_of(segment, [](unsigned char c) {
           return c == '/' || c == '\\' || std::iscntrl(c) != 0;
         });
}

std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (true) {
    const auto end = text.find(separator);
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos)
      return parts;
    text.remove_prefix(end + 1);
  }
}

} // namespace

std::string UrlTarget::text(const std::string &name,
                            const std::string &fallback) const {
  const auto it = Query.find(name);
  return it == Query.end() ? fallback : it->second;
}

std::uint64_t UrlTarget::number(const std::string &name,
                                std::uint64_t fallback) const {
  const std::string value = text(name);
  std::uint64_t n = 0;
  const auto [end, ec] =
      std::from_chars(value.data(), value.data() + value.size(), n);
  const bool isNumber = ec == std::errc() && end == value.data() + value.size();
  return isNumber && !value.empty() ? n : fallback;
}

std::string encodeUrl(std::string_view text) {
  std::string encoded;
  for (const char c : text) {
    if (isUnreserved(c))
      encoded += c;
    else
      encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
  }
  return encoded;
}

std::optional<UrlTarget> parseTarget(std::string_view target) {
  if (target.empty() || target.front() != '/')
    return std::nullopt;
  UrlTarget result;
  const auto questionMark = target.find('?');
  std::string_view path = target.substr(0, questionMark);
  path.remove_prefix(1);
  if (!path.empty()) {
    for (const std::string_view part : split(path, '/')) {
      auto segment = decodeUrl(part);
      if (!segment || !isSafeSegment(*segment))
        return std::nullopt;
      result.Parts.push_back(*std::move(segment));
    }
  }
  if (questionMark == std::string_view::npos)
    return result;
  for (const std::string_view pair :
       split(target.substr(questionMark + 1), '&')) {
    const auto equals = pair.find('=');
    const auto name = decodeUrl(pair.substr(0, equals));
    const auto value = equals == std::string_view::npos
                           ? std::optional<std::string>("")
                           : decodeUrl(pair.substr(equals + 1));
    if (!name || !value)
      return std::nullopt;
    result.Query[*name] = *value;
  }
  return result;
}

} // namespace waxwing
