/**
 * @file controller_link.cpp
 * Keeps one link to a controller open.
 */
#include "router/controller_link.h"

#include "link/link_message_func.h"

#include <spdlog/spdlog.h>

namespace waxwing {
namespace {

constexpr Duration ReconnectPeriod = milliseconds(200);
/// A controller sends a heartbeat each second; a link that is silent for
/// longer than this is given up.
constexpr Duration SilenceLimit = seconds(3);
/// Between attempts to return to the VM's own controller.
constexpr Duration OwnTrialPeriod = seconds(2);

} // namespace

ControllerLink::ControllerLink(RecordMember self, Endpoint controller,
                               std::function<void()> wakeDecisions)
    : Self(std::move(self)), Controllers{std::move(controller)},
      Messages(LinkRingCapacity, std::move(wakeDecisions)),
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
  // Whoever sends repeats what stays without an answer.
  Outgoing.push(std::move(message));
}

void ControllerLink::stop() { Io.stop(); }

void ControllerLink::maintain() {
  if (Link && readClock() >= Link->HeardAt + SilenceLimit) {
    const LinkId silent = Link->Id;
    Host->close(silent);
    onClose(silent); // a silent peer does not answer the closing
  }
  if (!Link)
    connect();
  else if (!isOwn())
    tryOwn();
}

void ControllerLink::connect() {
  const Endpoint &endpoint = Controllers[Choice];
  Link = {Host->connect(endpoint.Address, endpoint.Port), readClock(), false};
}

void ControllerLink::tryOwn() {
  if (readClock() < NextTrial)
    return;
  NextTrial = readClock() + OwnTrialPeriod;
  if (OwnTrial)
    Host->close(*OwnTrial);
  OwnTrial = Host->connect(Controllers[0].Address, Controllers[0].Port);
}

void ControllerLink::onOpen(LinkId id) {
  if (OwnTrial == id) {
    spdlog::info("links to its own controller again");
    OwnTrial.reset();
    if (Link)
      Host->close(std::exchange(Link, std::nullopt)->Id);
    Choice = 0;
    Link = {id, readClock(), false};
  }
  if (!Link || Link->Id != id)
    return Host->close(id);
  Link->IsOpen = true;
  Link->HeardAt = readClock();
  Host->send(id, encodeLinkMessage(LinkHello{Self, ProcessRole::Router}));
}

void ControllerLink::onClose(LinkId id) {
  if (OwnTrial == id)
    OwnTrial.reset();
  if (!Link || Link->Id != id)
    return;
  const bool hasStood = Link->IsOpen;
  Choice = (Choice + 1) % Controllers.size();
  NextTrial = readClock() + OwnTrialPeriod;
  if (Choice != 0)
    spdlog::info("links to controller {} instead of its own",
                 formatEndpoint(Controllers[Choice]));
  Link.reset();
  // Those that refuse are tried in turn at the pace of maintain().
  if (hasStood)
    connect();
}

void ControllerLink::onMessage(LinkId id, const std::string &bytes) {
  if (!Link || Link->Id != id)
    return;
  Link->HeardAt = readClock();
  auto message = decodeLinkMessage(bytes);
  if (!message.ok())
    return;
  if (const auto *envelope = std::get_if<MembershipEnvelope>(&*message)) {
    if (const auto *update = std::get_if<MembersUpdate>(&envelope->Message))
      takeControllers(*update);
    return;
  }
  // A message that finds the ring full is sent again after a reconnect.
  if (!Messages.push(*std::move(message)))
    Host->close(id);
}

/// Keeps the last ones named while there are none.
void ControllerLink::takeControllers(const MembersUpdate &update) {
  if (update.Entries.empty() || !isOwn())
    return;
  Controllers.resize(1);
  for (const MemberEntry &it : update.Entries)
    Controllers.push_back(it.Link);
}

} // namespace waxwing
