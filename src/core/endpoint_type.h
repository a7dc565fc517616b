/**
 * @file endpoint_type.h
 * Network endpoint: IP address and port.
 */
#ifndef WAXWING_CORE_ENDPOINT_TYPE_H
#define WAXWING_CORE_ENDPOINT_TYPE_H

#include <compare>
#include <cstdint>
#include <string>

namespace waxwing {

struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;
  auto operator<=>(const Endpoint &) const = default;
};

/// Parses "IP:port".
/// @return the endpoint; its Port is 0 when @p text is malformed
Endpoint parseEndpoint(const std::string &text);
/// @return "IP:port"
std::string formatEndpoint(const Endpoint &endpoint);

} // namespace waxwing

#endif
