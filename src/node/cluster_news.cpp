/**
 * @file cluster_news.cpp
 * News that go from VM to VM, and between a VM and its parent when the digest
 * in a hello shows that one of them lacks some.
 */
#include "node/cluster.h"
#include "peers/news_targets.h"

#include <algorithm>

namespace waxwing {

using boost::asio::ip::udp;

bool Cluster::isKnownVm(const udp::endpoint &sender) const {
  return std::ranges::any_of(
      List.Vms, [&](const VmInfo &vm) { return toUdp(vm.Address) == sender; });
}

void Cluster::sendNews(const CrashNews &news, const Endpoint &source) {
  for (const Endpoint &target :
       chooseNewsTargets(List.Vms, Self.Vm, source, Random))
    sendTo(toUdp(target), PeerCrashNews{news, false});
}

void Cluster::askForPermit(const VmId &vm, const PeerPermitAsk &ask) {
  const auto target = std::ranges::find(
      List.Vms, vm, [](const VmInfo &info) { return info.Vm.Vm; });
  if (target != List.Vms.end())
    sendTo(toUdp(target->Address), ask);
}

void Cluster::onLimitsChanged() { OwnLeadership.onUpstreamsChanged(); }

void Cluster::spread(const CrashNews &news) { sendNews(news, {}); }

void Cluster::onCrashNews(const PeerCrashNews &message,
                          const udp::endpoint &sender) {
  const Time now = bootNow();
  const CrashNews fresh = Crashes.merge(message.News, now);
  if (!message.IsComplete) {
    if (!fresh.isEmpty())
      sendNews(fresh, {sender.address().to_string(), sender.port()});
    return;
  }
  const CrashNews own = Crashes.news(now);
  const bool isSenderLackingSome =
      own.Reports.size() > message.News.Reports.size() ||
      own.Suspects.size() > message.News.Suspects.size();
  if (isSenderLackingSome)
    sendTo(sender, PeerCrashNews{own, false});
}

} // namespace waxwing
