/**
 * @file node_soak_world.h
 * Real waxwing-node processes with a stand-in store and stand-in upstreams, all
 * behind proxies, on one event loop with the callers and the checks.
 */
#ifndef WAXWING_TESTS_NODE_SOAK_WORLD_H
#define WAXWING_TESTS_NODE_SOAK_WORLD_H

#include "link_cut.h"
#include "node_soak_callers.h"

#include "standin/platform_base.h"
#include "support/child_process.h"

#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <set>

namespace waxwing {

/// What a soak runs.
struct SoakPlan {
  std::uint64_t Seed = 1;
  int VmCount = 4;
  Duration FaultTime = seconds(20); ///< time in which faults begin
  std::uint16_t BasePort = 28000;   ///< the next 1000 ports are used
};

/// One VM with its process.
struct SoakVm {
  std::unique_ptr<ChildProcess> Process; ///< nullptr while none runs
  std::unique_ptr<FaultProxy> StorePath;
  /// Links to the upstreams, by the port of the upstream's path.
  std::map<std::uint16_t, std::unique_ptr<FaultProxy>> Links;
  std::optional<LinkCut> Cut; ///< of all links
  int Incarnation = 0;
  bool IsRestarting = false;
  std::uint64_t SeenVersion = 0; ///< highest one in force in this process
  Time SeenAt;                   ///< time when SeenVersion was first seen
};

/// One upstream; it stays in memory after it has left.
struct SoakUpstream {
  std::unique_ptr<StandinUpstreamHost> Host;
  std::unique_ptr<FaultProxy> Path;
  StandinUpstreamSettings Entry; ///< with the address of the proxy
  bool IsListed = true;
  bool IsDraining = false;
  bool IsBusy = false;       ///< a fault is under way
  Time LeftAt = Time::max(); ///< the store's answer to its leaving
};

/// All parts of a soak but the faults.
class SoakWorld {
public:
  /// Bounds from the change in the store to its effect on VMs in touch.
  static constexpr Duration DrainBound = seconds(2);
  static constexpr Duration EvacuationBound = seconds(5);
  static constexpr Duration ConfigBound = seconds(2);
  static constexpr Duration RollbackBound = milliseconds(250);
  static constexpr Duration RecoveryBound = seconds(15);
  /// Time from SIGTERM to SIGKILL.
  static constexpr Duration Grace = seconds(6);
  /// Grants that arrive this soon after their sender went on may be held up.
  static constexpr Duration ThawBound = milliseconds(300);

  explicit SoakWorld(const SoakPlan &plan)
      : Plan(plan), Random(plan.Seed), Store(Loop, address(0)) {
    std::filesystem::create_directories(Folder);
    for (auto *harm : {&Ledger.VmHarm, &Ledger.VmWork, &Ledger.StorePathHarm,
                       &Ledger.LinkHarm})
      harm->resize(plan.VmCount);
    std::vector<std::uint16_t> ports;
    for (int n = 0; n < plan.VmCount; ++n) {
      Store.addView(
          linkAddress(n, Plan.BasePort),
          [n](const auto &key, const auto &it) { return viewOf(n, key, it); });
      Vms.emplace_back().StorePath = std::make_unique<FaultProxy>(
          Loop, address(FirstStorePathPort + n), linkAddress(n, Plan.BasePort));
      ports.push_back(address(vmPort(n)).Port);
    }
    Callers = std::make_unique<SoakCallers>(Loop, Ledger, ports, Random());
    for (const char *service : {"divided", "plain", "media"})
      for (int n = 0; n < UpstreamsPerService; ++n)
        addUpstream(service);
    putConfig();
  }
  ~SoakWorld() {
    Vms.clear();
    std::filesystem::remove_all(Folder);
  }

  int pick(int count) { return static_cast<int>(Random() % count); }
  Duration pickMs(int from, int to) {
    return milliseconds(from + pick(to - from));
  }

