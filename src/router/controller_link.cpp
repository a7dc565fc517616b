/**
 * @file controller_link.cpp
 * Maintains one open link to a controller.
 */
#include "router/controller_link.h"

#include "link/link_message_func.h"

#include <spdlog/spdlog.h>

namespace waxwing {
namespace {

constexpr Duration ReconnectPeriod = milliseconds(200);
/// A link without messages for this long is closed; controllers send a
/// heartbeat each second.
constexpr Duration LinkSilenceTimeout = seconds(3);
/// Time between attempts to return to the local controller.
constexpr Duration LocalAttemptPeriod = seconds(2);

} // namespace

ControllerLink::ControllerLink(RecordMember self, Endpoint controller,
                               std::function<void()> wakeDecisionThread)
    : Self(std::move(self)), Controllers{std::move(controller)},
      Messages(LinkRingCapacity, std::move(wakeDecisionThread)),
      Outgoing(LinkRingCapacity, [this] {
        Io.post([this] {
          Outgoing.drain([this](LinkMessage &&it) {
            if (Link && Link->IsOpen)
              Host->send(Link->Id, encodeLinkMessage(it));
          });
        });
      }) {}

ControllerLink::~ControllerLink() { stop(); }

void ControllerLink::start() {
  Io.post([this] {
    Host.emplace(Io.context(),
                 LinkHandlers{[this](LinkId id) { onOpen(id); },
                              [this](LinkId id, const std::string &bytes) {
                                onMessage(id, bytes);
                              },
                              [this](LinkId id) { onClose(id); }});
    maintain();
  });
  Io.runEvery(ReconnectPeriod, [this] { maintain(); });
}

void ControllerLink::send(LinkMessage message) {
  // If the ring is full the message is dropped; senders retry when no response
  // arrives.
  Outgoing.push(std::move(message));
}

void ControllerLink::stop() { Io.stop(); }

void ControllerLink::maintain() {
  if (Link && readClock() >= Link->LastReceivedAt + LinkSilenceTimeout) {
    const LinkId silent = Link->Id;
    Host->close(silent);
    onClose(
        silent); // a peer that stopped responding does not confirm the close
  }
  if (!Link)
    connect();
  else if (!isLinkedToLocal())
    tryLocalController();
}

void ControllerLink::connect() {
  const Endpoint &endpoint = Controllers[ControllerIndex];
  Link = {Host->connect(endpoint.Address, endpoint.Port), readClock(), false};
}

void ControllerLink::tryLocalController() {
  if (readClock() < NextLocalAttempt)
    return;
  NextLocalAttempt = readClock() + LocalAttemptPeriod;
  if (LocalAttempt)
    Host->close(*LocalAttempt);
  LocalAttempt = Host->connect(Controllers[0].Address, Controllers[0].Port);
}

void ControllerLink::onOpen(LinkId id) {
  if (LocalAttempt == id) {
    spdlog::info("connected to the local controller again");
    LocalAttempt.reset();
    if (Link)
      Host->close(std::exchange(Link, std::nullopt)->Id);
    ControllerIndex = 0;
    Link = {id, readClock(), false};
  }
  if (!Link || Link->Id != id)
    return Host->close(id);
  Link->IsOpen = true;
  Link->LastReceivedAt = readClock();
  Host->send(id, encodeLinkMessage(LinkHello{Self, ProcessRole::Router}));
}

void ControllerLink::onClose(LinkId id) {
  if (LocalAttempt == id)
    LocalAttempt.reset();
  if (!Link || Link->Id != id)
    return;
  const bool wasOpen = Link->IsOpen;
  ControllerIndex = (ControllerIndex + 1) % Controllers.size();
  NextLocalAttempt = readClock() + LocalAttemptPeriod;
  if (ControllerIndex != 0)
    spdlog::info("trying fallback controller {}",
                 formatEndpoint(Controllers[ControllerIndex]));
  Link.reset();
  // If the link had not been open, maintain() tries the next controller, which
  // limits the rate of connection attempts.
  if (wasOpen)
    connect();
}

void ControllerLink::onMessage(LinkId id, const std::string &bytes) {
  if (!Link || Link->Id != id)
    return;
  Link->LastReceivedAt = readClock();
  auto message = decodeLinkMessage(bytes);
  if (!message.ok())
    return;
  if (const auto *envelope = std::get_if<MembershipEnvelope>(&*message)) {
    if (const auto *update = std::get_if<MembersUpdate>(&envelope->Message))
      updateControllers(*update);
    return;
  }
  // If the ring is full, the link is closed; the controller sends its state
  // again after the reconnect.
  if (!Messages.push(*std::move(message)))
    Host->close(id);
}

/// Replaces the fallback controllers by those that the local controller
/// announced. Empty updates and updates from fallback controllers are ignored.
void ControllerLink::updateControllers(const MembersUpdate &update) {
  if (update.Entries.empty() || !isLinkedToLocal())
    return;
  Controllers.resize(1);
  for (const MemberEntry &it : update.Entries)
    Controllers.push_back(it.Link);
}

} // namespace waxwing
