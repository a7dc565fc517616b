/**
 * @file parser.h
 * Incremental HTTP/1.1 parser on Beast's basic_parser: heads become plain
 * values, body bytes go to a sink as they arrive.
 */
#ifndef WAXWING_HTTP_PARSER_H
#define WAXWING_HTTP_PARSER_H

#include "http/message_type.h"

#include <functional>
#include <memory>

namespace waxwing::http {

/// Bounds of a message; bytes.
struct ParseLimits {
  std::uint32_t HeaderBytes = 16384;
  std::uint64_t BodyBytes = 64ULL << 20;
};

/// What stopped a parser.
enum class ParseState : std::uint8_t {
  NeedMore,       ///< the message goes on in bytes not yet given
  Done,           ///< the message is whole; the rest is the next one's
  HeaderTooLarge, ///< the head exceeds ParseLimits::HeaderBytes
  BodyTooLarge,   ///< the body exceeds ParseLimits::BodyBytes
  Malformed,      ///< the bytes are no HTTP/1.1 message
};

/// Parses one request.
class RequestParser {
public:
  explicit RequestParser(const ParseLimits &limits);
  ~RequestParser();
  RequestParser(RequestParser &&) noexcept;
  RequestParser &operator=(RequestParser &&) noexcept;

  /// Parses @p bytes. @param consumed set to the bytes that were taken
  ParseState put(std::string_view bytes, std::size_t &consumed);
  bool isHeadDone() const;
  /// Invariant: valid once isHeadDone().
  RequestHead &head();
  /// @return body bytes parsed since the last call
  std::string takeBody();

private:
  struct State;
  std::unique_ptr<State> Self;
};

/// Parses one answer.
class ResponseParser {
public:
  /// @param isHead the request was HEAD, so the answer has no body
  ResponseParser(const ParseLimits &limits, bool isHead);
  ~ResponseParser();
  ResponseParser(ResponseParser &&) noexcept;
  ResponseParser &operator=(ResponseParser &&) noexcept;

  /// Parses @p bytes. @param consumed set to the bytes that were taken
  ParseState put(std::string_view bytes, std::size_t &consumed);
  /// The connection ended. @return Done when the end completes the answer
  ParseState finishAtEof();
  bool isHeadDone() const;
  /// Invariant: valid once isHeadDone().
  ResponseHead &head();
  /// @return body bytes parsed since the last call
  std::string takeBody();

private:
  struct State;
  std::unique_ptr<State> Self;
};

} // namespace waxwing::http

#endif
