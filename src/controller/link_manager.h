/**
 * @file link_manager.h
 * Manages the links to routers and other controllers, on its own thread.
 */
#ifndef WAXWING_CONTROLLER_LINK_MANAGER_H
#define WAXWING_CONTROLLER_LINK_MANAGER_H

#include "core/bounded_ring.h"
#include "link/link_message_type.h"
#include "metrics/control_counters.h"
#include "net/io_thread.h"
#include "net/link.h"

#include <absl/status/status.h>
#include <map>
#include <optional>
#include <set>

namespace waxwing {

/// Sends a message to one controller, or to all connected processes of a role.
struct SendLinkMessage {
  std::optional<VmId> To;            ///< receiving controller
  std::optional<ProcessRole> ToRole; ///< all processes of this role
  LinkMessage Message;
  bool OpensLinkOnDemand = true; ///< opens a link if there is none to To
};

/// Sets the controllers to which links are kept open.
struct UpdateLinkTargets {
  std::map<VmId, Endpoint> Controllers;
  /// Addresses of all known controllers, used to open on-demand links.
  std::map<VmId, Endpoint> KnownAddresses;
};

/// Closes all links to a controller.
struct CloseControllerLinks {
  VmId To;
};

using LinkCommand =
    std::variant<SendLinkMessage, UpdateLinkTargets, CloseControllerLinks>;

/// A message received from a connected process.
struct LinkMessageReceived {
  LinkHello From;
  LinkMessage Message; ///< the hello itself if the link has just been opened
};

/// A link to a router, or the last link to a controller, was closed.
struct LinkLost {
  LinkHello From;
};

using LinkEvent = std::variant<LinkMessageReceived, LinkLost>;

/// Capacity of the command ring and of the event ring.
constexpr std::size_t LinkRingCapacity = 8192;

/// Maximum number of links accepted from processes on other VMs.
constexpr std::size_t AcceptedLinkLimit = 64;
/// Maximum number of on-demand links, which a controller opens in order to send
/// messages to controllers that are not in UpdateLinkTargets::Controllers.
constexpr std::size_t OnDemandLinkLimit = 64;

/// Accepts links from routers and controllers, and opens links to other
/// controllers and reopens lost ones. Runs on its own thread; only
/// commands() may be used from the decision thread.
/// Invariant: at most one link to a controller is used; if both sides opened
/// one, the link opened by the smaller VM id is kept.
class LinkManager {
public:
  /// @param counters must outlive this object
  LinkManager(RecordMember self, ControlCounters &counters,
              std::function<void()> wakeDecisionThread);
  ~LinkManager();

  absl::Status listen(const Endpoint &endpoint);
  /// Filled by the decision thread.
  BoundedRing<LinkCommand> &commands() { return Commands; }
  /// Consumed by the decision thread.
  BoundedRing<LinkEvent> &events() { return Events; }
  void stop();

private:
  void execute(const SendLinkMessage &command);
  void execute(const UpdateLinkTargets &command);
  void execute(const CloseControllerLinks &command);
  /// State of a link that was opened in order to send a message.
  struct OnDemandLink {
    Time IdleDeadline; ///< time at which the idle link is closed
    std::vector<std::string> QueuedMessages; ///< sent after the peer's hello
  };

  void send(LinkId link, const std::string &bytes);
  void onOpen(LinkId link);
  void onMessage(LinkId link, const std::string &bytes);
  void onClose(LinkId link);
  bool acceptHello(LinkId link, const LinkHello &hello);
  void closeDuplicateLink(const VmId &vm);
  void openLinkOnDemand(const VmId &vm, const std::string &bytes);
  std::optional<LinkId> linkTo(const VmId &vm) const;
  bool isOpenedLocally(LinkId link) const;
  void maintain();
  void connect(const VmId &vm, const Endpoint &endpoint);

  ControlCounters &Counters;
  IoThread Io{"links"};
  RecordMember Self;
  LinkHost Host;
  BoundedRing<LinkCommand> Commands;
  BoundedRing<LinkEvent> Events;
  std::map<VmId, Endpoint> Targets;
  std::map<VmId, Endpoint> KnownAddresses;
  std::map<VmId, OnDemandLink> OnDemandLinks;
  std::map<VmId, LinkId> LocallyOpenedLinks; ///< links opened here, by peer
  std::map<LinkId, LinkHello> Peers;         ///< links whose hello was received
};

} // namespace waxwing

#endif
