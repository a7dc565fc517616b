/**
 * @file counting_store.cpp
 * Counts calls to the store and their failures.
 */
#include "store/counting_store.h"

namespace waxwing {

template <class Result>
std::function<void(Result)>
CountingStore::countFailures(std::function<void(Result)> completion) const {
  return [&counters = Counters,
          completion = std::move(completion)](Result result) {
    if (result.Status == StoreStatus::Conflict)
      counters.add(ControlCounter::StoreConflicts);
    if (result.Status == StoreStatus::Unanswered)
      counters.add(ControlCounter::StoreUnanswered);
    completion(std::move(result));
  };
}

void CountingStore::get(const std::string &key,
                        std::function<void(StoreGetResult)> completion) {
  Counters.add(ControlCounter::StoreReads);
  Store.get(key, countFailures(std::move(completion)));
}

void CountingStore::compareAndSwap(
    const std::string &key, Revision expected, std::string value,
    std::function<void(StorePutResult)> completion) {
  Counters.add(ControlCounter::StoreWrites);
  Store.compareAndSwap(key, expected, std::move(value),
                       countFailures(std::move(completion)));
}

void CountingStore::list(const std::string &prefix,
                         std::function<void(StoreListResult)> completion) {
  Counters.add(ControlCounter::StoreReads);
  Store.list(prefix, countFailures(std::move(completion)));
}

void CountingStore::watch(const std::string &prefix, Revision after,
                          Duration wait,
                          std::function<void(StoreListResult)> completion) {
  Counters.add(ControlCounter::StoreWatches);
  Store.watch(prefix, after, wait, countFailures(std::move(completion)));
}

} // namespace waxwing
