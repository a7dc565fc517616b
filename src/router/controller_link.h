/**
 * @file controller_link.h
 * Link to a controller, which provides documents, key owners and homes, on its
 * own thread.
 */
#ifndef WAXWING_ROUTER_CONTROLLER_LINK_H
#define WAXWING_ROUTER_CONTROLLER_LINK_H

#include "core/bounded_ring.h"
#include "link/link_message_type.h"
#include "net/io_thread.h"
#include "net/link.h"

#include <optional>
#include <vector>

namespace waxwing {

/// Capacity of the rings of incoming and outgoing link messages.
constexpr std::size_t LinkRingCapacity = 4096;

/// Connects to the VM's local controller or, while that is unreachable, to a
/// fallback controller, which the local one announced. Runs on its own thread;
/// only messages() and send() may be used from the decision thread.
class ControllerLink {
public:
  /// @param self identity sent in the hello
  /// @param wakeDecisionThread called after a message was pushed to messages()
  ControllerLink(RecordMember self, Endpoint controller,
                 std::function<void()> wakeDecisionThread);
  ~ControllerLink();

  void start();
  /// Sends a message if the link is open. Called by the decision thread.
  void send(LinkMessage message);
  /// Consumed by the decision thread.
  BoundedRing<LinkMessage> &messages() { return Messages; }
  void stop();

private:
  /// A link that is being opened or is open.
  struct LinkState {
    LinkId Id = 0;
    Time LastReceivedAt; ///< time of the last message, or of the connection
                         ///< attempt
    bool IsOpen = false;
  };

  void maintain();
  void connect();
  void tryLocalController();
  void onOpen(LinkId id);
  void onMessage(LinkId id, const std::string &bytes);
  void onClose(LinkId id);
  void updateControllers(const MembersUpdate &update);
  bool isLinkedToLocal() const { return ControllerIndex == 0; }

  IoThread Io{"control-link"};
  RecordMember Self;
  std::vector<Endpoint> Controllers; ///< local one first, then fallbacks
  std::size_t ControllerIndex = 0; ///< index in Controllers of the peer of Link
  BoundedRing<LinkMessage> Messages;
  BoundedRing<LinkMessage> Outgoing;
  std::optional<LinkHost> Host;
  std::optional<LinkState> Link;
  std::optional<LinkId> LocalAttempt; ///< connection attempt to the local
                                      ///< controller while Link uses a fallback
  Time NextLocalAttempt;
};

} // namespace waxwing

#endif
