/**
 * @file ctl_client.h
 * Client of a controller's administration API, for one request over plain HTTP
 * or TLS.
 */
#ifndef WAXWING_CTL_CTL_CLIENT_H
#define WAXWING_CTL_CTL_CLIENT_H

#include "net/http_type.h"

#include <absl/status/statusor.h>
#include <string>

namespace waxwing {

/// Address and TLS options of a controller's administration API.
struct CtlServer {
  Endpoint Address;
  bool IsTls = false;
  std::string CaFile;     ///< PEM file of the trusted CA, "" for the system's
  std::string ServerName; ///< host name that the certificate must contain
};

/// Sends @p request and waits for the response.
/// @return the response; InvalidArgument when the server's address or CA file
///   is invalid; Unavailable when the request was not sent; DeadlineExceeded
///   when it may have taken effect
absl::StatusOr<HttpResponse> sendToServer(const CtlServer &server,
                                          const HttpRequest &request);

} // namespace waxwing

#endif
