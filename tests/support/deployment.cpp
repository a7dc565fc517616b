/**
 * @file deployment.cpp
 * Starts, controls and queries a small deployment.
 */
#include "support/deployment.h"

#include "core/sha256_func.h"
#include "net/http_client.h"
#include "net/url_func.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

namespace waxwing {
namespace {

constexpr std::uint16_t UpstreamPortOffset = 200;
constexpr std::uint16_t VmPortStep = 10;
constexpr Duration CallTimeout = seconds(3);
constexpr Duration ServeTimeout = seconds(20);
constexpr Duration RetryPeriod = milliseconds(50);
const std::string Loopback = "127.0.0.1";

std::string loopback(int port) { return fmt::format("127.0.0.1:{}", port); }

/// Sends a request and waits for its outcome.
HttpOutcome sendAndWait(std::uint16_t port, HttpRequest request) {
  IoThread io("test-call");
  HttpClient client(io, 1);
  std::promise<HttpOutcome> outcome;
  io.post([&] {
    client.send({Loopback, port}, std::move(request), readClock() + CallTimeout,
                [&](HttpOutcome it) { outcome.set_value(std::move(it)); });
  });
  HttpOutcome result = outcome.get_future().get();
  io.stop();
  return result;
}

std::string get(std::uint16_t port, const std::string &target) {
  HttpRequest request;
  request.Target = target;
  return sendAndWait(port, std::move(request)).Response.Body;
}

/// @return offset that WAXWING_PORT_OFFSET adds to all ports, so that two
///   checkouts can run the same test at the same time
std::uint16_t portOffset() {
  const char *text = std::getenv("WAXWING_PORT_OFFSET");
  return static_cast<std::uint16_t>(text == nullptr ? 0 : std::atoi(text));
}

void writeFile(const std::string &path, const std::string &text) {
  std::ofstream(path) << text;
}

} // namespace

Deployment::Deployment(DeploymentSpec spec) : Spec(std::move(spec)) {
  Spec.BasePort = static_cast<std::uint16_t>(Spec.BasePort + portOffset());
  Folder = std::filesystem::temp_directory_path() /
           fmt::format("waxwing-{}-{}", Spec.Name, Spec.BasePort);
  std::filesystem::remove_all(Folder);
  std::filesystem::create_directories(Folder);
  auto port = static_cast<std::uint16_t>(Spec.BasePort + UpstreamPortOffset);
  for (const ServiceSpec &service : Spec.Services)
    for (int n = 1; n <= service.Upstreams; ++n, port += 2)
      Instances.push_back({service.Name, n, port});
}

void Deployment::start() {
  writeVmSettings();
  Platform.try_emplace(
      "store",
      ChildProcess({"standin-store", "--listen", loopback(Spec.BasePort),
                    "--admin", loopback(Spec.BasePort + 1)},
                   path("store.log")));
  Platform.try_emplace(
      "vm-list",
      ChildProcess({"standin-vm-list", "--listen", loopback(Spec.BasePort + 2),
                    "--file", path("vms.json"), "--lag-ms", "500"},
                   path("vm-list.log")));
  for (const UpstreamInstance &it : Instances)
    startUpstream(it.Service, it.Number);
  for (int vm = 1; vm <= Spec.Vms; ++vm) {
    startController(vm);
    startRouter(vm);
  }
  putDocument(buildDocument());
}

void Deployment::startRouter(int vm) {
  killRouter(vm);
  Routers.try_emplace(vm,
                      ChildProcess({"waxwing-router", "--settings",
                                    path(fmt::format("vm{}.ini", vm))},
                                   path(fmt::format("router-vm{}.log", vm))));
}

void Deployment::startController(int vm) {
  killController(vm);
  Controllers.try_emplace(
      vm, ChildProcess({"waxwing-controller", "--settings",
                        path(fmt::format("vm{}.ini", vm))},
                       path(fmt::format("controller-vm{}.log", vm))));
}

void Deployment::startUpstream(const std::string &service, int number) {
  killUpstream(service, number);
  const auto spec =
      std::ranges::find(Spec.Services, service, &ServiceSpec::Name);
  const UpstreamInstance &it = instance(service, number);
  const std::string id = fmt::format("{}-{}", service, number);
  std::vector<std::string> arguments{
      "standin-upstream",
      "--id=" + Spec.Name + "/" + id,
      "--listen=" + loopback(it.Port),
      "--admin=" + loopback(it.Port + 1),
      fmt::format("--slots={}", spec->Slots),
      fmt::format("--service-time-us={}", spec->ServiceTimeUs),
      "--warm-up-ms=500",
      fmt::format("--divided-by-key={}", spec->IsDividedByKey)};
  std::ranges::copy(spec->UpstreamOptions, std::back_inserter(arguments));
  Upstreams.try_emplace(
      id, ChildProcess(std::move(arguments), path("upstream-" + id + ".log")));
}

ChildProcess &Deployment::upstream(const std::string &service, int number) {
  return Upstreams.at(fmt::format("{}-{}", service, number));
}

void Deployment::killUpstream(const std::string &service, int number) {
  Upstreams.erase(fmt::format("{}-{}", service, number));
}

std::string Deployment::queryUpstreamAdmin(const std::string &service,
                                           int number,
                                           const std::string &target) {
  return get(static_cast<std::uint16_t>(instance(service, number).Port + 1),
             target);
}

std::string Deployment::queryStoreAdmin(const std::string &target) {
  return get(static_cast<std::uint16_t>(Spec.BasePort + 1), target);
}

std::string Deployment::routerMetrics(int vm) {
  return get(static_cast<std::uint16_t>(vmPort(vm) + 2), "/metrics");
}

std::string Deployment::request(int vm, const std::string &method,
                                const std::string &path,
                                const std::string &idempotencyKey) {
  HttpRequest request;
  request.Method = method;
  request.Target = path;
  request.Headers.add("Authorization", "Bearer paying-key");
  if (!idempotencyKey.empty())
    request.Headers.add("Idempotency-Key", idempotencyKey);
  const HttpOutcome outcome = sendAndWait(vmPort(vm), std::move(request));
  if (outcome.Progress != HttpProgress::Answered)
    return "0 ";
  return fmt::format("{} {}", outcome.Response.Status, outcome.Response.Body);
}

/// Number of consecutive writes with new idempotency keys that must succeed.
/// New keys are spread over many partitions, whose homes accept them at
/// different times.
constexpr int ConsecutiveKeysRequired = 64;

bool Deployment::waitUntilServed(int vm, const std::string &service) {
  const Time deadline = readClock() + ServeTimeout;
  const std::string target = fmt::format("/{}/{}/probe", Spec.Name, service);
  while (readClock() < deadline) {
    if (request(vm, "GET", target).starts_with("200"))
      return true;
    std::this_thread::sleep_for(RetryPeriod);
  }
  return false;
}

bool Deployment::waitUntilAllServed() {
  for (int vm = 1; vm <= Spec.Vms; ++vm)
    for (const ServiceSpec &service : Spec.Services)
      if (!waitUntilServed(vm, service.Name))
        return false;
  return std::ranges::all_of(Spec.Services, [this](const ServiceSpec &it) {
    return waitUntilKeysServed(it.Name);
  });
}

bool Deployment::waitUntilKeysServed(const std::string &service) {
  const Time deadline = readClock() + ServeTimeout;
  const std::string target = fmt::format("/{}/{}/probe", Spec.Name, service);
  int served = 0;
  for (std::uint64_t n = 0;
       served < ConsecutiveKeysRequired && readClock() < deadline; ++n) {
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const std::string key = fmt::format("{}-ready{:08}", now.count(), n);
    const bool isServed = request(1, "POST", target, key).starts_with("200");
    served = isServed ? served + 1 : 0;
  }
  return served == ConsecutiveKeysRequired;
}

ChildProcess Deployment::startLoad(const std::vector<StreamSpec> &streams,
                                   int durationMs,
                                   const std::string &moreSettings) {
  std::string plan = fmt::format("[load]\nlength = {}\n{}\nrouters =\n",
                                 durationMs, moreSettings);
  for (int vm = 1; vm <= Spec.Vms; ++vm)
    plan += "  " + loopback(vmPort(vm)) + "\n";
  plan += "upstream_records =\n";
  for (const UpstreamInstance &it : Instances)
    plan += "  " + loopback(it.Port + 1) + "\n";
  for (const StreamSpec &stream : streams) {
    plan +=
        fmt::format("[stream {}]\ncaller_key = {}-key\nrate = {}\n{}\n"
                    "services =\n",
                    stream.Name, stream.Name, stream.Rate, stream.MoreSettings);
    for (const std::string &service : stream.Services)
      plan += "  " + Spec.Name + "/" + service + "\n";
  }
  writeFile(path("load.ini"), plan);
  std::filesystem::remove(path("load.log"));
  return ChildProcess({"standin-load", "--plan", path("load.ini")},
                      path("load.log"));
}

std::string Deployment::loadReport() const {
  std::ostringstream text;
  text << std::ifstream(path("load.log")).rdbuf();
  return text.str();
}

void Deployment::putDocument(const std::string &text) {
  Document = text;
  const Time deadline = readClock() + ServeTimeout;
  while (readClock() < deadline) {
    HttpRequest request;
    request.Method = "PUT";
    request.Target =
        fmt::format("/kv?key={}&expect={}", encodeUrl("/teams/" + Spec.Name),
                    DocumentRevision);
    request.Body = text;
    const HttpOutcome outcome = sendAndWait(Spec.BasePort, std::move(request));
    if (outcome.Progress == HttpProgress::Answered &&
        outcome.Response.Status == 200) {
      DocumentRevision =
          std::stoull(std::string(outcome.Response.Headers.find("X-Revision")));
      return;
    }
    std::this_thread::sleep_for(RetryPeriod);
  }
}

void Deployment::writeVmSettings() {
  std::string vmList;
  for (int vm = 1; vm <= Spec.Vms; ++vm) {
    const std::string &domain =
        Spec.Domains[static_cast<std::size_t>(vm - 1) % Spec.Domains.size()];
    const int port = vmPort(vm);
    writeFile(path(fmt::format("vm{}.ini", vm)),
              fmt::format("[vm]\nname = vm{}\ndomain = {}\n[store]\n"
                          "address = {}\nvm_list = {}\n[router]\n"
                          "address = {}\nforward = {}\nmetrics = {}\n"
                          "[controller]\nlink = {}\nadmin = {}\n"
                          "metrics = {}\n{}\n",
                          vm, domain, loopback(Spec.BasePort),
                          loopback(Spec.BasePort + 2), loopback(port),
                          loopback(port + 1), loopback(port + 2),
                          loopback(port + 3), loopback(port + 4),
                          loopback(port + 5), Spec.MoreVmSettings));
    vmList += fmt::format("{}{{\"name\":\"vm{}\",\"domain\":\"{}\",\"link\":"
                          "\"{}\",\"forward\":\"{}\"}}",
                          vmList.empty() ? "" : ",", vm, domain,
                          loopback(port + 3), loopback(port + 1));
  }
  writeFile(path("vms.json"), "[" + vmList + "]");
}

std::string Deployment::buildDocument() const {
  std::string text;
  for (const std::string &domain : Spec.Domains)
    text += fmt::format("[domain {}]\ntaken_out = false\n", domain);
  for (const std::string tier : {"paying", "free"})
    text +=
        fmt::format("[tier {0}]\nweight = {1}\n[caller {0}]\ntier = {0}\n"
                    "key_sha256 = {2}\n",
                    tier, tier == "paying" ? 8 : 1, sha256Hex(tier + "-key"));
  for (const ServiceSpec &service : Spec.Services)
    text += fmt::format("[service {}]\ndivided_by_key = {}\nshards = 64\n"
                        "slots = {}\nwarm_up = 500\n",
                        service.Name, service.IsDividedByKey, service.Slots);
  for (const UpstreamInstance &it : Instances)
    text += fmt::format(
        "[upstream {0}-{1}]\nservice = {0}\naddress = {2}\ndomain = {3}\n",
        it.Service, it.Number, loopback(it.Port),
        Spec.Domains[static_cast<std::size_t>(it.Number - 1) %
                     Spec.Domains.size()]);
  return text;
}

const Deployment::UpstreamInstance &
Deployment::instance(const std::string &service, int number) const {
  return *std::ranges::find_if(Instances, [&](const UpstreamInstance &it) {
    return it.Service == service && it.Number == number;
  });
}

std::uint16_t Deployment::vmPort(int vm) const {
  return static_cast<std::uint16_t>(Spec.BasePort + VmPortStep * vm);
}

std::string Deployment::path(const std::string &file) const {
  return Folder + "/" + file;
}

} // namespace waxwing
