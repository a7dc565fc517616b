/**
 * @file admin_server.h
 * HTTP(S) server of the administration API, on its own thread.
 */
#ifndef WAXWING_CONTROLLER_ADMIN_SERVER_H
#define WAXWING_CONTROLLER_ADMIN_SERVER_H

#include "admin/admin_api_base.h"
#include "core/bounded_ring.h"
#include "settings/vm_settings_base.h"
#include "store/counting_store.h"
#include "store/http_store.h"

namespace waxwing {

/// Capacity of the query ring and of the answer ring.
constexpr std::size_t AdminRingCapacity = 256;

/// HTTP server of the administration API. Runs on its own thread; only
/// answers() may be used from the decision thread.
class AdminServer {
public:
  /// @param wakeDecisionThread called after a query was pushed to queries()
  AdminServer(const VmSettings &settings, ControlCounters &counters,
              std::function<void()> wakeDecisionThread);
  ~AdminServer() { stop(); }

  absl::Status listen();
  /// Consumed by the decision thread.
  BoundedRing<AdminQuery> &queries() { return Queries; }
  /// Filled by the decision thread.
  BoundedRing<AdminResponse> &answers() { return Answers; }
  void stop() { Io.stop(); }

private:
  IoThread Io{"administration"};
  Endpoint Address;
  std::string Certificate; ///< path of the PEM file, empty for plain HTTP
  std::string Key;         ///< path of the PEM file of the private key
  HttpStore Platform;
  CountingStore Store;
  BoundedRing<AdminQuery> Queries;
  BoundedRing<AdminResponse> Answers;
  AdminApi Api;
  HttpServer Server;
};

} // namespace waxwing

#endif
