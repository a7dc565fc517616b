/**
 * @file url_func.h
 * Encoding of URL parts and parsing of request targets.
 */
#ifndef WAXWING_NET_URL_FUNC_H
#define WAXWING_NET_URL_FUNC_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing {

/// Decoded path segments and query parameters of a request target.
struct UrlTarget {
  std::vector<std::string> Parts;           ///< path segments, decoded
  std::map<std::string, std::string> Query; ///< query parameters, decoded

  /// @return the query parameter @p name, or @p fallback when it is absent
  std::string text(const std::string &name,
                   const std::string &fallback = "") const;
  /// @return the query parameter @p name as a number, or @p fallback when it is
  ///   absent or not a number
  std::uint64_t number(const std::string &name,
                       std::uint64_t fallback = 0) const;
};

/// @return @p text with all characters but the unreserved ones of RFC 3986
///   percent-encoded
std::string encodeUrl(std::string_view text);

/// Splits a request target into path and query and decodes them.
/// @return nullopt when the target does not begin with a slash, an escape is
///   malformed, or a decoded path segment is empty, is "." or "..", or
///   contains a slash, backslash or control character
std::optional<UrlTarget> parseTarget(std::string_view target);

} // namespace waxwing

#endif
