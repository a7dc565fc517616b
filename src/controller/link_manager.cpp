/**
 * @file link_manager.cpp
 * Opens and accepts links, and exchanges hello messages on them.
 */
#include "controller/link_manager.h"

#include "link/link_message_func.h"

#include <algorithm>
#include <future>
#include <ranges>

namespace waxwing {
namespace {

constexpr Duration ReconnectPeriod = milliseconds(200);
/// An on-demand link is closed after this time without use.
constexpr Duration OnDemandIdleTimeout = seconds(10);
/// Maximum number of messages queued until an on-demand link is open.
constexpr std::size_t OnDemandMessageLimit = 16;

} // namespace

LinkManager::LinkManager(RecordMember self, ControlCounters &counters,
                         std::function<void()> wakeDecisionThread)
    : Counters(counters), Self(std::move(self)),
      Host(Io.context(), {[this](LinkId id) { onOpen(id); },
                          [this](LinkId id, const std::string &bytes) {
                            onMessage(id, bytes);
                          },
                          [this](LinkId id) { onClose(id); }}),
      Commands(LinkRingCapacity,
               [this] {
                 Io.post([this] {
                   Commands.drain([this](LinkCommand &&command) {
                     std::visit([this](const auto &it) { execute(it); },
                                command);
                   });
                 });
               }),
      Events(LinkRingCapacity, std::move(wakeDecisionThread)) {
  Io.runEvery(ReconnectPeriod, [this] { maintain(); });
}

LinkManager::~LinkManager() { stop(); }

absl::Status LinkManager::listen(const Endpoint &endpoint) {
  std::promise<std::string> result;
  Io.post(
      [&] { result.set_value(Host.listen(endpoint.Address, endpoint.Port)); });
  const std::string error = result.get_future().get();
  if (error.empty())
    return absl::OkStatus();
  return absl::UnavailableError("cannot listen on " + formatEndpoint(endpoint) +
                                ": " + error);
}

void LinkManager::stop() { Io.stop(); }

void LinkManager::execute(const SendLinkMessage &command) {
  const std::string bytes = encodeLinkMessage(command.Message);
  if (command.ToRole)
    for (const auto &[link, peer] : Peers)
      if (peer.Role == *command.ToRole)
        send(link, bytes);
  if (!command.To)
    return;
  if (const auto it = OnDemandLinks.find(*command.To);
      it != OnDemandLinks.end() && command.OpensLinkOnDemand)
    it->second.IdleDeadline = readClock() + OnDemandIdleTimeout;
  if (const auto link = linkTo(*command.To))
    send(*link, bytes);
  else if (command.OpensLinkOnDemand)
    openLinkOnDemand(*command.To, bytes);
}

void LinkManager::execute(const UpdateLinkTargets &command) {
  Targets = command.Controllers;
  KnownAddresses = command.KnownAddresses;
  maintain();
}

void LinkManager::execute(const CloseControllerLinks &command) {
  std::vector<LinkId> links;
  for (const auto &[link, peer] : Peers)
    if (peer.Role == ProcessRole::Controller && peer.Self.Vm == command.To)
      links.push_back(link);
  // A peer that stopped responding does not confirm the close, so the link is
  // removed here.
  for (const LinkId link : links) {
    Host.close(link);
    onClose(link);
  }
}

void LinkManager::send(LinkId link, const std::string &bytes) {
  Counters.add(ControlCounter::LinkMessagesSent);
  Counters.add(ControlCounter::LinkBytesSent, bytes.size());
  Host.send(link, bytes);
}

void LinkManager::onOpen(LinkId link) {
  send(link, encodeLinkMessage(LinkHello{Self, ProcessRole::Controller}));
}

void LinkManager::onMessage(LinkId link, const std::string &bytes) {
  Counters.add(ControlCounter::LinkMessagesReceived);
  Counters.add(ControlCounter::LinkBytesReceived, bytes.size());
  auto message = decodeLinkMessage(bytes);
  if (!message.ok()) {
    Counters.add(ControlCounter::LinkMessagesFaulty);
    return Host.close(link);
  }
  if (const auto *hello = std::get_if<LinkHello>(&*message))
    if (!acceptHello(link, *hello))
      return Host.close(link);
  const auto it = Peers.find(link);
  if (it == Peers.end())
    return Host.close(link);
  const bool isHello = std::holds_alternative<LinkHello>(*message);
  // If the event ring is full, other messages are dropped. After a dropped
  // hello the decision thread would not know the link, so the link is closed
  // and opened again.
  if (Events.push(LinkMessageReceived{it->second, *std::move(message)}))
    return;
  Counters.add(ControlCounter::RingFull);
  if (isHello)
    Host.close(link);
}

/// Registers the peer of a link by its hello.
/// @return false if the link must be closed
bool LinkManager::acceptHello(LinkId link, const LinkHello &hello) {
  const bool isController = hello.Role == ProcessRole::Controller;
  if (isController && hello.Self.Vm == Self.Vm)
    return false;
  const auto accepted =
      std::ranges::count_if(Peers | std::views::keys,
                            [&](LinkId id) { return !isOpenedLocally(id); });
  if (!isOpenedLocally(link) && hello.Self.Vm != Self.Vm &&
      static_cast<std::size_t>(accepted) >= AcceptedLinkLimit)
    return false;
  Peers[link] = hello;
  if (!isController)
    return true;
  if (const auto it = OnDemandLinks.find(hello.Self.Vm);
      it != OnDemandLinks.end())
    for (const std::string &bytes :
         std::exchange(it->second.QueuedMessages, {}))
      send(link, bytes);
  closeDuplicateLink(hello.Self.Vm);
  return true;
}

/// If both sides opened a link, the side with the greater VM id closes its own.
void LinkManager::closeDuplicateLink(const VmId &vm) {
  const auto own = LocallyOpenedLinks.find(vm);
  if (own == LocallyOpenedLinks.end() || !Peers.contains(own->second) ||
      Self.Vm < vm)
    return;
  const LinkHello &peer = Peers.at(own->second);
  const bool isDuplicate = std::ranges::any_of(Peers, [&](const auto &entry) {
    return entry.first != own->second &&
           entry.second.Role == ProcessRole::Controller &&
           entry.second.Self == peer.Self;
  });
  if (isDuplicate)
    Host.close(own->second);
}

void LinkManager::onClose(LinkId link) {
  std::erase_if(LocallyOpenedLinks,
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

bool LinkManager::isOpenedLocally(LinkId link) const {
  return std::ranges::any_of(LocallyOpenedLinks, [link](const auto &entry) {
    return entry.second == link;
  });
}

/// @return the newest link to the controller on @p vm
std::optional<LinkId> LinkManager::linkTo(const VmId &vm) const {
  for (const auto &[link, peer] : Peers | std::views::reverse)
    if (peer.Role == ProcessRole::Controller && peer.Self.Vm == vm)
      return link;
  return std::nullopt;
}

void LinkManager::openLinkOnDemand(const VmId &vm, const std::string &bytes) {
  if (vm == Self.Vm || !KnownAddresses.contains(vm) ||
      (!OnDemandLinks.contains(vm) &&
       OnDemandLinks.size() >= OnDemandLinkLimit))
    return;
  OnDemandLink &link = OnDemandLinks[vm];
  link.IdleDeadline = readClock() + OnDemandIdleTimeout;
  if (link.QueuedMessages.size() < OnDemandMessageLimit)
    link.QueuedMessages.push_back(bytes);
  connect(vm, KnownAddresses.at(vm));
}

/// Opens missing links and closes links that are no longer needed.
void LinkManager::maintain() {
  const Time now = readClock();
  std::erase_if(OnDemandLinks, [&](const auto &entry) {
    return now >= entry.second.IdleDeadline;
  });
  for (const auto &[vm, endpoint] : Targets)
    connect(vm, endpoint);
  std::vector<LinkId> unwanted;
  for (const auto &[vm, link] : LocallyOpenedLinks)
    if (!Targets.contains(vm) && !OnDemandLinks.contains(vm))
      unwanted.push_back(link);
  for (const LinkId link : unwanted)
    Host.close(link);
}

void LinkManager::connect(const VmId &vm, const Endpoint &endpoint) {
  if (!LocallyOpenedLinks.contains(vm) && !linkTo(vm))
    LocallyOpenedLinks[vm] = Host.connect(endpoint.Address, endpoint.Port);
}

} // namespace waxwing
