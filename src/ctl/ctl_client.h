/**
 * @file ctl_client.h
 * One request to a controller's administration API, plain or by TLS.
 */
#ifndef WAXWING_CTL_CTL_CLIENT_H
#define WAXWING_CTL_CTL_CLIENT_H

#include "net/http_type.h"

#include <absl/status/statusor.h>
#include <string>

namespace waxwing {

/// Which controller, and how to reach it.
struct CtlServer {
  Endpoint Address;
  bool IsTls = false;
  std::string CaFile;     ///< PEM file of the trusted authority
  std::string ServerName; ///< name that the certificate must carry
};

/// Sends @p request and waits.
/// @return the answer; Unavailable when nothing was sent; DeadlineExceeded
///   when the request may have taken effect
absl::StatusOr<HttpResponse> sendToServer(const CtlServer &server,
                                          const HttpRequest &request);

} // namespace waxwing

#endif
