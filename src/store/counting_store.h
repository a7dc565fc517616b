/**
 * @file counting_store.h
 * PlatformStore decorator that counts calls, conflicts and missing responses.
 */
#ifndef WAXWING_STORE_COUNTING_STORE_H
#define WAXWING_STORE_COUNTING_STORE_H

#include "metrics/control_counters.h"
#include "store/platform_store_base.h"

namespace waxwing {

/// Forwards each call to another store and counts calls and failures. The store
/// and the counters must outlive this object.
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
  /// Wraps @p completion so that it also counts failed results.
  template <class Result>
  std::function<void(Result)>
  countFailures(std::function<void(Result)> completion) const;

  PlatformStore &Store;
  ControlCounters &Counters;
};

} // namespace waxwing

#endif
