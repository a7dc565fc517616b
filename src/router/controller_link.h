/**
 * @file controller_link.h
 * The duty that hears from a controller: documents and owners.
 */
#ifndef WAXWING_ROUTER_CONTROLLER_LINK_H
#define WAXWING_ROUTER_CONTROLLER_LINK_H

#include "core/bounded_ring.h"
#include "link/link_message_type.h"
#include "net/io_thread.h"
#include "net/link.h"

#include <optional>

namespace waxwing {

/// Link messages that may wait for the decisions.
constexpr std::size_t LinkRingCapacity = 4096;

/// Used on its own thread, but for messages().
class ControllerLink {
public:
  /// @param self as told in the hello
  /// @param wakeDecisions called when messages wait
  ControllerLink(RecordMember self, Endpoint controller,
                 std::function<void()> wakeDecisions);
  ~ControllerLink();

  void start();
  /// Sends when the link is open; used by the decisions.
  void send(LinkMessage message);
  /// Consumed by the decisions.
  BoundedRing<LinkMessage> &messages() { return Messages; }
  void stop();

private:
  void connect();
  void onMessage(const std::string &bytes);

  IoThread Io{"control-link"};
  RecordMember Self;
  Endpoint Controller;
  BoundedRing<LinkMessage> Messages;
  BoundedRing<LinkMessage> Outgoing;
  std::optional<LinkHost> Host;
  std::optional<LinkId> Link; ///< opening or open
};

} // namespace waxwing

#endif
