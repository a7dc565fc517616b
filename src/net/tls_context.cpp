/**
 * @file tls_context.cpp
 * Reads PEM files.
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

absl::Status faulty(const std::string &path, const ErrorCode &ec) {
  return absl::InvalidArgumentError(fmt::format(
      "{}: cannot be used as PEM ({}); the pair before stays in use", path,
      ec.message()));
}

} // namespace

TlsContext::TlsContext(std::string certificateFile, std::string keyFile)
    : CertificateFile(std::move(certificateFile)), KeyFile(std::move(keyFile)) {
}

absl::Status TlsContext::load() {
  Seen = {readFile(CertificateFile), readFile(KeyFile)};
  auto context = std::make_shared<ssl::context>(ssl::context::tls_server);
  ErrorCode ec;
  context->set_options(ssl::context::default_workarounds |
                           ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1,
                       ec);
  context->use_certificate_chain(boost::asio::buffer(Seen.Certificate), ec);
  if (ec)
    return faulty(CertificateFile, ec);
  // Fails too when the key is not that of the certificate.
  context->use_private_key(boost::asio::buffer(Seen.Key), ssl::context::pem,
                           ec);
  if (ec)
    return faulty(KeyFile, ec);
  Context = std::move(context);
  return absl::OkStatus();
}

std::shared_ptr<ssl::context> TlsContext::current(Time now) {
  if (now < CheckAt)
    return Context;
  CheckAt = now + TlsCheckPeriod;
  if (Seen == TlsFiles{readFile(CertificateFile), readFile(KeyFile)})
    return Context;
  if (const absl::Status status = load(); status.ok())
    spdlog::info("certificate {} was read again", CertificateFile);
  else
    spdlog::warn("{}", std::string(status.message()));
  return Context;
}

} // namespace waxwing
