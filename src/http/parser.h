/**
 * @file parser.h
 * Incremental parsers for HTTP/1.1 requests and responses, based on
 * Boost.Beast. Body bytes can be fetched while the message is still being
 * received.
 */
#ifndef WAXWING_HTTP_PARSER_H
#define WAXWING_HTTP_PARSER_H

#include "http/message_type.h"

#include <functional>
#include <memory>

namespace waxwing::http {

/// Size limits of a message, in bytes.
struct ParseLimits {
  std::uint32_t HeaderBytes = 16384;
  std::uint64_t BodyBytes = 64ULL << 20;
};

/// State of a parser after a call of put().
enum class ParseState : std::uint8_t {
  NeedMore,       ///< more bytes are needed to complete the message
  Done,           ///< complete; remaining bytes belong to the next message
  HeaderTooLarge, ///< the head exceeds ParseLimits::HeaderBytes
  BodyTooLarge,   ///< the body exceeds ParseLimits::BodyBytes
  Malformed,      ///< not a valid HTTP/1.1 message
};

/// Parses one request.
class RequestParser {
public:
  explicit RequestParser(const ParseLimits &limits);
  ~RequestParser();
  RequestParser(RequestParser &&) noexcept;
  RequestParser &operator=(RequestParser &&) noexcept;

  /// Parses @p bytes.
  /// @param consumed set to the number of bytes used
  ParseState put(std::string_view bytes, std::size_t &consumed);
  bool isHeadComplete() const;
  /// @return the head; valid once isHeadComplete()
  RequestHead &head();
  /// @return body bytes parsed since the last call
  std::string takeBody();

private:
  struct State;
  std::unique_ptr<State> Self;
};

/// Parses one response.
class ResponseParser {
public:
  /// @param isHead true when the request was HEAD, so that the response has no
  ///   body
  ResponseParser(const ParseLimits &limits, bool isHead);
  ~ResponseParser();
  ResponseParser(ResponseParser &&) noexcept;
  ResponseParser &operator=(ResponseParser &&) noexcept;

  /// Parses @p bytes.
  /// @param consumed set to the number of bytes used
  ParseState put(std::string_view bytes, std::size_t &consumed);
  /// Called when the peer has closed the connection.
  /// @return Done when the end of the connection completes the response
  ParseState finishAtEof();
  bool isHeadComplete() const;
  /// @return the head; valid once isHeadComplete()
  ResponseHead &head();
  /// @return body bytes parsed since the last call
  std::string takeBody();

private:
  struct State;
  std::unique_ptr<State> Self;
};

} // namespace waxwing::http

#endif
