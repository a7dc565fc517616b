/**
 * @file deployment.h
 * A small deployment of real processes: one team, a few VMs, services and
 * upstreams, with stand-ins for the platform. All processes listen on
 * 127.0.0.1.
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

/// A service of the deployment.
struct ServiceSpec {
  std::string Name;
  int Upstreams = 3;
  bool IsDividedByKey = false;
  int Slots = 4;
  int ServiceTimeUs = 5000;
  std::vector<std::string>
      UpstreamOptions; ///< more options of standin-upstream
};

/// Contents of a deployment.
struct DeploymentSpec {
  std::string Name;           ///< also the name of the team
  std::uint16_t BasePort = 0; ///< first of 500 reserved ports
  int Vms = 3;
  std::vector<std::string> Domains{"north", "centre", "south"};
  std::vector<ServiceSpec> Services;
  std::string MoreVmSettings; ///< INI lines added to each VM's settings
};

/// A stream of requests that the load generator sends as callers of one tier.
struct StreamSpec {
  std::string Name = "paying"; ///< also the tier, "paying" or "free"
  int Rate = 200;              ///< requests per second
  std::vector<std::string> Services;
  std::string MoreSettings; ///< INI lines added to the [stream] section
};

/// The processes of a running deployment. All are killed on destruction.
class Deployment {
public:
  explicit Deployment(DeploymentSpec spec);

  /// Starts the stand-ins and VMs, and stores the team's document.
  void start();

  /// VMs are numbered from 1.
  void startRouter(int vm);
  void startController(int vm);
  ChildProcess &router(int vm) { return Routers.at(vm); }
  ChildProcess &controller(int vm) { return Controllers.at(vm); }
  /// Moves a router's process out to the test, so that startRouter() can start
  /// a second process for this VM.
  ChildProcess extractRouter(int vm) {
    return std::move(Routers.extract(vm).mapped());
  }
  void killRouter(int vm) { Routers.erase(vm); }
  void killController(int vm) { Controllers.erase(vm); }

  /// Upstreams of a service are numbered from 1.
  void startUpstream(const std::string &service, int number);
  ChildProcess &upstream(const std::string &service, int number);
  void killUpstream(const std::string &service, int number);

  /// Sends a GET request to the admin port of a stand-in, such as /record or
  /// /fault?...
  std::string queryUpstreamAdmin(const std::string &service, int number,
                                 const std::string &target);
  std::string queryStoreAdmin(const std::string &target);
  /// @return a router's metrics page
  std::string routerMetrics(int vm);

  /// Sends a request through a router.
  /// @return status and body, or "0 " if there was no response
  std::string request(int vm, const std::string &method,
                      const std::string &path,
                      const std::string &idempotencyKey = "");

  /// Sends requests through @p vm until the service responds.
  /// @return false if it did not within 20 s
  bool waitUntilServed(int vm, const std::string &service);

  /// Waits until each service responds through each router and accepts writes
  /// with idempotency keys.
  /// @return false if this took more than 20 s for one of them
  bool waitUntilAllServed();

  /// Starts the load generator; wait() of the returned process gives 0 if all
  /// of its checks passed.
  ChildProcess startLoad(const std::vector<StreamSpec> &streams, int durationMs,
                         const std::string &moreSettings = "");
  /// @return the report of the load generator started last
  std::string loadReport() const;

  /// Writes the team's document to the store, with retries for up to 20 s.
  void putDocument(const std::string &text);
  const std::string &document() const { return Document; }

private:
  struct UpstreamInstance {
    std::string Service;
    int Number = 0;
    std::uint16_t Port = 0; ///< the admin port is the next one
  };

  bool waitUntilKeysServed(const std::string &service);
  void writeVmSettings();
  std::string buildDocument() const;
  const UpstreamInstance &instance(const std::string &service,
                                   int number) const;
  std::uint16_t vmPort(int vm) const;
  std::string path(const std::string &file) const;

  DeploymentSpec Spec;
  std::string Folder;
  std::string Document;
  std::uint64_t DocumentRevision = 0;
  std::vector<UpstreamInstance> Instances;
  /// Stand-ins for the platform's store and VM list.
  std::map<std::string, ChildProcess> Platform;
  std::map<std::string, ChildProcess> Upstreams;
  std::map<int, ChildProcess> Controllers;
  std::map<int, ChildProcess> Routers;
};

} // namespace waxwing

#endif
