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
#include <vector>

namespace waxwing {

/// Link messages that may wait for the decisions.
constexpr std::size_t LinkRingCapacity = 4096;

/// Links to the VM's own controller; while that is gone, to one of those
/// that it named. Used on its own thread, but for messages().
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
  /// One link that is opening or open.
  struct LinkData {
    LinkId Id = 0;
    Time HeardAt; ///< or when its opening began
    bool IsOpen = false;
  };

  void maintain();
  void connect();
  void tryOwn();
  void onOpen(LinkId id);
  void onMessage(LinkId id, const std::string &bytes);
  void onClose(LinkId id);
  void takeControllers(const MembersUpdate &update);
  bool isOwn() const { return Choice == 0; }

  IoThread Io{"control-link"};
  RecordMember Self;
  std::vector<Endpoint> Controllers; ///< the own one first
  std::size_t Choice = 0;            ///< of Controllers, that Link goes to
  BoundedRing<LinkMessage> Messages;
  BoundedRing<LinkMessage> Outgoing;
  std::optional<LinkHost> Host;
  std::optional<LinkData> Link;
  std::optional<LinkId> OwnTrial; ///< opening, while Link goes elsewhere
  Time NextTrial;
};

} // namespace waxwing

#endif
