/**
 * @file change_history.cpp
 * A batch is split between changes of different revisions only, so that each
 * part ends with the state of one revision.
 */
#include "distribution/change_history.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Batches are split when they exceed this size; it keeps most datagrams small.
constexpr std::size_t PreferredBatchBytes = 8000;
/// Oldest batches are dropped when the history exceeds this size.
constexpr std::size_t MaxHistoryBytes = 1000000;
constexpr std::size_t BytesPerChange = 24; ///< encoding besides key and value

std::size_t estimateSize(const platform::StoreChange &change) {
  return BytesPerChange + change.Key.size() +
         (change.Value ? change.Value->size() : 0);
}

} // namespace

std::size_t estimateSize(const ChangeBatch &batch) {
  std::size_t size = 0;
  for (const platform::StoreChange &change : batch.Changes)
    size += estimateSize(change);
  return size;
}

void ChangeHistory::reset(std::uint64_t revision) {
  Batches.clear();
  Bytes = 0;
  Revision = revision;
}

std::vector<ChangeBatch> ChangeHistory::add(ChangeBatch batch) {
  if (batch.Base != Revision)
    reset(batch.Base);
  std::ranges::stable_sort(batch.Changes, {}, &platform::StoreChange::Revision);
  std::vector<ChangeBatch> parts;
  ChangeBatch part{batch.Base, batch.To, {}};
  std::size_t size = 0;
  for (platform::StoreChange &change : batch.Changes) {
    const std::size_t added = estimateSize(change);
    if (!part.Changes.empty() && size + added > PreferredBatchBytes &&
        change.Revision > part.Changes.back().Revision) {
      part.To = part.Changes.back().Revision;
      parts.push_back(std::exchange(part, {part.To, batch.To, {}}));
      size = 0;
    }
    size += added;
    part.Changes.push_back(std::move(change));
  }
  parts.push_back(std::move(part));
  for (const ChangeBatch &added : parts) {
    Batches.push_back(added);
    Bytes += estimateSize(added);
  }
  while (Bytes > MaxHistoryBytes && Batches.size() > 1) {
    Bytes -= estimateSize(Batches.front());
    Batches.pop_front();
  }
  Revision = batch.To;
  return parts;
}

std::optional<std::vector<ChangeBatch>>
ChangeHistory::since(std::uint64_t revision) const {
  const auto first =
      std::ranges::upper_bound(Batches, revision, {}, &ChangeBatch::To);
  if (first == Batches.end())
    return revision >= Revision
               ? std::optional<std::vector<ChangeBatch>>(std::in_place)
               : std::nullopt;
  const bool isHeld =
      first->Base <= revision &&
      std::all_of(first, Batches.end(), [](const ChangeBatch &batch) {
        return estimateSize(batch) <= MaxBatchBytes;
      });
  if (!isHeld)
    return std::nullopt;
  return std::vector<ChangeBatch>(first, Batches.end());
}

} // namespace waxwing
