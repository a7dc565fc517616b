/**
 * @file relay_choice.h
 * Choice of the VM to which a VM without links to the upstreams passes a
 * request. What the leader tells of the other VMs may be a second old; the
 * outcomes of requests passed to them correct it.
 */
#ifndef WAXWING_ROUTING_RELAY_CHOICE_H
#define WAXWING_ROUTING_RELAY_CHOICE_H

#include "peers/peer_message_type.h"

#include <map>
#include <set>
#include <vector>

namespace waxwing {

/// What the outcome of a relayed request says about the VM it was passed to.
enum class RelayOutcome : std::uint8_t {
  Working,     ///< it dealt with the request, or refused this one
  Unable,      ///< it has no links, no configuration, or is shutting down
  Unreachable, ///< the connection to it failed
  Cancelled,   ///< nothing: the request was withdrawn
};

/// Another VM, as a target of relayed requests.
struct RelayTarget {
  VmId Vm;
  Endpoint Address;
};

/// The other VMs, and how this VM's requests fared at them.
class RelayPeers {
public:
  RelayPeers(VmId self, DomainId ownDomain)
      : Self(std::move(self)), OwnDomain(std::move(ownDomain)) {}

  /// Replaces the list of VMs; the state of those that stay is kept.
  void setVms(const std::vector<VmInfo> &vms);
  /// @param tried VMs that already had the request
  /// @param first,second random fractions in [0, 1)
  /// @return the better one of two random VMs that have links, or nullopt if
  ///   there is none. VMs with more processor cores are drawn more often.
  std::optional<RelayTarget> choose(const std::set<VmId> &tried, double first,
                                    double second, Time now) const;
  /// Counts a request that is passed to @p vm.
  void onSent(const VmId &vm);
  /// Each call of onSent() is followed by one call of this.
  void onEnd(const VmId &vm, RelayOutcome outcome, Time now);
  /// The same for a request that was sent at @p sentAt and timed out. A VM that
  /// has responded to no request since then is frozen or overloaded.
  void onTimeout(const VmId &vm, Time sentAt, Time now);

private:
  struct Peer {
    VmInfo Info;
    int Outstanding = 0; ///< requests passed to it that have no outcome yet
    Time BackoffUntil;   ///< it gets no requests before this time
    Time LastResponseAt; ///< end of the last request that it dealt with
  };

  static bool isUsable(const Peer &peer, Time now);
  /// @return relative load that one more request makes for the VM
  double cost(const Peer &peer) const;

  VmId Self;
  DomainId OwnDomain;
  std::map<VmId, Peer> Peers; ///< without this VM
};

} // namespace waxwing

#endif
