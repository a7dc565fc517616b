/**
 * @file link_port.h
 * The duty that keeps links to routers and other controllers.
 */
#ifndef WAXWING_CONTROLLER_LINK_PORT_H
#define WAXWING_CONTROLLER_LINK_PORT_H

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

/// Send to one controller, or to every router or controller linked.
struct LinkSend {
  std::optional<VmId> To;              ///< a controller
  std::optional<ProcessRole> Everyone; ///< all links of this role
  LinkMessage Message;
  bool OpensLink = true; ///< a link to To is opened when there is none
};

/// Keep links open to these controllers.
struct LinkTargets {
  std::map<VmId, Endpoint> Controllers;
  std::map<VmId, Endpoint> Known; ///< all addresses, for links on demand
};

/// Close all links to this controller.
struct LinkDrop {
  VmId To;
};

using LinkCommand = std::variant<LinkSend, LinkTargets, LinkDrop>;

/// A message with its sender.
struct LinkReceived {
  LinkHello From;
  LinkMessage Message; ///< the hello itself when the link has just opened
};

/// A link of a known process is gone.
struct LinkLost {
  LinkHello From;
};

using LinkEvent = std::variant<LinkReceived, LinkLost>;

constexpr std::size_t LinkPortRingCapacity = 8192;

/// Links from other VMs' processes that one controller takes.
constexpr std::size_t AcceptedLinksLimit = 64;
/// Links on demand that one controller opens.
constexpr std::size_t DemandedLinksLimit = 64;

/// Used on its own thread, but for commands().
/// Invariant: at most one link to a controller is used; of two that were
/// opened from both sides, the one that the smaller VM id opened remains.
class LinkPort {
public:
  /// @param counters outlives this object
  LinkPort(RecordMember self, ControlCounters &counters,
           std::function<void()> wakeDecisions);
  ~LinkPort();

  absl::Status listen(const Endpoint &endpoint);
  /// Filled by the decisions.
  BoundedRing<LinkCommand> &commands() { return Commands; }
  /// Consumed by the decisions.
  BoundedRing<LinkEvent> &events() { return Events; }
  void stop();

private:
  void carryOut(const LinkSend &command);
  void carryOut(const LinkTargets &command);
  void carryOut(const LinkDrop &command);
  /// A link that was asked for by a message.
  struct Demand {
    Time Until;                        ///< closed when idle until then
    std::vector<std::string> Messages; ///< wait for the hello
  };

  void send(LinkId link, const std::string &bytes);
  void onOpen(LinkId link);
  void onMessage(LinkId link, const std::string &bytes);
  void onClose(LinkId link);
  bool greet(LinkId link, const LinkHello &hello);
  void closeSurplus(const VmId &vm);
  void demand(const VmId &vm, const std::string &bytes);
  std::optional<LinkId> linkTo(const VmId &vm) const;
  bool isOpenedHere(LinkId link) const;
  void maintain();
  void connect(const VmId &vm, const Endpoint &endpoint);

  ControlCounters &Counters;
  IoThread Io{"links"};
  RecordMember Self;
  LinkHost Host;
  BoundedRing<LinkCommand> Commands;
  BoundedRing<LinkEvent> Events;
  std::map<VmId, Endpoint> Targets;
  std::map<VmId, Endpoint> Known;
  std::map<VmId, Demand> Demands;
  std::map<VmId, LinkId> Opening; ///< links that this side opened
  std::map<LinkId, LinkHello> Peers;
};

} // namespace waxwing

#endif