  void startVm(int n) {
    const std::string path = fmt::format("{}/vm{}.ini", Folder, n);
    std::ofstream(path) << fmt::format(
        "[vm]\nname = vm{}\ndomain = d{}\n[listen]\ncallers = {}\nready = "
        "{}\nmetrics = {}\npeers = {}\n[store]\naddress = {}\n[log]\n"
        "lines_per_second = 4000\n",
        n, n % DomainCount, formatEndpoint(address(vmPort(n))),
        formatEndpoint(address(vmPort(n) + 1)),
        formatEndpoint(address(vmPort(n) + 2)),
        formatEndpoint(address(vmPort(n) + 3)),
        formatEndpoint(address(FirstStorePathPort + n)));
    Vms[n].SeenVersion = 0;
    ++Vms[n].Incarnation;
    Vms[n].Process = std::make_unique<ChildProcess>(
        std::vector<std::string>{"waxwing-node", "--settings", path},
        fmt::format("{}/vm{}.log", Folder, n));
  }

  /// Adds an upstream of @p service.
  /// @param reused index of an ended upstream whose address it takes, or -1
  void addUpstream(const std::string &service, int reused = -1) {
    const int n = static_cast<int>(Upstreams.size());
    SoakUpstream &upstream = Upstreams.emplace_back();
    StandinUpstreamSettings settings;
    settings.Id = fmt::format("i-{}", n);
    settings.Service = service;
    settings.Domain = fmt::format("d{}", n % DomainCount);
    settings.IsDividedByKey = service == "divided";
    settings.Slots = 8;
    settings.ClockFactor = pick(2) == 0 ? 1 : 1.019;
    settings.Address = address(FirstUpstreamPort + n);
    upstream.Host = std::make_unique<StandinUpstreamHost>(Loop, settings);
    upstream.Entry = settings;
    upstream.Entry.Address = reused < 0 ? address(FirstUpstreamPathPort + n)
                                        : Upstreams[reused].Entry.Address;
    upstream.Path = std::make_unique<FaultProxy>(Loop, upstream.Entry.Address,
                                                 settings.Address);
    ClosedPorts.erase(upstream.Entry.Address.Port);
    for (int vm = 0; vm < Plan.VmCount; ++vm)
      addLink(vm, upstream.Entry.Address);
    upstream.Host->OnExecution = [this, n](const StandinRequest &request) {
      onExecution(n, request);
    };
    upstream.Host->OnGrant = [this, n](const StandinGrant &grant) {
      OwnerCheck.onGrant(Ledger, lifeOf(Upstreams[n]), grant.Range, grant.Fence,
                         bootNow() < HeldUpUntil);
    };
    upstream.Host->MakeBody =
        [this, id = settings.Id](const StandinRequest &request) {
          const std::string *name =
              http::findField(request.Head.Headers, "Request-Id");
          const auto it = name == nullptr ? Ledger.Requests.end()
                                          : Ledger.Requests.find(*name);
          return it == Ledger.Requests.end()
                     ? std::string()
                     : makeSoakBody(id, *name,
                                    soakKind(it->second.Kind).ResponseBytes);
        };
    Ledger.UpstreamHarm.emplace_back();
    putEntry(upstream);
  }

  /// Refuses connections to an upstream, which ends.
  void closePath(SoakUpstream &upstream) {
    upstream.Path->close();
    ClosedPorts.insert(upstream.Entry.Address.Port);
    for (int vm = 0; vm < Plan.VmCount; ++vm)
      updateLink(vm, upstream.Entry.Address.Port);
  }
  void openPath(SoakUpstream &upstream) {
    upstream.Path->open();
    ClosedPorts.erase(upstream.Entry.Address.Port);
    for (int vm = 0; vm < Plan.VmCount; ++vm)
      updateLink(vm, upstream.Entry.Address.Port);
  }
  /// Cuts a VM off from all upstreams, or restores its links.
  void setCut(int vm, std::optional<LinkCut> cut) {
    if (Vms[vm].Cut)
      Ledger.LinkHarm[vm].end();
    if (cut)
      Ledger.LinkHarm[vm].begin();
    Vms[vm].Cut = cut;
    for (const auto &[port, link] : Vms[vm].Links) {
      // What a silent cut has held must not arrive late.
      if (link->ToTarget.IsHolding)
        link->reset();
      updateLink(vm, port);
    }
  }

  /// Writes the entry of an upstream, or removes it.
  void putEntry(const SoakUpstream &upstream) {
    const std::string key = "servers/" + upstream.Entry.Id;
    if (upstream.IsListed)
      Store.put(key, makeStandinUpstreamEntry(upstream.Entry,
                                              upstream.Host->startedAtMs(),
                                              upstream.IsDraining));
    else
      Store.remove(key);
  }

