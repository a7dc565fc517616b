/**
 * @file counting_store.h
 * Counts the calls of another PlatformStore.
 */
#ifndef WAXWING_STORE_COUNTING_STORE_H
#define WAXWING_STORE_COUNTING_STORE_H

#include "metrics/control_counters.h"
#include "store/platform_store_base.h"

namespace waxwing {

/// Passes each call on; both references outlive it.
class CountingStore : public PlatformStore {
public:
  CountingStore(PlatformStore &store, ControlCounters &counters)
      : Store(store), Counters(counters) {}

  void get(const std::string &key,
           std::function<void(StoreGetResult)> completion) override;
  void compareAndSwap(const std::string &key, Revision expected,
                      std::string value,
                      std::function<void(StorePutResult)> completion) override;
  void list(const std::string &prefix,
            std::function<void(StoreListResult)> completion) override;
  void watch(const std::string &prefix, Revision after, Duration wait,
             std::function<void(StoreListResult)> completion) override;

private:
  template <class Result>
  std::function<void(Result)>
  counted(std::function<void(Result)> completion) const;

  PlatformStore &Store;
  ControlCounters &Counters;
};

} // namespace waxwing

#endif
