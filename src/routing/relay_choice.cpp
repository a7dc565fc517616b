/**
 * @file relay_choice.cpp
 * Two random choices spread the requests of many VMs that don't know of each
 * other's.
 */
#include "routing/relay_choice.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Pause after a connection failed: an attempt to connect lasts 0.4 s.
constexpr Duration UnreachableBackoff = milliseconds(1000);
/// Pause after a VM said that it cannot serve; the list of VMs tells how it
/// goes on with it.
constexpr Duration UnableBackoff = milliseconds(500);
/// Cost of a VM in another failure domain, relative to one in the own domain.
constexpr double OtherDomainCost = 1.2;
constexpr double MinCpuCores = 0.01;

} // namespace

void RelayPeers::setVms(const std::vector<VmInfo> &vms) {
  std::map<VmId, Peer> former = std::exchange(Peers, {});
  for (const VmInfo &vm : vms) {
    if (vm.Vm.Vm == Self)
      continue;
    Peer &peer = Peers[vm.Vm.Vm];
    if (const auto it = former.find(vm.Vm.Vm); it != former.end())
      peer = it->second;
    // A VM at a new address, or with links anew, is another one than failed.
    if (peer.Info.Address != vm.Address || peer.Info.HasLinks < vm.HasLinks)
      peer.BackoffUntil = Time();
    peer.Info = vm;
  }
}

bool RelayPeers::isUsable(const Peer &peer, Time now) {
  return peer.Info.HasLinks && peer.Info.Address.Port != 0 &&
         now >= peer.BackoffUntil;
}

double RelayPeers::cost(const Peer &peer) const {
  return (peer.Outstanding + 1) / std::max(peer.Info.Vm.CpuCores, MinCpuCores) *
         (peer.Info.Vm.Domain == OwnDomain ? 1 : OtherDomainCost);
}

std::optional<RelayTarget> RelayPeers::choose(const std::set<VmId> &tried,
                                              double first, double second,
                                              Time now) const {
  std::vector<const Peer *> usable;
  double cores = 0;
  for (const auto &[vm, peer] : Peers) {
    if (!isUsable(peer, now) || tried.contains(vm))
      continue;
    usable.push_back(&peer);
    cores += std::max(peer.Info.Vm.CpuCores, MinCpuCores);
  }
  if (usable.empty())
    return std::nullopt;
  const auto draw = [&](double fraction) {
    double rest = fraction * cores;
    const auto it = std::ranges::find_if(usable, [&](const Peer *peer) {
      rest -= std::max(peer->Info.Vm.CpuCores, MinCpuCores);
      return rest < 0;
    });
    return it == usable.end() ? usable.back() : *it;
  };
  const Peer *best = std::min(draw(first), draw(second),
                              [&](const Peer *one, const Peer *other) {
                                return cost(*one) < cost(*other);
                              });
  return RelayTarget{best->Info.Vm.Vm, best->Info.Address};
}

void RelayPeers::onSent(const VmId &vm) {
  if (const auto it = Peers.find(vm); it != Peers.end())
    ++it->second.Outstanding;
}

void RelayPeers::onEnd(const VmId &vm, RelayOutcome outcome, Time now) {
  const auto it = Peers.find(vm);
  if (it == Peers.end())
    return;
  Peer &peer = it->second;
  peer.Outstanding = std::max(peer.Outstanding - 1, 0);
  switch (outcome) {
  case RelayOutcome::Working:
    peer.LastResponseAt = now;
    break;
  case RelayOutcome::Cancelled:
    break;
  case RelayOutcome::Unable:
    peer.BackoffUntil = std::max(peer.BackoffUntil, now + UnableBackoff);
    break;
  case RelayOutcome::Unreachable:
    peer.BackoffUntil = std::max(peer.BackoffUntil, now + UnreachableBackoff);
    break;
  }
}

void RelayPeers::onTimeout(const VmId &vm, Time sentAt, Time now) {
  const auto it = Peers.find(vm);
  const bool isSilent = it != Peers.end() && it->second.LastResponseAt < sentAt;
  onEnd(vm, isSilent ? RelayOutcome::Unreachable : RelayOutcome::Cancelled,
        now);
}

} // namespace waxwing