  /// Writes the next version of the configuration. Each has a route of its own,
  /// which the next one drops.
  void putConfig() {
    Version += 1 + pick(3);
    const auto route = [](const char *prefix, const char *kind, double timeout,
                          int attempts, const char *service) {
      return nlohmann::json{{"hostname", "h"},
                            {"prefix", prefix},
                            {"kind", kind},
                            {"timeout_s", timeout},
                            {"target_latency_s", 0.5},
                            {"priority", attempts % 2},
                            {"max_attempts", attempts},
                            {"service", service}};
    };
    const double timeout = 1.5 + 0.5 * pick(4);
    const std::string probe = probePath(Version);
    Config =
        nlohmann::json{
            {"config_version", fmt::format("{:08x}", Version)},
            {"base_version", "00000000"},
            {"routes",
             {{"keys", route("/keys/", "idempotent", timeout, 2, "divided")},
              {"book", route("/book/", "non_idempotent", timeout, 2, "plain")},
              {"lookup", route("/lookup/", "idempotent", timeout, 3, "media")},
              {"pack", route("/pack/", "download", 2, 2, "plain")},
              {"upload", route("/media/", "upload", 2, 3, "media")},
              {fmt::format("probe{}", Version),
               route(probe.c_str(), "idempotent", 1, 1, "plain")}}},
            {"services",
             {{"divided",
               {{"health_path", "/healthz"},
                {"max_connections", 400},
                {"sharded", true}}},
              {"plain",
               {{"health_path", "/healthz"}, {"max_connections", 400}}},
              {"media",
               {{"health_path", "/healthz"}, {"max_connections", 400}}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 67108864},
              {"header_timeout_s", 3},
              {"idle_timeout_s", std::array{2, 5, 15}[pick(3)]}}}}
            .dump();
    OldVersion = std::exchange(AckedVersion, Version);
    Store.put("op/config", Config);
    VersionAckedAt = bootNow();
  }
  static std::string probePath(std::uint64_t version) {
    return fmt::format("/probe-{:x}/", version);
  }

  /// The operator and the upstreams write again after a restoration.
  Task rewriteStore() {
    Store.put("op/config", Config);
    VersionAckedAt = bootNow();
    for (int n = 0; n < DomainCount; ++n)
      putEvacuation(n);
    co_await sleepFor(Loop, pickMs(0, 1500));
    for (const SoakUpstream &upstream : Upstreams)
      putEntry(upstream);
  }
  void putEvacuation(int domain) {
    const std::string key = fmt::format("op/evacuate/d{}", domain);
    if (EvacuatedAt.contains(domain))
      Store.put(key, "{}");
    else
      Store.remove(key);
  }

  static std::string lifeOf(const SoakUpstream &upstream) {
    return fmt::format("{}@{}", upstream.Entry.Id,
                       upstream.Host->startedAtMs());
  }

  /// Watches owners of keys and the delays of this process.
  Task watchOwners() {
    constexpr Duration interval = milliseconds(10);
    constexpr Duration largestLag = milliseconds(150);
    while (!IsEnding) {
      const Time before = bootNow();
      co_await sleepFor(Loop, interval);
      const Duration lag = bootNow() - before - interval;
      MaxLag = std::max(MaxLag, lag);
      if (lag > largestLag) {
        HeldUpUntil = std::max(HeldUpUntil, bootNow() + ThawBound);
        // What was measured in that time says nothing about the VMs.
        for (SoakHarm &harm : Ledger.VmHarm)
          harm.Until = bootNow();
      }
      OwnerCheck.check(Ledger, [this](std::uint16_t key) {
        std::vector<std::string> owners;
        for (const SoakUpstream &upstream : Upstreams)
          if (upstream.Entry.IsDividedByKey && upstream.Host->isRunning() &&
              upstream.Host->ownsKey(key))
            owners.push_back(lifeOf(upstream));
        return owners;
      });
    }
  }

