/**
 * @file store_feed.h
 * Replica of the keys with one prefix in the platform's store.
 */
#ifndef WAXWING_NODE_STORE_FEED_H
#define WAXWING_NODE_STORE_FEED_H

#include "distribution/change_history.h"
#include "node/node_clock.h"
#include "node/store_client.h"
#include "node/store_health.h"

#include <map>

namespace waxwing {

/// Options of a StoreFeed.
struct StoreFeedOptions {
  std::string Prefix;
  /// Delay between a watch that returned changes and the next watch, so that
  /// one response carries several changes.
  Duration BatchDelay{};
};

/// How a change reached this VM.
enum class ChangePath : std::uint8_t {
  Load,   ///< own read of all keys
  Watch,  ///< own watch
  Reader, ///< another VM that reads the store for this one
};
inline constexpr std::size_t ChangePathCount = 3;

/// @return name of @p path in logs and metrics
std::string_view changePathName(ChangePath path);

/// Origin of the change that is being applied.
struct ChangeSource {
  ChangePath Path = ChangePath::Load;
  /// Time since the state was last known to be complete; the change is no
  /// older.
  Duration MaxAge{};
};

/// Loads all keys with a prefix, then watches their changes.
class StoreFeed {
public:
  /// Called with each key's new value, or nullopt if the key was removed.
  using ChangeHandler = std::function<void(const platform::StoreChange &)>;

  StoreFeed(boost::asio::io_context &loop, NodeStoreClient &store,
            StoreHealth &health, StoreFeedOptions options);

  /// @param onBatchEnd called after each group of changes
  void start(ChangeHandler onChange, std::function<void()> onBatchEnd);
  /// While a feed is relayed, another VM reads the store for it: it takes that
  /// VM's batches and starts no calls.
  void setRelayed(bool isRelayed);
  /// Applies changes that another VM read.
  /// @return false if changes before the batch are missing
  bool applyBatch(const ChangeBatch &batch);
  /// Records that another VM had no changes beyond the state at @p time.
  void noteCompleteAt(Time time) { CompleteAt = std::max(CompleteAt, time); }
  /// Called with the changes of each call to the store that succeeded.
  std::function<void(const ChangeBatch &)> OnBatchRead;
  /// Sets the delay between watches after a change.
  void setBatchDelay(Duration pause) { Options.BatchDelay = pause; }
  /// Continues a pending watch on a new connection, since its own may be
  /// silent.
  void restartWatch();
  /// Makes the next call at once, since the store serves this VM again. A
  /// pending watch may never return.
  void resume();
  /// Loads all keys of a restored store. Until then the state of the earlier
  /// epoch stays in force.
  void beginEpoch();

  /// @return true once all keys were loaded
  bool isLoaded() const { return IsLoaded; }
  /// @return true while the keys of a restored store are loaded for the first
  ///   time; they may be older than the state that was known before
  bool isLoadingEpoch() const { return epochOf(Revision) < Store.epoch(); }
  /// @return true if no call failed since the last one that succeeded, so that
  ///   the state is that of the store's last answer
  bool isCurrent() const { return IsLoaded && !NeedsReload && Failures == 0; }
  StoreRevision revision() const { return Revision; }
  /// @return revision of the newest change that was applied
  StoreRevision newestChange() const { return NewestChange; }
  /// @return time up to which the state has all changes that the store has
  ///   acknowledged, if a pending watch returns a change at once
  Time completeAt() const {
    return isWatching() ? std::max(CompleteAt, watchedUntil()) : CompleteAt;
  }
  /// @return true if nothing shows yet that the pending watch has reached the
  ///   store
  bool isWatchUnproven() const {
    return isWatching() && watchedUntil() < WatchBegunAt;
  }
  /// @return origin of the change that is being applied; valid within the
  ///   handlers of start()
  const ChangeSource &source() const { return Source; }
  /// @return true if a watch of this VM's own is pending
  bool isWatching() const {
    return IsCallPending && !NeedsReload && !IsRelayed;
  }
  /// @return when the last watch began
  Time watchBegunAt() const { return WatchBegunAt; }
  std::uint64_t callCount() const { return CallCount; }

private:
  /// A change that precedes a watch is returned within this time and two round
  /// trips.
  static constexpr Duration MinWatchDelivery = milliseconds(50);

  void load(const std::string &after);
  void onPage(const HttpCallResult &result);
  void finishLoad();
  void watch();
  void onWatch(const HttpCallResult &result);
  void retry(const HttpCallResult &result, StoreCallKind kind,
             const std::string &why);
  /// @return true if the change was not known
  bool applyChange(const platform::StoreChange &change);
  /// Schedules the next call, unless the feed is relayed.
  void scheduleCall(Time at);
  void beginChanges(ChangePath path);
  /// @return begin of the last call that the store answered after the present
  ///   watch had reached it; Time() if there is none
  Time watchedUntil() const {
    if (WatchSentAt == Time::max())
      return {};
    const Time reachedAt =
        WatchSentAt + std::max(2 * Health.lastRoundTrip(), MinWatchDelivery);
    return Health.lastAnsweredCallAt() >= reachedAt
               ? Health.lastAnsweredCallAt()
               : Time();
  }

  NodeStoreClient &Store;
  StoreHealth &Health;
  StoreFeedOptions Options;
  ChangeHandler OnChange;
  std::function<void()> OnBatchEnd;
  DeadlineTimer NextCallTimer;
  /// Store revision of the last known change of each existing key.
  std::map<std::string, StoreRevision> KnownRevisions;
  /// Store revision of each key that the current load has read.
  std::map<std::string, StoreRevision> LoadedRevisions;
  /// Changes applied by the current load.
  std::vector<platform::StoreChange> LoadedChanges;
  /// Store revision up to which all changes are applied.
  StoreRevision Revision = 0;
  StoreRevision NewestChange = 0; ///< as returned by newestChange()
  StoreRevision LoadRevision = 0; ///< store revision of the load's first page
  Time CompleteAt; ///< as returned by completeAt() while no watch is pending
  Time LoadBegunAt;
  Time WatchBegunAt;
  Time WatchSentAt = Time::max(); ///< not before its connection was established
  ChangeSource Source;            ///< as returned by source()
  std::uint64_t CallCount = 0;
  std::uint64_t CurrentCallId = 0; ///< responses to earlier calls are ignored
  bool IsLoaded = false;
  bool NeedsReload = true; ///< the next call loads all keys
  /// The last watch failed, and the store's history may no longer reach back to
  /// Revision.
  bool IsHistoryDoubtful = false;
  bool IsCallPending = false;
  bool IsRelayed = false; ///< another VM reads the store for this one
  int Failures = 0;       ///< consecutive failed calls
};

} // namespace waxwing

#endif
