/**
 * @file store_feed.h
 * A copy of the keys that this VM follows in the platform's store.
 */
#ifndef WAXWING_NODE_STORE_FEED_H
#define WAXWING_NODE_STORE_FEED_H

#include "node/call_client.h"
#include "node/node_clock.h"

#include <map>

namespace waxwing {

/// Loads all keys once, then follows their changes.
class StoreFeed {
public:
  /// Receives each key's new value, or nullopt for its removal; removals are
  /// sure only while the store has been reached without trouble.
  using ChangeHandler = std::function<void(const platform::StoreChange &)>;

  /// @param urgentPrefix changes of keys that begin so are not gathered
  StoreFeed(boost::asio::io_context &loop, CallClient &calls, Endpoint store,
            std::string urgentPrefix);

  void start(ChangeHandler onChange, std::function<void()> onBatchEnd);
  /// Asks for changes now rather than after the pause that groups them.
  void hurry();

  /// @return true once every key was loaded
  bool isLoaded() const { return IsLoaded; }
  /// When the store last answered a read of this feed.
  Time answeredAt() const { return AnsweredAt; }
  /// End of the last time in which the store did not answer this VM.
  Time troubleEndedAt() const { return TroubleEndedAt; }
  bool isTroubled() const { return IsTroubled; }
  std::uint64_t revision() const { return Revision; }
  std::uint64_t callCount() const { return CallCount; }
  /// A call outside the feed failed or succeeded.
  void noteContact(bool isAnswered);

private:
  void load(const std::string &after);
  void onPage(const CallResult &result);
  void finishLoad();
  void watch();
  void onWatch(const CallResult &result);
  void retry(const std::string &why);
  void applyChange(const platform::StoreChange &change);

  CallClient &Calls;
  Endpoint Store;
  std::string UrgentPrefix;
  ChangeHandler OnChange;
  std::function<void()> OnBatchEnd;
  DueTimer NextTimer;
  std::map<std::string, std::uint64_t> Known;   ///< revisions by key
  std::map<std::string, std::uint64_t> Loading; ///< keys seen by this load
  std::uint64_t Revision = 0;     ///< changes up to it are applied
  std::uint64_t LoadRevision = 0; ///< of the load's first page
  std::uint64_t CallCount = 0;
  bool IsLoaded = false;
  bool MustLoad = true; ///< the history does not reach back far enough
  bool IsCalling = false;
  bool IsTroubled = false;
  int Failures = 0; ///< in a row
  Time AnsweredAt;
  Time TroubleEndedAt;
};

} // namespace waxwing

#endif
