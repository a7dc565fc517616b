/**
 * @file cluster_list.cpp
 * The leader's list of VMs, its successors and the readers; what a VM says of
 * itself.
 */
#include "node/cluster.h"

#include "node/node_log.h"

#include <algorithm>
#include <iterator>

namespace waxwing {
VmInfo Cluster::describe(const Peer &peer) const {
  return {peer.CandidateInfo,
          {peer.Address.address().to_string(), peer.Address.port()},
          peer.HasLinks};
}

VmInfo Cluster::describeSelf() const { return {Self, PeerAddress, HasLinks}; }

void Cluster::setLinksWorking(bool isWorking) {
  if (std::exchange(HasLinks, isWorking) == isWorking)
    return;
  logLine(LogPriority::StateChange, bootNow(), "links", "working={}",
          isWorking);
  if (!IsResigned)
    sendHello(bootNow());
}

/// Rebuilds the leader's VM list: itself, the VMs that sent a hello recently,
/// and those that report to a reader.
void Cluster::refreshVmList(Time now) {
  std::map<VmId, ReaderCandidate> vms;
  std::map<VmId, VmInfo> infos;
  for (const auto &[vm, peer] : Peers)
    if (peer.Report)
      for (const VmInfo &follower : peer.Report->Followers) {
        vms[follower.Vm.Vm] = {follower.Vm, false, true};
        infos[follower.Vm.Vm] = follower;
      }
  for (const auto &[vm, peer] : Peers) {
    const bool isFresh =
        now < peer.LastMessageAt + ReaderSuspicionTimeout &&
        (!peer.Report || peer.Report->StoreAge < Freshness.maxAge());
    vms[vm] = {peer.CandidateInfo, peer.Report.has_value(), isFresh};
    infos[vm] = describe(peer);
  }
  vms[Self.Vm] = {Self, false, true};
  infos[Self.Vm] = describeSelf();
  std::vector<Candidate> candidates;
  candidates.reserve(infos.size());
  std::set<VmId> withoutLinks;
  for (const auto &[vm, info] : infos) {
    candidates.push_back(info.Vm);
    if (!info.HasLinks)
      withoutLinks.insert(vm);
  }
  // VMs that the former leader knew have some time to report to this one.
  if (now < KeepFormerListUntil)
    for (const VmInfo &vm : List.Vms)
      infos.try_emplace(vm.Vm.Vm, vm);
  VmList list;
  for (const auto &[vm, info] : infos)
    list.Vms.push_back(info);
  list.Successors = chooseSuccessors(std::move(candidates), withoutLinks,
                                     Self.Vm, Leader.Term);
  if (list != List)
    setVmList(std::move(list));
  if (now < NextPlanAt)
    return;
  NextPlanAt = now + PlanInterval;
  vms.erase(Self.Vm);
  planReaders(vms);
}

/// Chooses the readers anew, and tells the VMs behind a reader that it is no
/// longer theirs. All others learn it with the reply to their next hello.
void Cluster::planReaders(const std::map<VmId, ReaderCandidate> &vms) {
  std::vector<ReaderCandidate> candidates;
  std::ranges::transform(vms, std::back_inserter(candidates),
                         [](const auto &entry) { return entry.second; });
  Plan.update(candidates);
  PeerReply reply;
  reply.Leader = Leader;
  for (const auto &[reader, peer] : Peers) {
    if (!peer.Report)
      continue;
    for (const VmInfo &follower : peer.Report->Followers) {
      reply.Assignment = assignmentFor(follower.Vm);
      if (reply.Assignment->Reader != reader)
        sendTo(toUdp(follower.Address), reply);
    }
  }
}

ReaderAssignment Cluster::assignmentFor(const Candidate &vm) const {
  ReaderAssignment assignment;
  assignment.IsReader = Plan.isReader(vm.Vm);
  const auto reader = Plan.readerFor(vm.Vm, vm.Domain);
  if (!reader)
    return assignment;
  const auto peer = Peers.find(*reader);
  // The VM follows the reader once that has reported itself as one.
  if (peer == Peers.end() || !peer->second.Report)
    return assignment;
  assignment.Reader = *reader;
  assignment.Address = {peer->second.Address.address().to_string(),
                        peer->second.Address.port()};
  return assignment;
}

void Cluster::setVmList(VmList list) {
  const bool isSameVms = list.Vms == List.Vms;
  List = std::move(list);
  logLine(LogPriority::StateChange, bootNow(), "vms",
          "count={} term={} next_leader={}", List.Vms.size(),
          counterOf(Leader.Term),
          List.Successors.empty()
              ? "-"
              : sanitizeForLog(List.Successors.front().Value));
  if (!isSameVms)
    OnVmListChanged(List.Vms);
}

} // namespace waxwing
