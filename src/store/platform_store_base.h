/**
 * @file platform_store_base.h
 * The platform's key-value service as the system needs it. The users' bench
 * brings its own protocol; only an adapter of this interface changes then.
 */
#ifndef WAXWING_STORE_PLATFORM_STORE_BASE_H
#define WAXWING_STORE_PLATFORM_STORE_BASE_H

#include "core/id_type.h"
#include "core/time_type.h"

#include <functional>
#include <string>
#include <vector>

namespace waxwing {

/// How a call to the store ended.
enum class StoreStatus : std::uint8_t {
  Done,       ///< carried out
  Conflict,   ///< compare-and-swap refused; nothing was written
  Unanswered, ///< no answer; a write may have taken effect
};

/// A key with its value and revision.
struct StoreEntry {
  std::string Key;
  Revision Rev; ///< 0: the key is absent
  std::string Value;
};

struct StoreGetResult {
  StoreStatus Status = StoreStatus::Unanswered;
  StoreEntry Entry;
};

struct StorePutResult {
  StoreStatus Status = StoreStatus::Unanswered;
  Revision Rev; ///< after the write when Done, current when Conflict
};

struct StoreListResult {
  StoreStatus Status = StoreStatus::Unanswered;
  Revision AsOfRevision; ///< store revision that the list reflects
  std::vector<StoreEntry> Entries;
};

/// Calls return at once; each completion runs once, on the store's thread.
class PlatformStore {
public:
  virtual ~PlatformStore() = default;

  /// Linearizable read of one key.
  virtual void get(const std::string &key,
                   std::function<void(StoreGetResult)> completion) = 0;

  /// Writes when the key's revision is @p expected (0: absent).
  virtual void
  compareAndSwap(const std::string &key, Revision expected, std::string value,
                 std::function<void(StorePutResult)> completion) = 0;

  /// Reads all keys that begin with @p prefix.
  virtual void list(const std::string &prefix,
                    std::function<void(StoreListResult)> completion) = 0;

  /// Waits for changes under @p prefix after revision @p after; an empty
  /// answer ends a wait without change.
  virtual void watch(const std::string &prefix, Revision after, Duration wait,
                     std::function<void(StoreListResult)> completion) = 0;
};

} // namespace waxwing

#endif
