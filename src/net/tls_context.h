/**
 * @file tls_context.h
 * Certificate and key of a TLS server, reloaded when their files change.
 */
#ifndef WAXWING_NET_TLS_CONTEXT_H
#define WAXWING_NET_TLS_CONTEXT_H

#include "core/time_type.h"

#include <absl/status/status.h>
#include <boost/asio/ssl/context.hpp>
#include <memory>
#include <string>

namespace waxwing {

/// Shortest time between two checks of the files for changes; a check is made
/// only when a connection arrives.
constexpr Duration TlsCheckPeriod = seconds(1);

/// Contents of the PEM files.
struct TlsPemTexts {
  std::string Certificate;
  std::string Key;
  bool operator==(const TlsPemTexts &) const = default;
};

/// SSL context of a TLS server. Not thread-safe.
/// Invariant: certificate and key in use match. When the files are invalid or
/// only one of them has been replaced, the previous pair stays in use.
class TlsContext {
public:
  TlsContext(std::string certificateFile, std::string keyFile);

  /// Reads the files and creates a context from them.
  /// @return Ok, or InvalidArgument naming the file and the cause; the previous
  ///   context then stays in use
  absl::Status load();

  /// Reloads the files if they changed.
  /// @return the context for a connection that arrives at @p now; open
  ///   connections keep theirs
  std::shared_ptr<boost::asio::ssl::context> current(Time now);

private:
  std::string CertificateFile;
  std::string KeyFile;
  TlsPemTexts LastRead; ///< file contents read last, whether valid or not
  std::shared_ptr<boost::asio::ssl::context> Context;
  Time NextCheck;
};

} // namespace waxwing

#endif
