/**
 * @file parser.cpp
 * Parses HTTP messages with Boost.Beast; no other file depends on its parser.
 */
#include "http/parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace waxwing::http {
namespace {

namespace bhttp = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

std::string text(string_view v) { return {v.data(), v.size()}; }

/// Stores the parsed head and body of a request or a response.
template <bool IsRequest, class Head>
class Collector : public bhttp::basic_parser<IsRequest> {
public:
  Head Result;
  std::string Body;            ///< bytes that takeBody() has not returned yet
  bool IsHeadComplete = false; ///< the head has been parsed into Result

protected:
  void on_request_impl(bhttp::verb /*method*/, string_view method,
                       string_view target, int version,
                       error_code & /*ec*/) override {
    if constexpr (IsRequest) {
      Result.Method = text(method);
      Result.Target = text(target);
      Result.Version = version;
    }
  }
  void on_response_impl(int code, string_view reason, int /*version*/,
                        error_code & /*ec*/) override {
    if constexpr (!IsRequest) {
      Result.Status = code;
      Result.ReasonPhrase = text(reason);
    }
  }
  void on_field_impl(bhttp::field /*name*/, string_view name, string_view value,
                     error_code & /*ec*/) override {
    Result.Headers.emplace_back(text(name), text(value));
  }
  void on_header_impl(error_code & /*ec*/) override {
    IsHeadComplete = true;
    Result.IsKeepAlive = this->keep_alive();
    Result.IsChunked = this->chunked();
    if (const auto length = this->content_length())
      Result.BodyLength = *length;
  }
  void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                         error_code & /*ec*/) override {}
  std::size_t on_body_impl(string_view bytes, error_code & /*ec*/) override {
    Body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                            error_code & /*ec*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view bytes,
                                 error_code & /*ec*/) override {
    Body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_finish_impl(error_code & /*ec*/) override {}
};

ParseState classifyParseError(const error_code &ec) {
  if (ec == bhttp::error::header_limit)
    return ParseState::HeaderTooLarge;
  if (ec == bhttp::error::body_limit)
    return ParseState::BodyTooLarge;
  return ParseState::Malformed;
}

/// Parses @p bytes until the message is complete, no bytes are left or an error
/// occurs.
template <class Parser>
ParseState parseBytes(Parser &parser, std::string_view bytes,
                      std::size_t &consumed) {
  consumed = 0;
  while (!parser.is_done() && consumed < bytes.size()) {
    error_code ec;
    const std::string_view rest = bytes.substr(consumed);
    const std::size_t n =
        parser.put(boost::asio::const_buffer(rest.data(), rest.size()), ec);
    consumed += n;
    if (ec == bhttp::error::need_more)
      return ParseState::NeedMore;
    if (ec)
      return classifyParseError(ec);
    if (n == 0)
      return ParseState::NeedMore;
  }
  return parser.is_done() ? ParseState::Done : ParseState::NeedMore;
}

template <class Parser>
void setLimits(Parser &parser, const ParseLimits &limits) {
  parser.eager(true);
  parser.header_limit(limits.HeaderBytes);
  parser.body_limit(limits.BodyBytes);
}

} // namespace

struct RequestParser::State {
  Collector<true, RequestHead> Parser;
};
struct ResponseParser::State {
  Collector<false, ResponseHead> Parser;
};

RequestParser::RequestParser(const ParseLimits &limits)
    : Self(std::make_unique<State>()) {
  setLimits(Self->Parser, limits);
}
RequestParser::~RequestParser() = default;
RequestParser::RequestParser(RequestParser &&) noexcept = default;
RequestParser &RequestParser::operator=(RequestParser &&) noexcept = default;

ParseState RequestParser::put(std::string_view bytes, std::size_t &consumed) {
  return parseBytes(Self->Parser, bytes, consumed);
}
bool RequestParser::isHeadComplete() const {
  return Self->Parser.IsHeadComplete;
}
RequestHead &RequestParser::head() { return Self->Parser.Result; }
std::string RequestParser::takeBody() {
  return std::exchange(Self->Parser.Body, {});
}

ResponseParser::ResponseParser(const ParseLimits &limits, bool isHead)
    : Self(std::make_unique<State>()) {
  setLimits(Self->Parser, limits);
  if (isHead)
    Self->Parser.skip(true);
}
ResponseParser::~ResponseParser() = default;
ResponseParser::ResponseParser(ResponseParser &&) noexcept = default;
ResponseParser &ResponseParser::operator=(ResponseParser &&) noexcept = default;

ParseState ResponseParser::put(std::string_view bytes, std::size_t &consumed) {
  return parseBytes(Self->Parser, bytes, consumed);
}
ParseState ResponseParser::finishAtEof() {
  error_code ec;
  if (!Self->Parser.got_some())
    return ParseState::Malformed;
  Self->Parser.put_eof(ec);
  return !ec && Self->Parser.is_done() ? ParseState::Done
                                       : ParseState::Malformed;
}
bool ResponseParser::isHeadComplete() const {
  return Self->Parser.IsHeadComplete;
}
ResponseHead &ResponseParser::head() { return Self->Parser.Result; }
std::string ResponseParser::takeBody() {
  return std::exchange(Self->Parser.Body, {});
}

} // namespace waxwing::http
