/**
 * @file ctl_client.cpp
 * Beast client for one exchange.
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

/// Longest wait for one step; above the API's own deadline of a change.
constexpr std::chrono::seconds StepTimeout{10};
constexpr std::uint64_t AnswerBytes = 8u << 20;

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

absl::Status notSent(const CtlServer &server, const ErrorCode &ec) {
  return absl::UnavailableError(
      fmt::format("{} cannot be reached ({}); nothing was done; check --server "
                  "and that a controller listens there",
                  formatEndpoint(server.Address), ec.message()));
}

absl::Status notAnswered(const CtlServer &server, const ErrorCode &ec) {
  return absl::DeadlineExceededError(
      fmt::format("{} gave no whole answer ({}); a change may have taken "
                  "effect",
                  formatEndpoint(server.Address), ec.message()));
}

/// Runs one step of an exchange to its end or its timeout.
class StepRunner {
public:
  StepRunner(asio::io_context &context, beast::tcp_stream &stream)
      : Context(context), Stream(stream) {}

  /// @param begin gets a handler that takes an error code first
  template <class Begin> ErrorCode run(Begin &&begin) {
    ErrorCode result;
    Stream.expires_after(StepTimeout);
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
absl::StatusOr<HttpResponse> exchange(StepRunner &steps, Stream &stream,
                                      const CtlServer &server,
                                      const HttpRequest &request) {
  const auto message = toBeast(request, server);
  if (const ErrorCode ec = steps.run([&](auto done) {
        http::async_write(stream, message, std::move(done));
      }))
    return notAnswered(server, ec);
  beast::flat_buffer buf;
  http::response_parser<http::string_body> parser;
  parser.body_limit(AnswerBytes);
  if (const ErrorCode ec = steps.run([&](auto done) {
        http::async_read(stream, buf, parser, std::move(done));
      }))
    return notAnswered(server, ec);
  HttpResponse response;
  response.Status = static_cast<int>(parser.get().result_int());
  response.Body = std::move(parser.get().body());
  return response;
}

absl::StatusOr<HttpResponse> exchangeByTls(asio::io_context &context,
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
        "{}: cannot be read as PEM ({})", server.CaFile, ec.message()));
  beast::ssl_stream<beast::tcp_stream> stream(std::move(socket), tls);
  stream.set_verify_callback(ssl::host_name_verification(server.ServerName));
  StepRunner steps(context, stream.next_layer());
  ec = steps.run([&](auto done) {
    stream.async_handshake(ssl::stream_base::client, std::move(done));
  });
  if (ec)
    return notSent(server, ec);
  return exchange(steps, stream, server, request);
}

} // namespace

absl::StatusOr<HttpResponse> sendToServer(const CtlServer &server,
                                          const HttpRequest &request) {
  asio::io_context context;
  beast::tcp_stream stream(context);
  StepRunner steps(context, stream);
  ErrorCode ec;
  const auto address = asio::ip::make_address(server.Address.Address, ec);
  if (ec || server.Address.Port == 0)
    return absl::InvalidArgumentError("--server needs IP:port");
  ec = steps.run([&](auto done) {
    stream.async_connect(Tcp::endpoint(address, server.Address.Port),
                         std::move(done));
  });
  if (ec)
    return notSent(server, ec);
  if (server.IsTls)
    return exchangeByTls(context, stream.release_socket(), server, request);
  return exchange(steps, stream, server, request);
}

} // namespace waxwing
