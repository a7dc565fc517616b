/**
 * @file member_choice.cpp
 * Choice of ring successors, pseudo-random links and store watchers.
 */
#include "membership/member_choice_func.h"

#include "core/hash_func.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace waxwing {
namespace {

constexpr std::uint64_t RingSeed = 0x52494e47;
constexpr std::uint64_t WatchSeed = 0x57415443;
/// Number of ring successors that each process links to.
constexpr std::size_t RingSuccessorCount = 2;
/// Maximum number of members that are not chosen as store watchers because
/// their watch fails. More failures at once mean that the store is down.
constexpr std::size_t MaxSkippedWatchers = StoreWatcherCount;

std::uint64_t ringPosition(const VmId &vm) {
  return hashText(vm.Value, RingSeed);
}

/// Adds the members that follow @p self on the hash ring.
void addSuccessors(const VmId &self, std::span<const MemberEntry> others,
                   std::set<VmId> &chosen) {
  const std::uint64_t origin = ringPosition(self);
  std::vector<std::pair<std::uint64_t, const VmId *>> ring;
  ring.reserve(others.size());
  for (const MemberEntry &member : others)
    ring.emplace_back(ringPosition(member.Vm) - origin, &member.Vm);
  const auto count = std::min(RingSuccessorCount, ring.size());
  std::partial_sort(
      ring.begin(), ring.begin() + static_cast<std::ptrdiff_t>(count),
      ring.end(), [](const auto &a, const auto &b) {
        return std::tie(a.first, *a.second) < std::tie(b.first, *b.second);
      });
  for (std::size_t n = 0; n < count; ++n)
    chosen.insert(*ring[n].second);
}

/// A member and its position in one VM's pseudo-random order of link targets.
struct LinkCandidate {
  /// Number of members of the same failure domain that come earlier.
  std::size_t RankInDomain = 0;
  std::uint64_t Weight = 0;
  const MemberEntry *Member = nullptr;
};

/// Adds pseudo-random members until @p limit are chosen: first the member with
/// the highest weight of each failure domain, then the second of each, and so
/// on.
void addRandomLinks(const VmId &self, std::span<const MemberEntry> others,
                    std::size_t limit, std::set<VmId> &chosen) {
  const std::uint64_t seed = ringPosition(self);
  std::vector<LinkCandidate> order;
  order.reserve(others.size());
  for (const MemberEntry &member : others)
    order.push_back({0, hashText(member.Vm.Value, seed), &member});
  std::ranges::sort(order, [](const LinkCandidate &a, const LinkCandidate &b) {
    return std::tie(b.Weight, a.Member->Vm) < std::tie(a.Weight, b.Member->Vm);
  });
  std::map<DomainId, std::size_t> domainCounts;
  for (LinkCandidate &it : order)
    it.RankInDomain = domainCounts[it.Member->Domain]++;
  std::ranges::stable_sort(order, {}, &LinkCandidate::RankInDomain);
  for (const LinkCandidate &it : order) {
    if (chosen.size() >= limit)
      return;
    chosen.insert(it.Member->Vm);
  }
}

} // namespace

std::vector<VmId> chooseLinks(const VmId &self,
                              std::span<const MemberEntry> others,
                              const MembershipParameters &parameters) {
  std::set<VmId> chosen;
  if (others.size() < parameters.FullMeshVms) {
    for (const MemberEntry &member : others)
      chosen.insert(member.Vm);
  } else {
    addSuccessors(self, others, chosen);
    addRandomLinks(self, others, parameters.Links, chosen);
  }
  return {chosen.begin(), chosen.end()};
}

std::vector<VmId> chooseWatchers(std::span<const MemberEntry> live) {
  std::vector<const MemberEntry *> order;
  for (const MemberEntry &member : live)
    order.push_back(&member);
  std::ranges::sort(order, {}, [](const MemberEntry *it) {
    return std::pair(hashText(it->Vm.Value, WatchSeed), it->Vm);
  });
  std::size_t skipped = 0;
  std::erase_if(order, [&](const MemberEntry *it) {
    return it->IsStoreFailing && skipped++ < MaxSkippedWatchers;
  });
  std::vector<VmId> chosen;
  std::set<std::string> regions;
  std::set<DomainId> domains;
  while (chosen.size() < StoreWatcherCount && !order.empty()) {
    const auto it =
        std::ranges::min_element(order, {}, [&](const MemberEntry *member) {
          return std::pair(regions.contains(member->Region),
                           domains.contains(member->Domain));
        });
    chosen.push_back((*it)->Vm);
    regions.insert((*it)->Region);
    domains.insert((*it)->Domain);
    order.erase(it);
  }
  return chosen;
}

} // namespace waxwing
