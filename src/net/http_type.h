/**
 * @file http_type.h
 * HTTP messages as plain data; Boost.Beast stays behind http_server.h and
 * http_client.h.
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

/// Headers in their order; names compare without regard to case.
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

/// How far an exchange came; decides what is proven of its execution.
enum class HttpProgress : std::uint8_t {
  NotConnected,      ///< no connection; no byte was sent
  PoolExhausted,     ///< all connections that may be open are used
  NotSent,           ///< connection lost before the first byte was accepted
  Sent,              ///< bytes were sent; no answer came
  ResponseTruncated, ///< the answer began and did not end
  Answered,          ///< the whole answer is here
  Cancelled,         ///< given up by the caller of send(), bytes were sent
  TimedOut,          ///< sent; no whole answer before the deadline
  CancelledUnsent,   ///< given up by the caller of send(); no byte was sent
};

/// End of an exchange.
struct HttpOutcome {
  HttpProgress Progress = HttpProgress::NotConnected;
  HttpResponse Response;          ///< whole when Answered
  std::uint64_t ConnectionId = 0; ///< connection used, 0 for none
  bool IsRefused = false;         ///< NotConnected: nothing listens there
};

} // namespace waxwing

#endif
