/**
 * @file message_type.h
 * Start line and header fields of HTTP/1.1 messages.
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

/// Names and values of header fields, in message order.
using Fields = std::vector<std::pair<std::string, std::string>>;

/// @return value of the first field called @p name (case-insensitive), or
///   nullptr
const std::string *findField(const Fields &fields, std::string_view name);
/// @return true when the comma-separated list in a field called @p name
///   contains @p token; both are case-insensitive
bool fieldHasToken(const Fields &fields, std::string_view name,
                   std::string_view token);
/// @return true for hop-by-hop fields, which must not be forwarded (RFC 9110,
///   7.6.1)
bool isHopByHop(const Fields &fields, std::string_view name);

/// Request line and header fields of a request.
struct RequestHead {
  std::string Method;
  std::string Target;
  int Version = 11; ///< 10 for HTTP/1.0, 11 for HTTP/1.1
  Fields Headers;
  bool IsKeepAlive = true;
  bool IsChunked = false;
  std::optional<std::uint64_t> BodyLength; ///< from Content-Length
};

/// Status line and header fields of a response.
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
