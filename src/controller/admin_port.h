/**
 * @file admin_port.h
 * The duty that serves the administration API.
 */
#ifndef WAXWING_CONTROLLER_ADMIN_PORT_H
#define WAXWING_CONTROLLER_ADMIN_PORT_H

#include "admin/admin_api_base.h"
#include "core/bounded_ring.h"
#include "settings/vm_settings_base.h"
#include "store/counting_store.h"
#include "store/http_store.h"

namespace waxwing {

/// Waiting questions and answers at most.
constexpr std::size_t AdminRingCapacity = 256;

/// Used on its own thread, but for answers().
class AdminPort {
public:
  /// @param wakeDecisions called when questions wait
  AdminPort(const VmSettings &settings, ControlCounters &counters,
            std::function<void()> wakeDecisions);
  ~AdminPort() { stop(); }

  absl::Status listen();
  /// Consumed by the decisions.
  BoundedRing<AdminQuery> &questions() { return Questions; }
  /// Filled by the decisions.
  BoundedRing<AdminResponse> &answers() { return Answers; }
  void stop() { Io.stop(); }

private:
  IoThread Io{"administration"};
  Endpoint Address;
  std::string Certificate; ///< PEM file, "" for plain HTTP
  std::string Key;         ///< PEM file
  HttpStore Platform;
  CountingStore Store;
  BoundedRing<AdminQuery> Questions;
  BoundedRing<AdminResponse> Answers;
  AdminApi Api;
  HttpServer Server;
};

} // namespace waxwing

#endif
