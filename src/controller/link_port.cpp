/**
 * @file link_port.cpp
 * Links with a hello at their start.
 */
#include "controller/link_port.h"

#include "link/link_message_func.h"

#include <algorithm>
#include <future>
#include <ranges>

namespace waxwing {
namespace {

constexpr Duration ReconnectPeriod = milliseconds(200);
/// A link on demand is closed when unused for this long.
constexpr Duration DemandIdle = seconds(10);
/// Messages that wait for a link on demand.
constexpr std::size_t DemandMessages = 16;

} // namespace

LinkPort::LinkPort(RecordMember self, ControlCounters &counters,
                   std::function<void()> wakeDecisions)
    : Counters(counters), Self(std::move(self)),
      Host(Io.context(), {[this](LinkId id) { onOpen(id); },
                          [this](LinkId id, const std::string &bytes) {
                            onMessage(id, bytes);
                          },
                          [this](LinkId id) { onClose(id); }}),
      Commands(LinkPortRingCapacity,
               [this] {
                 Io.post([this] {
                   Commands.drain([this](LinkCommand &&command) {
                     std::visit([this](const auto &it) { carryOut(it); },
                                command);
                   });
                 });
               }),
      Events(LinkPortRingCapacity, std::move(wakeDecisions)) {
  Io.runEvery(ReconnectPeriod, [this] { maintain(); });
}

LinkPort::~LinkPort() { stop(); }

absl::Status LinkPort::listen(const Endpoint &endpoint) {
  std::promise<std::string> result;
  Io.post(
      [&] { result.set_value(Host.listen(endpoint.Address, endpoint.Port)); });
  const std::string error = result.get_future().get();
  if (error.empty())
    return absl::OkStatus();
  return absl::UnavailableError("cannot listen on " + formatEndpoint(endpoint) +
                                ": " + error);
}

void LinkPort::stop() { Io.stop(); }

void LinkPort::carryOut(const LinkSend &command) {
  const std::string bytes = encodeLinkMessage(command.Message);
  if (command.Everyone)
    for (const auto &[link, peer] : Peers)
      if (peer.Role == *command.Everyone)
        send(link, bytes);
  if (!command.To)
    return;
  if (const auto it = Demands.find(*command.To);
      it != Demands.end() && command.OpensLink)
    it->second.Until = readClock() + DemandIdle;
  if (const auto link = linkTo(*command.To))
    send(*link, bytes);
  else if (command.OpensLink)
    demand(*command.To, bytes);
}

void LinkPort::carryOut(const LinkTargets &command) {
  Targets = command.Controllers;
  Known = command.Known;
  maintain();
}

void LinkPort::carryOut(const LinkDrop &command) {
  std::vector<LinkId> links;
  for (const auto &[link, peer] : Peers)
    if (peer.Role == ProcessRole::Controller && peer.Self.Vm == command.To)
      links.push_back(link);
  // A peer that went silent does not answer the closing either.
  for (const LinkId link : links) {
    Host.close(link);
    onClose(link);
  }
}

void LinkPort::send(LinkId link, const std::string &bytes) {
  Counters.add(ControlCounter::LinkMessagesSent);
  Counters.add(ControlCounter::LinkBytesSent, bytes.size());
  Host.send(link, bytes);
}

void LinkPort::onOpen(LinkId link) {
  send(link, encodeLinkMessage(LinkHello{Self, ProcessRole::Controller}));
}

void LinkPort::onMessage(LinkId link, const std::string &bytes) {
  Counters.add(ControlCounter::LinkMessagesReceived);
  Counters.add(ControlCounter::LinkBytesReceived, bytes.size());
  auto message = decodeLinkMessage(bytes);
  if (!message.ok()) {
    Counters.add(ControlCounter::LinkMessagesFaulty);
    return Host.close(link);
  }
  if (const auto *hello = std::get_if<LinkHello>(&*message))
    if (!greet(link, *hello))
      return Host.close(link);
  const auto it = Peers.find(link);
  if (it == Peers.end())
    return Host.close(link);
  const bool isHello = std::holds_alternative<LinkHello>(*message);
  // A lost hello would leave a link that the decisions do not know.
  if (Events.push(LinkReceived{it->second, *std::move(message)}))
    return;
  Counters.add(ControlCounter::RingFull);
  if (isHello)
    Host.close(link);
}

/// Admits a link.
/// @return false when the link is to be closed
bool LinkPort::greet(LinkId link, const LinkHello &hello) {
  const bool isController = hello.Role == ProcessRole::Controller;
  if (isController && hello.Self.Vm == Self.Vm)
    return false;
  const auto accepted = std::ranges::count_if(
      Peers | std::views::keys, [&](LinkId id) { return !isOpenedHere(id); });
  if (!isOpenedHere(link) && hello.Self.Vm != Self.Vm &&
      static_cast<std::size_t>(accepted) >= AcceptedLinksLimit)
    return false;
  Peers[link] = hello;
  if (!isController)
    return true;
  if (const auto it = Demands.find(hello.Self.Vm); it != Demands.end())
    for (const std::string &bytes : std::exchange(it->second.Messages, {}))
      send(link, bytes);
  closeSurplus(hello.Self.Vm);
  return true;
}

/// Both sides may have opened a link; the opener of the surplus closes it.
void LinkPort::closeSurplus(const VmId &vm) {
  const auto own = Opening.find(vm);
  if (own == Opening.end() || !Peers.contains(own->second) || Self.Vm < vm)
    return;
  const LinkHello &peer = Peers.at(own->second);
  const bool isSurplus = std::ranges::any_of(Peers, [&](const auto &entry) {
    return entry.first != own->second &&
           entry.second.Role == ProcessRole::Controller &&
           entry.second.Self == peer.Self;
  });
  if (isSurplus)
    Host.close(own->second);
}

void LinkPort::onClose(LinkId link) {
  std::erase_if(Opening,
                [link](const auto &entry) { return entry.second == link; });
  const auto it = Peers.find(link);
  if (it == Peers.end())
    return;
  Counters.add(ControlCounter::LinksLost);
  const LinkHello peer = it->second;
  Peers.erase(it);
  const bool hasOther =
      peer.Role == ProcessRole::Controller && linkTo(peer.Self.Vm).has_value();
  if (!hasOther)
    Events.push(LinkLost{peer});
}

bool LinkPort::isOpenedHere(LinkId link) const {
  return std::ranges::any_of(
      Opening, [link](const auto &entry) { return entry.second == link; });
}

/// @return the newest link to this controller
std::optional<LinkId> LinkPort::linkTo(const VmId &vm) const {
  for (const auto &[link, peer] : Peers | std::views::reverse)
    if (peer.Role == ProcessRole::Controller && peer.Self.Vm == vm)
      return link;
  return std::nullopt;
}

void LinkPort::demand(const VmId &vm, const std::string &bytes) {
  if (vm == Self.Vm || !Known.contains(vm) ||
      (!Demands.contains(vm) && Demands.size() >= DemandedLinksLimit))
    return;
  Demand &demand = Demands[vm];
  demand.Until = readClock() + DemandIdle;
  if (demand.Messages.size() < DemandMessages)
    demand.Messages.push_back(bytes);
  connect(vm, Known.at(vm));
}

/// Opens links that are missing and closes those no longer wanted.
void LinkPort::maintain() {
  const Time now = readClock();
  std::erase_if(Demands,
                [&](const auto &entry) { return now >= entry.second.Until; });
  for (const auto &[vm, endpoint] : Targets)
    connect(vm, endpoint);
  std::vector<LinkId> unwanted;
  for (const auto &[vm, link] : Opening)
    if (!Targets.contains(vm) && !Demands.contains(vm))
      unwanted.push_back(link);
  for (const LinkId link : unwanted)
    Host.close(link);
}

void LinkPort::connect(const VmId &vm, const Endpoint &endpoint) {
  if (!Opening.contains(vm) && !linkTo(vm))
    Opening[vm] = Host.connect(endpoint.Address, endpoint.Port);
}

} // namespace waxwing
