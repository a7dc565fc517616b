/**
 * @file reader_plan.cpp
 * Small domains have no readers: there a lost reader would cost more than it
 * saves.
 */
#include "distribution/reader_plan.h"

#include "core/hash_func.h"

#include <algorithm>
#include <tuple>

namespace waxwing {
namespace {

/// Domains with fewer VMs have no readers.
constexpr std::size_t MinVmsForReaders = 4;
/// Domains with this many VMs have two readers at least; the loss of one leaves
/// the other one.
constexpr std::size_t MinVmsForTwoReaders = 8;
/// VMs for which one reader reads at most.
constexpr std::size_t MaxVmsPerReader = 32;

} // namespace

void ReaderPlan::update(const std::vector<ReaderCandidate> &vms) {
  std::map<DomainId, std::vector<ReaderCandidate>> byDomain;
  for (const ReaderCandidate &vm : vms)
    byDomain[vm.Vm.Domain].push_back(vm);
  Readers.clear();
  for (auto &[domain, candidates] : byDomain) {
    if (candidates.size() < MinVmsForReaders)
      continue;
    const std::size_t count = std::max<std::size_t>(
        candidates.size() < MinVmsForTwoReaders ? 1 : 2,
        (candidates.size() + MaxVmsPerReader - 1) / MaxVmsPerReader);
    std::erase_if(candidates,
                  [](const ReaderCandidate &vm) { return !vm.IsFresh; });
    std::ranges::sort(candidates, {}, [](const ReaderCandidate &vm) {
      return std::tuple(!vm.IsReader, -vm.Vm.CpuCores,
                        hashText(vm.Vm.Vm.Value, 0));
    });
    candidates.resize(std::min(count, candidates.size()));
    std::vector<VmId> &readers = Readers[domain];
    std::ranges::transform(candidates, std::back_inserter(readers),
                           [](const ReaderCandidate &vm) { return vm.Vm.Vm; });
    std::ranges::sort(readers);
  }
}

bool ReaderPlan::isReader(const VmId &vm) const {
  return std::ranges::any_of(Readers, [&](const auto &entry) {
    return std::ranges::binary_search(entry.second, vm);
  });
}

std::optional<VmId> ReaderPlan::readerFor(const VmId &vm,
                                          const DomainId &domain) const {
  const auto found = Readers.find(domain);
  if (found == Readers.end() || found->second.empty() || isReader(vm))
    return std::nullopt;
  return *std::ranges::max_element(found->second, {}, [&](const VmId &reader) {
    return hashText(reader.Value, hashText(vm.Value, 0));
  });
}

std::size_t ReaderPlan::size() const {
  std::size_t count = 0;
  for (const auto &[domain, readers] : Readers)
    count += readers.size();
  return count;
}

} // namespace waxwing
