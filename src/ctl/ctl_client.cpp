/**
 * @file ctl_client.cpp
 * Sends one HTTP request with Boost.Beast, plain or over TLS.
 */
#include "ctl/ctl_client.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/host_name_verification.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <chrono>
#include <fmt/format.h>

namespace waxwing {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace ssl = boost::asio::ssl;
using Tcp = asio::ip::tcp;
using ErrorCode = beast::error_code;

/// Timeout of each of connecting, TLS handshake, writing and reading. Longer
/// than the API's own deadline for a change, so that the API reports its result
/// first.
constexpr std::chrono::seconds OperationTimeout{10};
/// Largest response body that is accepted.
constexpr std::uint64_t MaxResponseBodyBytes = 8u << 20;

http::request<http::string_body> toBeast(const HttpRequest &request,
                                         const CtlServer &server) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.Method);
  message.target(request.Target);
  message.set(http::field::host, formatEndpoint(server.Address));
  for (const HttpHeader &header : request.Headers.rows())
    message.set(header.Name, header.Value);
  message.keep_alive(false);
  message.body() = request.Body;
  message.prepare_payload();
  return message;
}

/// @return Unavailable: the request was not sent
absl::Status notSentError(const CtlServer &server, const ErrorCode &ec) {
  return absl::UnavailableError(
      fmt::format("cannot connect to {} ({}); nothing was done; check --server "
                  "and that a controller listens there",
                  formatEndpoint(server.Address), ec.message()));
}

/// @return DeadlineExceeded: the request may have been executed
absl::Status noResponseError(const CtlServer &server, const ErrorCode &ec) {
  return absl::DeadlineExceededError(
      fmt::format("no complete response from {} ({}); a change may have taken "
                  "effect",
                  formatEndpoint(server.Address), ec.message()));
}

/// Runs one asynchronous operation at a time until it ends or OperationTimeout
/// passes.
class OperationRunner {
public:
  OperationRunner(asio::io_context &context, beast::tcp_stream &stream)
      : Context(context), Stream(stream) {}

  /// @param begin starts the operation with the handler that it gets; the first
  ///   argument of the handler is the error code
  template <class Begin> ErrorCode run(Begin &&begin) {
    ErrorCode result;
    Stream.expires_after(OperationTimeout);
    std::forward<Begin>(begin)(
        [&result](const ErrorCode &ec, auto &&...) { result = ec; });
    Context.restart();
    Context.run();
    return result;
  }

private:
  asio::io_context &Context;
  beast::tcp_stream &Stream;
};

template <class Stream>
absl::StatusOr<HttpResponse> exchange(OperationRunner &operations,
                                      Stream &stream, const CtlServer &server,
                                      const HttpRequest &request) {
  const auto message = toBeast(request, server);
  if (const ErrorCode ec = operations.run([&](auto done) {
        http::async_write(stream, message, std::move(done));
      }))
    return noResponseError(server, ec);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(MaxResponseBodyBytes);
  if (const ErrorCode ec = operations.run([&](auto done) {
        http::async_read(stream, buffer, parser, std::move(done));
      }))
    return noResponseError(server, ec);
  HttpResponse response;
  response.Status = static_cast<int>(parser.get().result_int());
  response.Body = std::move(parser.get().body());
  return response;
}

absl::StatusOr<HttpResponse> exchangeOverTls(asio::io_context &context,
                                             Tcp::socket socket,
                                             const CtlServer &server,
                                             const HttpRequest &request) {
  ssl::context tls(ssl::context::tls_client);
  tls.set_verify_mode(ssl::verify_peer);
  ErrorCode ec;
  if (server.CaFile.empty())
    tls.set_default_verify_paths(ec);
  else
    tls.load_verify_file(server.CaFile, ec);
  if (ec)
    return absl::InvalidArgumentError(fmt::format(
        "cannot read {} as a PEM file ({})", server.CaFile, ec.message()));
  beast::ssl_stream<beast::tcp_stream> stream(std::move(socket), tls);
  stream.set_verify_callback(ssl::host_name_verification(server.ServerName));
  OperationRunner operations(context, stream.next_layer());
  ec = operations.run([&](auto done) {
    stream.async_handshake(ssl::stream_base::client, std::move(done));
  });
  if (ec)
    return notSentError(server, ec);
  return exchange(operations, stream, server, request);
}

} // namespace

absl::StatusOr<HttpResponse> sendToServer(const CtlServer &server,
                                          const HttpRequest &request) {
  asio::io_context context;
  beast::tcp_stream stream(context);
  OperationRunner operations(context, stream);
  ErrorCode ec;
  const auto address = asio::ip::make_address(server.Address.Address, ec);
  if (ec || server.Address.Port == 0)
    return absl::InvalidArgumentError("--server must be given as IP:port");
  ec = operations.run([&](auto done) {
    stream.async_connect(Tcp::endpoint(address, server.Address.Port),
                         std::move(done));
  });
  if (ec)
    return notSentError(server, ec);
  if (server.IsTls)
    return exchangeOverTls(context, stream.release_socket(), server, request);
  return exchange(operations, stream, server, request);
}

} // namespace waxwing
