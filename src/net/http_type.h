/**
 * @file http_type.h
 * HTTP messages as plain data, so that only the implementations of the HTTP
 * server and client depend on Boost.Beast.
 */
#ifndef WAXWING_NET_HTTP_TYPE_H
#define WAXWING_NET_HTTP_TYPE_H

#include "core/endpoint_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing {

struct HttpHeader {
  std::string Name;
  std::string Value;
};

/// Headers in the order in which they were added; names are case-insensitive.
class HttpHeaders {
public:
  /// @return the first value of @p name, or ""
  std::string_view find(std::string_view name) const;
  bool contains(std::string_view name) const;
  void add(std::string name, std::string value) {
    Rows.push_back({std::move(name), std::move(value)});
  }
  const std::vector<HttpHeader> &rows() const { return Rows; }

private:
  std::vector<HttpHeader> Rows;
};

struct HttpRequest {
  std::string Method = "GET";
  std::string Target = "/";
  HttpHeaders Headers;
  std::string Body;
};

struct HttpResponse {
  int Status = 200;
  HttpHeaders Headers;
  std::string Body;
};

/// State in which an exchange ended. It shows whether the server may have
/// executed the request: NotSent, the values before it, and CancelledUnsent
/// prove that no byte was sent.
enum class HttpProgress : std::uint8_t {
  NotConnected,  ///< no connection was established; no byte was sent
  PoolExhausted, ///< all connections of the pool are in use; no byte was sent
  NotSent,       ///< connection lost before the socket accepted the first byte
  Sent,          ///< bytes may have been sent; no byte of a response arrived
  ResponseTruncated, ///< the response was incomplete, unframed or malformed
  Answered,          ///< the whole response arrived
  Cancelled,         ///< cancelled after the write began
  TimedOut,          ///< the deadline passed after the write began
  CancelledUnsent,   ///< cancelled before the write began
};

/// Result of an exchange.
struct HttpOutcome {
  HttpProgress Progress = HttpProgress::NotConnected;
  HttpResponse Response;          ///< set when Progress is Answered
  std::uint64_t ConnectionId = 0; ///< 0 when there was no connection
  bool IsRefused = false;         ///< the server refused the TCP connection
};

} // namespace waxwing

#endif