  /// Asks a VM again and again for the routes of the newest two versions.
  Task probeConfig(int vm) {
    const Duration interval = milliseconds(50 + 10 * Plan.VmCount);
    while (!IsEnding) {
      co_await sleepFor(Loop, interval);
      co_await probeVersion(vm, AckedVersion);
      co_await probeVersion(vm, OldVersion);
    }
  }
  Task probeVersion(int vm, std::uint64_t version) {
    const SoakVm &state = Vms[vm];
    const Time sentAt = bootNow();
    const int incarnation = state.Incarnation;
    const std::uint64_t newest = AckedVersion;
    const Time ackedAt = VersionAckedAt;
    const std::uint64_t seen = state.SeenVersion;
    const Time seenAt = state.SeenAt;
    SoakConnection connection(Loop);
    const bool isOpen = co_await connection.connect(address(vmPort(vm)).Port);
    if (!isOpen)
      co_return;
    std::string request = fmt::format(
        "GET {}x HTTP/1.1\r\nHost: h\r\nRequest-Id: p\r\nDeadline-Ms: 1000\r\n"
        "Connection: close\r\n\r\n",
        probePath(version));
    const bool isSent = co_await connection.write(std::move(request));
    const SoakAnswer answer = co_await connection.readAnswer();
    const bool isStopping = answer.Body.starts_with("draining");
    if (!isSent || answer.Status == 0 || isStopping ||
        Vms[vm].Incarnation != incarnation)
      co_return;
    const bool hasNone = answer.Body.starts_with("no_configuration");
    const bool isInForce = answer.Status != 404 && !hasNone;
    const auto report = [&](const char *what) {
      Ledger.report(
          SoakRule::Config,
          fmt::format("vm{}: {}; version {:x} of {:x}, {} ms after its ack, "
                      "status {}, seen {:x}",
                      vm, what, version, newest,
                      toMilliseconds(sentAt - ackedAt), answer.Status, seen));
    };
    const bool isNewest = version == newest && newest == AckedVersion;
    if (isNewest && sentAt > ackedAt + ConfigBound &&
        ackedAt == VersionAckedAt && Ledger.isInTouch(vm, bootNow())) {
      ++ConfigChecks;
      if (!isInForce)
        report("not in force in time");
    }
    const bool isOld =
        seen > 0 && sentAt > seenAt + RollbackBound &&
        (isInForce ? version < seen : version == seen && isNewest);
    if (isOld)
      report("went back");
    if (isInForce && version > Vms[vm].SeenVersion) {
      Vms[vm].SeenVersion = version;
      Vms[vm].SeenAt = bootNow();
    }
  }

  /// Waits until all VMs serve all kinds of requests.
  /// @return description of what is not served within RecoveryBound, or ""
  asio::awaitable<std::string> awaitService() {
    const Time end = bootNow() + RecoveryBound;
    constexpr std::array keys{0, 30000, 65535};
    std::string missing = "not started";
    while (!missing.empty() && bootNow() < end) {
      missing.clear();
      for (int vm = 0; vm < Plan.VmCount && missing.empty(); ++vm)
        for (const SoakKindInfo &kind : SoakKinds)
          for (const int key : keys) {
            const int status = co_await Callers->sendProbe(vm, kind.Kind, key);
            if (status != 200)
              missing =
                  fmt::format("vm{} {}{}: {}", vm, kind.Prefix, key, status);
          }
      if (!missing.empty())
        co_await sleepFor(Loop, milliseconds(100));
    }
    co_return missing;
  }

  asio::io_context Loop{1};
  SoakPlan Plan;
  std::mt19937_64 Random;
  StandinPlatformStore Store;
  SoakLedger Ledger;
  SoakOwnerCheck OwnerCheck;
  std::vector<SoakVm> Vms;
  std::deque<SoakUpstream> Upstreams; ///< references stay valid
  std::unique_ptr<SoakCallers> Callers;
  std::map<int, Time> EvacuatedAt; ///< by domain
  std::string Folder = fmt::format("/tmp/waxwing-soak-{}", getpid());
  std::string Config;
  std::uint64_t Version = 0;
  std::uint64_t AckedVersion = 0;
  std::uint64_t OldVersion = 0;
  Time VersionAckedAt;
  Time HeldUpUntil; ///< grants that arrive before may have been held up
  Duration MaxLag{};
  int ConfigChecks = 0; ///< probes to which the bound applied
  int DrainChecks = 0;  ///< executions to which the bounds applied
  bool IsEnding = false;

