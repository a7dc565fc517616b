/**
 * @file connection_ends.h
 * Why a caller's connection ends, with names for log and metrics.
 */
#ifndef WAXWING_TABLE_CONNECTION_ENDS_H
#define WAXWING_TABLE_CONNECTION_ENDS_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace waxwing {

/// Why a caller's connection, or a request on it, ends without a complete
/// response.
enum class ConnectionEnd : std::uint8_t {
  CallerLeft,      ///< the caller closed or reset the connection
  Malformed,       ///< the request's body is malformed
  ClosingResponse, ///< the response of an earlier request closes the connection
  BrokenResponse,  ///< the response of an earlier request was broken off
  HeaderTimeout,   ///< a request head was not complete in time
  IdleTimeout,     ///< no request arrived for the idle timeout
  LingerTimeout, ///< the caller did not close its side after the last response
  ProcessEnd,    ///< the grace period of the shutdown is over
  LastEnd = ProcessEnd
};

/// Number of values of ConnectionEnd; the size of arrays indexed by it.
constexpr std::size_t ConnectionEndCount =
    static_cast<std::size_t>(ConnectionEnd::LastEnd) + 1;

/// Names of the ends, indexed by their values.
constexpr std::array<std::string_view, ConnectionEndCount> ConnectionEndNames{
    "caller_left",    "malformed",    "closing_response", "broken_response",
    "header_timeout", "idle_timeout", "linger_timeout",   "process_end"};

/// @return the name of @p end
constexpr std::string_view connectionEndName(ConnectionEnd end) {
  return ConnectionEndNames[static_cast<std::size_t>(end)];
}

} // namespace waxwing

#endif
