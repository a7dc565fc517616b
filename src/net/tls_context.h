/**
 * @file tls_context.h
 * Certificate and key of a TLS server, read again when their files change.
 */
#ifndef WAXWING_NET_TLS_CONTEXT_H
#define WAXWING_NET_TLS_CONTEXT_H

#include "core/time_type.h"

#include <absl/status/status.h>
#include <boost/asio/ssl/context.hpp>
#include <memory>
#include <string>

namespace waxwing {

/// Files are looked at when a connection arrives, at most this often.
constexpr Duration TlsCheckPeriod = seconds(1);

/// PEM texts as they were read.
struct TlsFiles {
  std::string Certificate;
  std::string Key;
  bool operator==(const TlsFiles &) const = default;
};

/// Used on one thread.
/// Invariant: current() is a pair that fits; a faulty or half-replaced pair
/// leaves the one before in use.
class TlsContext {
public:
  TlsContext(std::string certificateFile, std::string keyFile);

  /// Reads the files.
  /// @return Ok, or InvalidArgument naming the file and the cause; then
  ///   current() is as before
  absl::Status load();

  /// @return the context for a connection that arrives at @p now; those
  ///   open keep theirs
  std::shared_ptr<boost::asio::ssl::context> current(Time now);

private:
  std::string CertificateFile;
  std::string KeyFile;
  TlsFiles Seen; ///< read last, faulty or not
  std::shared_ptr<boost::asio::ssl::context> Context;
  Time CheckAt;
};

} // namespace waxwing

#endif
