/**
 * @file platform_store_base.h
 * Interface to the platform's key-value store. A platform with another store
 * protocol, such as the users' test bench, needs only another implementation of
 * this interface.
 *
 * The store may come back from an older copy. What was written since the copy
 * is gone then, and revisions are counted again from it. All revisions of this
 * interface are laid out like a StoreRevision, so that those given after a
 * restoration are greater than all earlier ones.
 */
#ifndef WAXWING_STORE_PLATFORM_STORE_BASE_H
#define WAXWING_STORE_PLATFORM_STORE_BASE_H

#include "core/id_type.h"
#include "core/store_revision_type.h"
#include "core/time_type.h"

#include <functional>
#include <string>
#include <vector>

namespace waxwing {

/// Result of a call to the store.
enum class StoreStatus : std::uint8_t {
  Done,       ///< executed
  Conflict,   ///< compare-and-swap failed; nothing was written
  Unanswered, ///< no response; a write may have been executed
};

/// A key with its value and revision.
struct StoreEntry {
  std::string Key;
  Revision Rev; ///< 0 if the key does not exist
  std::string Value;
};

struct StoreGetResult {
  StoreStatus Status = StoreStatus::Unanswered;
  StoreEntry Entry;
  StoreEpoch Epoch = 0; ///< the store's epoch at the response
};

struct StorePutResult {
  StoreStatus Status = StoreStatus::Unanswered;
  /// New revision if Done. If Conflict the current one, or 0 if the expected
  /// one is of an earlier epoch.
  Revision Rev;
};

struct StoreListResult {
  StoreStatus Status = StoreStatus::Unanswered;
  Revision AsOfRevision; ///< store revision at which the list was read
  std::vector<StoreEntry> Entries;
  /// The store does not have the revision to watch from, or has been restored
  /// since: changes may be missing until all keys are listed again.
  bool MustList = false;
};

/// Asynchronous key-value store. Each completion is called exactly once, on
/// the store's thread.
class PlatformStore {
public:
  virtual ~PlatformStore() = default;

  /// Linearizable read of one key.
  virtual void get(const std::string &key,
                   std::function<void(StoreGetResult)> completion) = 0;

  /// Writes @p value if the revision of @p key is @p expected (0: the key does
  /// not exist). Unanswered if the store was restored meanwhile: the key may
  /// have had another value under an equal counter.
  virtual void
  compareAndSwap(const std::string &key, Revision expected, std::string value,
                 std::function<void(StorePutResult)> completion) = 0;

  /// Reads all keys that begin with @p prefix.
  virtual void list(const std::string &prefix,
                    std::function<void(StoreListResult)> completion) = 0;

  /// Waits for changes of keys with @p prefix after revision @p after. The
  /// result has no entries if nothing changed within @p wait.
  virtual void watch(const std::string &prefix, Revision after, Duration wait,
                     std::function<void(StoreListResult)> completion) = 0;
};

} // namespace waxwing

#endif