  static constexpr int DomainCount = 2;
  /// The first ones are those of the service divided by key.
  static constexpr int UpstreamsPerService = 4;

private:
  static constexpr int FirstStorePathPort = 1;
  static constexpr int FirstUpstreamPort = 100;
  static constexpr int FirstUpstreamPathPort = 300;
  static constexpr int FirstVmPort = 500;

  Endpoint address(int offset) const {
    return {"127.0.0.1", static_cast<std::uint16_t>(Plan.BasePort + offset)};
  }
  static int vmPort(int n) { return FirstVmPort + n * 4; }
  /// @return address of which only VM @p vm knows
  static Endpoint linkAddress(int vm, std::uint16_t port) {
    return {fmt::format("127.0.{}.1", vm + 1), port};
  }
  /// @return the value of a key of the store as VM @p vm sees it
  static std::string viewOf(int vm, const std::string &key,
                            const std::string &value) {
    if (!key.starts_with("servers/"))
      return value;
    nlohmann::json entry = nlohmann::json::parse(value);
    const Endpoint path = parseEndpoint(entry["address"].get<std::string>());
    entry["address"] = formatEndpoint(linkAddress(vm, path.Port));
    return entry.dump();
  }
  void addLink(int vm, const Endpoint &path) {
    std::unique_ptr<FaultProxy> &link = Vms[vm].Links[path.Port];
    if (link == nullptr)
      link =
          std::make_unique<FaultProxy>(Loop, linkAddress(vm, path.Port), path);
    updateLink(vm, path.Port);
  }
  void updateLink(int vm, std::uint16_t port) {
    FaultProxy &link = *Vms[vm].Links.at(port);
    link.ToTarget.IsHolding = link.ToCaller.IsHolding = false;
    if (ClosedPorts.contains(port))
      link.close();
    else if (Vms[vm].Cut)
      cutLink(link, *Vms[vm].Cut);
    else
      link.open();
  }

  std::set<std::uint16_t> ClosedPorts; ///< paths of ended upstreams

  void onExecution(int n, const StandinRequest &request) {
    const std::string *id = http::findField(request.Head.Headers, "Request-Id");
    if (id != nullptr && *id == "p")
      return;
    const auto it =
        id == nullptr ? Ledger.Requests.end() : Ledger.Requests.find(*id);
    if (it == Ledger.Requests.end()) {
      Ledger.report(SoakRule::Mixed,
                    "a request that nobody sent: " + request.Head.Target);
      return;
    }
    SoakRequest &sent = it->second;
    const SoakKindInfo &kind = soakKind(sent.Kind);
    sent.RanAt.push_back(n);
    if (Upstreams[n].Entry.Service != kind.Service)
      Ledger.report(SoakRule::Mixed,
                    fmt::format("{} {} ran at {} of another service", *id,
                                sent.Target, Upstreams[n].Entry.Id));
    if (request.Head.Target != sent.Target ||
        request.Head.Method != kind.Method ||
        request.Body != (kind.RequestBytes == 0
                             ? std::string()
                             : makeSoakBody("c", *id, kind.RequestBytes)))
      Ledger.report(SoakRule::Mixed,
                    fmt::format("{} arrived as {} with {} bytes", *id,
                                request.Head.Target, request.Body.size()));
    checkLeaving(n, *id, sent);
  }

  void checkLeaving(int n, const std::string &id, const SoakRequest &sent) {
    const Time now = bootNow();
    const SoakUpstream &upstream = Upstreams[n];
    if (!Ledger.areSendersInTouch(sent.Vm, now) ||
        Ledger.UpstreamHarm[n].isSince(now - SoakLedger::ContactBound))
      return;
    ++DrainChecks;
    const auto report = [&](const char *what, Time since) {
      Ledger.report(SoakRule::Drain,
                    fmt::format("{} from vm{} reached {} {} ms after {}", id,
                                sent.Vm, upstream.Entry.Id,
                                toMilliseconds(now - since), what));
    };
    if (upstream.LeftAt != Time::max() && now > upstream.LeftAt + DrainBound)
      report("it left", upstream.LeftAt);
    const auto domain = EvacuatedAt.find(n % DomainCount);
    if (domain != EvacuatedAt.end() && now > domain->second + EvacuationBound)
      report("its domain was taken out", domain->second);
  }
};

} // namespace waxwing

#endif
