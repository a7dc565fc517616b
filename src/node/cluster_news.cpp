/**
 * @file cluster_news.cpp
 * News that go from VM to VM, and between a VM and its parent when the digest
 * in a hello shows that one of them lacks some.
 */
#include "node/cluster.h"
#include "peers/news_targets.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace waxwing {
namespace {

/// News gather for this time, so that one datagram carries those of one event.
constexpr Duration NewsBatchDelay = milliseconds(50);
/// Maximum number of reports, clearances and suspects in one datagram, each.
constexpr std::size_t MaxNewsItems = 256;

} // namespace

using boost::asio::ip::udp;

bool Cluster::isKnownVm(const udp::endpoint &sender) const {
  return std::ranges::any_of(
      List.Vms, [&](const VmInfo &vm) { return toUdp(vm.Address) == sender; });
}

void Cluster::sendPendingNews() {
  const CrashNews news = std::exchange(PendingNews, {});
  for (const Endpoint &target : chooseNewsTargets(List.Vms, Self.Vm, Random))
    sendTo(toUdp(target), PeerCrashNews{news, false});
}

void Cluster::askForPermit(const VmId &vm, const PeerPermitAsk &ask) {
  const auto target = std::ranges::find(
      List.Vms, vm, [](const VmInfo &info) { return info.Vm.Vm; });
  if (target != List.Vms.end())
    sendTo(toUdp(target->Address), ask);
}

void Cluster::onLimitsChanged() { OwnLeadership.onUpstreamsChanged(); }

void Cluster::spread(const CrashNews &news) {
  const auto append = [](auto &to, const auto &from) {
    const std::size_t room = MaxNewsItems - std::min(to.size(), MaxNewsItems);
    std::ranges::copy(from | std::views::take(room), std::back_inserter(to));
  };
  append(PendingNews.Reports, news.Reports);
  append(PendingNews.Clearances, news.Clearances);
  append(PendingNews.Suspects, news.Suspects);
  NewsTimer.scheduleBy(bootNow() + NewsBatchDelay);
}

void Cluster::onCrashNews(const PeerCrashNews &message,
                          const udp::endpoint &sender) {
  const Time now = bootNow();
  const CrashNews fresh = Crashes.merge(message.News, now);
  if (!message.IsComplete) {
    if (!fresh.isEmpty())
      spread(fresh);
    return;
  }
  const CrashNews own = Crashes.news(now);
  if (own.Suspects.size() > message.News.Suspects.size())
    sendTo(sender, PeerCrashNews{own, false});
}

} // namespace waxwing
