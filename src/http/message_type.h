/**
 * @file message_type.h
 * Heads of HTTP/1.1 messages as plain values, without their bodies.
 */
#ifndef WAXWING_HTTP_MESSAGE_TYPE_H
#define WAXWING_HTTP_MESSAGE_TYPE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwing::http {

/// Header fields in the order of the message.
using Fields = std::vector<std::pair<std::string, std::string>>;

/// @return value of the first field with @p name, any case; or nullptr
const std::string *findField(const Fields &fields, std::string_view name);
/// @return true when a field @p name lists @p token, any case
bool fieldHasToken(const Fields &fields, std::string_view name,
                   std::string_view token);
/// @return true for fields that concern one connection only (RFC 9110, 7.6.1)
bool isHopByHop(const Fields &fields, std::string_view name);

/// Head of a request.
struct RequestHead {
  std::string Method;
  std::string Target;
  int Version = 11; ///< 10 or 11
  Fields Headers;
  bool IsKeepAlive = true;
  bool IsChunked = false;
  std::optional<std::uint64_t> BodyLength; ///< from Content-Length
};

/// Head of an answer.
struct ResponseHead {
  int Status = 0;
  std::string ReasonPhrase;
  Fields Headers;
  bool IsKeepAlive = true;
  bool IsChunked = false;
  std::optional<std::uint64_t> BodyLength; ///< from Content-Length
};

} // namespace waxwing::http

#endif
