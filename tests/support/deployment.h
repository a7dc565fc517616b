/**
 * @file deployment.h
 * A small deployment of real processes on the stand-ins: one team, a few
 * VMs, services and upstreams. Everything listens on 127.0.0.1.
 */
#ifndef WAXWING_TESTS_SUPPORT_DEPLOYMENT_H
#define WAXWING_TESTS_SUPPORT_DEPLOYMENT_H

#include "support/child_process.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace waxwing {

/// One service of a deployment.
struct ServiceSpec {
  std::string Name;
  int Upstreams = 3;
  bool IsDividedByKey = false;
  int Slots = 4;
  int ServiceTimeUs = 5000;
  std::vector<std::string> UpstreamOptions; ///< more of standin-upstream
};

/// What a deployment consists of.
struct DeploymentSpec {
  std::string Name;           ///< also the team's
  std::uint16_t BasePort = 0; ///< 500 ports from here are used
  int Vms = 3;
  std::vector<std::string> Domains{"north", "centre", "south"};
  std::vector<ServiceSpec> Services;
  std::string MoreVmSettings; ///< INI text added to each VM's settings
};

/// One group of callers in a load.
struct StreamSpec {
  std::string Name = "paying"; ///< also the tier, "paying" or "free"
  int Rate = 200;              ///< requests/s
  std::vector<std::string> Services;
  std::string MoreSettings; ///< INI lines of the [stream] section
};

/// Running processes. All are ended with the object.
class Deployment {
public:
  explicit Deployment(DeploymentSpec spec);

  /// Starts stand-ins, VMs, and puts the team's document into force.
  void start();

  /// VMs are numbered from 1.
  void startRouter(int vm);
  void startController(int vm);
  ChildProcess &router(int vm) { return Routers.at(vm); }
  ChildProcess &controller(int vm) { return Controllers.at(vm); }
  /// Hands a router over to the test; startRouter() starts its successor.
  ChildProcess takeRouter(int vm) {
    return std::move(Routers.extract(vm).mapped());
  }
  void endRouter(int vm) { Routers.erase(vm); }
  void endController(int vm) { Controllers.erase(vm); }

  /// Upstreams of a service are numbered from 1.
  void startUpstream(const std::string &service, int number);
  ChildProcess &upstream(const std::string &service, int number);
  void endUpstream(const std::string &service, int number);

  /// GETs /fault?... or /record of a stand-in's admin port.
  std::string askUpstream(const std::string &service, int number,
                          const std::string &target);
  std::string askStore(const std::string &target);
  /// GETs a router's metrics page.
  std::string routerMetrics(int vm);

  /// Requests one path of a router.
  /// @return status and body, "0 " when nothing answered
  std::string request(int vm, const std::string &method,
                      const std::string &path,
                      const std::string &idempotencyKey = "");

  /// Asks until a service answers through @p vm.
  /// @return false when it did not within 20 s
  bool waitUntilServed(int vm, const std::string &service);

  /// Asks until each service answers through each router, and takes writes
  /// under idempotency keys.
  bool waitUntilAllServed();

  /// Starts a load; wait() for its exit code, 0 when all was right.
  ChildProcess startLoad(const std::vector<StreamSpec> &streams, int lengthMs,
                         const std::string &moreSettings = "");
  /// @return the report of the last load
  std::string loadReport() const;

  /// Replaces the team's document by one changed by @p edit.
  void putDocument(const std::string &text);
  const std::string &document() const { return Document; }

private:
  struct UpstreamPlace {
    std::string Service;
    int Number = 0;
    std::uint16_t Port = 0; ///< the admin port follows it
  };

  bool waitUntilKeysServed(const std::string &service);
  void writeVmSettings();
  std::string buildDocument() const;
  const UpstreamPlace &place(const std::string &service, int number) const;
  std::uint16_t vmPort(int vm) const;
  std::string path(const std::string &file) const;

  DeploymentSpec Spec;
  std::string Folder;
  std::string Document;
  std::uint64_t DocumentRevision = 0;
  std::vector<UpstreamPlace> Places;
  std::map<std::string, ChildProcess> Platform;
  std::map<std::string, ChildProcess> Upstreams;
  std::map<int, ChildProcess> Controllers;
  std::map<int, ChildProcess> Routers;
};

} // namespace waxwing

#endif
