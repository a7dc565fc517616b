/**
 * @file endpoint.cpp
 * Conversion of endpoints from and to text.
 */
#include "core/endpoint_type.h"

#include <charconv>

namespace waxwing {

Endpoint parseEndpoint(const std::string &text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos)
    return {};
  Endpoint endpoint{text.substr(0, colon), 0};
  const char *end = text.data() + text.size();
  const auto [rest, ec] =
      std::from_chars(text.data() + colon + 1, end, endpoint.Port);
  if (ec != std::errc() || rest != end)
    endpoint.Port = 0;
  return endpoint;
}

std::string formatEndpoint(const Endpoint &endpoint) {
  return endpoint.Address + ":" + std::to_string(endpoint.Port);
}

} // namespace waxwing
