/**
 * @file controller_link.cpp
 * Keeps one link to a controller open.
 */
#include "router/controller_link.h"

#include "link/link_message_func.h"

namespace waxwing {
namespace {

constexpr Duration ReconnectPeriod = milliseconds(200);

} // namespace

ControllerLink::ControllerLink(RecordMember self, Endpoint controller,
                               std::function<void()> wakeDecisions)
    : Self(std::move(self)), Controller(std::move(controller)),
      Messages(LinkRingCapacity, std::move(wakeDecisions)),
      Outgoing(LinkRingCapacity, [this] {
        Io.post([this] {
          Outgoing.drain([this](LinkMessage &&it) {
            if (Link)
              Host->send(*Link, encodeLinkMessage(it));
          });
        });
      }) {}

ControllerLink::~ControllerLink() { stop(); }

void ControllerLink::start() {
  Io.post([this] {
    Host.emplace(Io.context(),
                 LinkHandlers{[this](LinkId id) {
                                Host->send(id, encodeLinkMessage(LinkHello{
                                                   Self, ProcessRole::Router}));
                              },
                              [this](LinkId, const std::string &bytes) {
                                onMessage(bytes);
                              },
                              [this](LinkId) { Link.reset(); }});
    connect();
  });
  Io.runEvery(ReconnectPeriod, [this] { connect(); });
}

void ControllerLink::send(LinkMessage message) {
  // Whoever sends repeats what stays without an answer.
  Outgoing.push(std::move(message));
}

void ControllerLink::stop() { Io.stop(); }

void ControllerLink::connect() {
  if (!Link)
    Link = Host->connect(Controller.Address, Controller.Port);
}

void ControllerLink::onMessage(const std::string &bytes) {
  auto message = decodeLinkMessage(bytes);
  // A message that finds the ring full is sent again after a reconnect.
  if (message.ok() && !Messages.push(*std::move(message)) && Link)
    Host->close(*Link);
}

} // namespace waxwing
