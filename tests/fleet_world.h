/**
 * @file fleet_world.h
 * Many VMs in one process: the routing replica of each, as in waxwing-node,
 * with a stand-in store behind one proxy for each VM, and datagrams that are
 * lost or late.
 */
#ifndef WAXWING_TESTS_FLEET_WORLD_H
#define WAXWING_TESTS_FLEET_WORLD_H

#include "node/routing_replica.h"
#include "node_fixture.h"
#include "node_soak_proxy.h"

#include <random>
#include <set>

namespace waxwing {

/// Delivers datagrams between the VMs of a test.
class PeerNetwork {
public:
  PeerNetwork(asio::io_context &loop, std::uint64_t seed)
      : Loop(loop), Random(seed) {}

  double LossShare = 0;            ///< share of datagrams that are lost
  Duration MaxDelay{};             ///< of the others
  std::set<PeerPort::Address> Cut; ///< VMs that send and receive nothing
  std::set<PeerPort::Address>
      Slowed; ///< VMs whose datagrams come SlowDelay late
  Duration SlowDelay{};

  void attach(const PeerPort::Address &address, PeerPort::Handler handler) {
    Handlers[address] = std::move(handler);
  }
  void send(const PeerPort::Address &from, const PeerPort::Address &to,
            const std::string &bytes) {
    const bool isLost =
        std::uniform_real_distribution<>(0, 1)(Random) < LossShare;
    if (isLost || Cut.contains(from) || Cut.contains(to))
      return;
    Duration delay(MaxDelay.count() == 0 ? 0
                                         : static_cast<Duration::rep>(
                                               Random() % MaxDelay.count()));
    if (Slowed.contains(from) || Slowed.contains(to))
      delay += SlowDelay;
    const auto timer = std::make_shared<asio::steady_timer>(Loop, delay);
    timer->async_wait([this, timer, from, to, bytes](const auto &ec) {
      const auto handler = Handlers.find(to);
      if (!ec && handler != Handlers.end() && !Cut.contains(to))
        handler->second(bytes, from);
    });
  }

private:
  asio::io_context &Loop;
  std::mt19937_64 Random;
  std::map<PeerPort::Address, PeerPort::Handler> Handlers;
};

/// A VM's port on a PeerNetwork.
class NetworkPort : public PeerPort {
public:
  explicit NetworkPort(PeerNetwork &network) : Network(network) {}
  absl::Status open(const Endpoint &address, Handler onDatagram) override {
    Own = {asio::ip::make_address(address.Address), address.Port};
    Network.attach(Own, std::move(onDatagram));
    return absl::OkStatus();
  }
  void send(const Address &target, const std::string &bytes) override {
    Network.send(Own, target, bytes);
  }
  const Address &own() const { return Own; }

private:
  PeerNetwork &Network;
  Address Own;
};

/// One VM without callers.
struct FleetVm {
  FleetVm(asio::io_context &loop, PeerNetwork &network,
          const NodeSettings &settings, const Endpoint &proxy,
          const Endpoint &store)
      : Settings(settings), Proxy(loop, proxy, store), Calls(loop),
        Router(loop, Settings), Port(network),
        Replica(loop, Settings, Calls, Port, Router) {}

  bool uses(const UpstreamId &id) {
    const Upstream *upstream = Router.upstreams().find(id);
    return upstream != nullptr && Router.upstreams().isUsable(*upstream);
  }

  NodeSettings Settings;
  FaultProxy Proxy; ///< to the store
  HttpCallClient Calls;
  Gateway Router;
  NetworkPort Port;
  RoutingReplica Replica;
};

/// A store and VMs in several failure domains.
class FleetWorld {
public:
  FleetWorld(int vmCount, int domainCount, std::uint64_t seed)
      : Network(Loop, seed), Store(Loop, address(0)) {
    for (int n = 0; n < vmCount; ++n) {
      const auto settings = parseNodeSettings(
          fmt::format("[vm]\nname = vm{0:02}\ndomain = d{1}\n[listen]\n"
                      "callers = 127.0.0.1:1\nready = 127.0.0.1:1\n"
                      "peers = 127.1.0.{0}:7000\n[store]\naddress = {2}\n",
                      n, n % domainCount, formatEndpoint(address(1 + n))),
          "test");
      Vms.push_back(std::make_unique<FleetVm>(Loop, Network, *settings,
                                              address(1 + n), address(0)));
    }
    Store.put("op/config", NodeConfig);
  }

  static Endpoint address(int offset) {
    return {"127.0.0.1", static_cast<std::uint16_t>(BasePort + offset)};
  }
  void listUpstream(const std::string &id, bool isDraining) {
    StandinUpstreamSettings settings;
    settings.Id = id;
    settings.Service = "plain";
    settings.Domain = "d0";
    settings.Address = address(900);
    Store.put("servers/" + id,
              makeStandinUpstreamEntry(settings, 1000, isDraining));
  }
  void start() {
    for (const auto &vm : Vms)
      EXPECT_TRUE(vm->Replica.start().ok());
  }
  std::vector<int> readers(const std::string &domain) const {
    std::vector<int> result;
    for (std::size_t n = 0; n < Vms.size(); ++n)
      if (Vms[n]->Replica.cluster().isReader() &&
          Vms[n]->Settings.Vm.text("domain") == domain)
        result.push_back(static_cast<int>(n));
    return result;
  }
  /// Cuts the VM off from the store and, if @p isPeersToo, from the other VMs.
  void cut(int n, bool isPeersToo) {
    Vms[n]->Proxy.reset();
    Vms[n]->Proxy.hang();
    if (isPeersToo)
      Network.Cut.insert(Vms[n]->Port.own());
  }
  void heal(int n) {
    Vms[n]->Proxy.open();
    Network.Cut.erase(Vms[n]->Port.own());
  }

  asio::io_context Loop;
  PeerNetwork Network;
  StandinPlatformStore Store;
  std::vector<std::unique_ptr<FleetVm>> Vms;

private:
  static constexpr int BasePort = 28100;
};

} // namespace waxwing

#endif
