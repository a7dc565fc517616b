/**
 * @file tls_context.cpp
 * Loads certificate and key from PEM files into an SSL context.
 */
#include "net/tls_context.h"

#include <boost/asio/buffer.hpp>
#include <fmt/format.h>
#include <fstream>
#include <spdlog/spdlog.h>
#include <sstream>

namespace waxwing {
namespace {

namespace ssl = boost::asio::ssl;
using ErrorCode = boost::system::error_code;

std::string readFile(const std::string &path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

absl::Status invalidFile(const std::string &path, const ErrorCode &ec) {
  return absl::InvalidArgumentError(fmt::format(
      "{}: cannot be loaded as PEM ({}); the previous certificate and key "
      "stay in use",
      path, ec.message()));
}

} // namespace

TlsContext::TlsContext(std::string certificateFile, std::string keyFile)
    : CertificateFile(std::move(certificateFile)), KeyFile(std::move(keyFile)) {
}

absl::Status TlsContext::load() {
  LastRead = {readFile(CertificateFile), readFile(KeyFile)};
  auto context = std::make_shared<ssl::context>(ssl::context::tls_server);
  ErrorCode ec;
  context->set_options(ssl::context::default_workarounds |
                           ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1,
                       ec);
  context->use_certificate_chain(boost::asio::buffer(LastRead.Certificate), ec);
  if (ec)
    return invalidFile(CertificateFile, ec);
  // Also fails when the key does not match the certificate.
  context->use_private_key(boost::asio::buffer(LastRead.Key), ssl::context::pem,
                           ec);
  if (ec)
    return invalidFile(KeyFile, ec);
  Context = std::move(context);
  return absl::OkStatus();
}

std::shared_ptr<ssl::context> TlsContext::current(Time now) {
  if (now < NextCheck)
    return Context;
  NextCheck = now + TlsCheckPeriod;
  if (LastRead == TlsPemTexts{readFile(CertificateFile), readFile(KeyFile)})
    return Context;
  if (const absl::Status status = load(); status.ok())
    spdlog::info("reloaded certificate {} and its key", CertificateFile);
  else
    spdlog::warn("{}", std::string(status.message()));
  return Context;
}

} // namespace waxwing
