/**
 * @file store_feed.h
 * A copy of the keys under one prefix in the platform's store.
 */
#ifndef WAXWING_NODE_STORE_FEED_H
#define WAXWING_NODE_STORE_FEED_H

#include "node/call_client.h"
#include "node/node_clock.h"
#include "node/store_health.h"

#include <map>

namespace waxwing {

/// What a feed follows.
struct FeedTerms {
  std::string Prefix;
  Duration GatherPause{}; ///< after changes, so that the next ones gather
};

/// Loads all keys once, then follows their changes.
class StoreFeed {
public:
  /// Receives each key's new value, or nullopt for its removal.
  using ChangeHandler = std::function<void(const platform::StoreChange &)>;

  StoreFeed(boost::asio::io_context &loop, CallClient &calls,
            StoreHealth &health, Endpoint store, FeedTerms terms);

  void start(ChangeHandler onChange, std::function<void()> onBatchEnd);
  /// Changes the pause behind changes.
  void setGatherPause(Duration pause) { Terms.GatherPause = pause; }
  /// Loads everything anew if a watch is waiting, which may be silent for good.
  void reloadIfWatching();

  /// @return true once every key was loaded
  bool isLoaded() const { return IsLoaded; }
  std::uint64_t revision() const { return Revision; }
  std::uint64_t callCount() const { return CallCount; }

private:
  void load(const std::string &after);
  void onPage(const CallResult &result);
  void finishLoad();
  void watch();
  void onWatch(const CallResult &result);
  void retry(const std::string &why);
  void applyChange(const platform::StoreChange &change);

  CallClient &Calls;
  StoreHealth &Health;
  Endpoint Store;
  FeedTerms Terms;
  ChangeHandler OnChange;
  std::function<void()> OnBatchEnd;
  DeadlineTimer NextTimer;
  std::map<std::string, std::uint64_t> Known;   ///< revisions by key
  std::map<std::string, std::uint64_t> Loading; ///< keys seen by this load
  std::uint64_t Revision = 0;     ///< changes up to it are applied
  std::uint64_t LoadRevision = 0; ///< of the load's first page
  std::uint64_t CallCount = 0;
  std::uint64_t CallNumber = 0; ///< answers of earlier calls are not heard
  bool IsLoaded = false;
  bool MustLoad = true; ///< the history does not reach back far enough
  bool IsCalling = false;
  int Failures = 0; ///< in a row
};

} // namespace waxwing

#endif
