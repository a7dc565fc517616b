/**
 * @file http_store.h
 * PlatformStore client for the HTTP protocol of the stand-in store.
 */
#ifndef WAXWING_STORE_HTTP_STORE_H
#define WAXWING_STORE_HTTP_STORE_H

#include "net/http_client.h"
#include "store/platform_store_base.h"

#include <optional>

namespace waxwing {

/// Client of a store that is reached over HTTP. Must be used on the thread of
/// its IoThread only.
class HttpStore : public PlatformStore {
public:
  /// @param timeout a call without a response after this time ends as
  ///   Unanswered; the wait of a watch is added to it
  HttpStore(IoThread &io, Endpoint store, Duration timeout);

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
  void fetchList(std::string target, Revision after, Duration timeout,
                 std::function<void(StoreListResult)> completion);
  bool acceptEpoch(const HttpOutcome &outcome);
  bool isOutdated(Revision revision) const {
    return revision != Revision() && Epoch && epochOf(revision.Value) < *Epoch;
  }

  IoThread &Io;
  HttpClient Client;
  Endpoint Store;
  Duration Timeout;
  /// Newest epoch stated by the store; never decreases.
  std::optional<StoreEpoch> Epoch;
};

} // namespace waxwing

#endif
