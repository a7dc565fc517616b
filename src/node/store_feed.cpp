/**
 * @file store_feed.cpp
 * A watch returns at the first change. A delay before the next watch batches
 * further changes, which limits the load of all VMs on the store.
 */
#include "node/store_feed.h"

#include "node/node_log.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Time after which the store ends a watch without changes. A failure of the
/// store is detected by the probes of Cluster, not by the watch.
constexpr Duration WatchWait = seconds(25);
/// Additional time for the response of a slow store.
constexpr Duration AnswerSlack = milliseconds(1500);
constexpr Duration LoadTimeout = milliseconds(2000);
/// Delay after a failed call; doubled up to MaxRetryDoublings times.
constexpr Duration FirstRetry = milliseconds(100);
constexpr int MaxRetryDoublings = 3;

} // namespace

StoreFeed::StoreFeed(boost::asio::io_context &loop, CallClient &calls,
                     StoreHealth &health, Endpoint store, FeedTerms terms)
    : Calls(calls), Health(health), Store(std::move(store)),
      Terms(std::move(terms)), NextTimer(loop, [this] {
        if (MustLoad)
          load("");
        else
          watch();
      }) {}

void StoreFeed::start(ChangeHandler onChange,
                      std::function<void()> onBatchEnd) {
  OnChange = std::move(onChange);
  OnBatchEnd = std::move(onBatchEnd);
  load("");
}

void StoreFeed::reloadIfWatching() {
  if (!IsCalling || MustLoad)
    return;
  ++CallNumber;
  IsCalling = false;
  MustLoad = true;
  NextTimer.scheduleBy(bootNow());
}

void StoreFeed::retry(const std::string &why) {
  const Time now = bootNow();
  ++Failures;
  Health.note(false, why, now);
  logLine(LineWeight::Notable, now, "store_call_failed",
          "prefix={} why={} failures={}", Terms.Prefix, logSafe(why), Failures);
  NextTimer.scheduleBy(now + FirstRetry *
                                 (1 << std::min(Failures, MaxRetryDoublings)));
}

void StoreFeed::load(const std::string &after) {
  if (IsCalling)
    return;
  IsCalling = true;
  ++CallCount;
  if (after.empty()) {
    Loading.clear();
    LoadRevision = 0;
  }
  Calls.call(Store, platform::listCall(Terms.Prefix, after), "",
             bootNow() + LoadTimeout,
             [this, number = ++CallNumber](const CallResult &result) {
               if (number != CallNumber)
                 return;
               IsCalling = false;
               onPage(result);
             });
}

void StoreFeed::onPage(const CallResult &result) {
  if (result.Status != platform::StatusOk) {
    retry(result.Status == 0 ? result.Error
                             : fmt::format("load: status {}", result.Status));
    return;
  }
  const auto page = platform::decodePage(result.Body);
  if (!page.ok()) {
    retry(std::string(page.status().message()));
    return;
  }
  const bool isForeign =
      std::ranges::any_of(page->Items, [&](const platform::StoreItem &item) {
        return !item.Key.starts_with(Terms.Prefix);
      });
  if (isForeign) {
    retry("load: response has keys outside the prefix");
    return;
  }
  Failures = 0;
  Health.note(true, "", bootNow());
  if (LoadRevision == 0)
    LoadRevision = page->StoreRevision;
  for (const platform::StoreItem &item : page->Items) {
    Loading[item.Key] = item.Revision;
    applyChange({item.Key, item.Value, item.Revision});
  }
  if (page->HasMore && !page->Items.empty()) {
    load(page->Items.back().Key);
    return;
  }
  finishLoad();
}

/// Removes known keys that are missing in the loaded state.
void StoreFeed::finishLoad() {
  std::vector<std::string> gone;
  for (const auto &[key, revision] : Known)
    if (!Loading.contains(key) && revision <= LoadRevision)
      gone.push_back(key);
  for (const std::string &key : gone)
    applyChange({key, std::nullopt, LoadRevision});
  Revision = LoadRevision;
  MustLoad = false;
  IsLoaded = true;
  logLine(LineWeight::State, bootNow(), "store_loaded",
          "prefix={} keys={} revision={}", Terms.Prefix, Known.size(),
          Revision);
  OnBatchEnd();
  watch();
}

void StoreFeed::applyChange(const platform::StoreChange &change) {
  const auto known = Known.find(change.Key);
  if (known != Known.end() && known->second >= change.Revision)
    return; // already applied
  if (change.Value)
    Known[change.Key] = change.Revision;
  else if (known == Known.end())
    return;
  else
    Known.erase(known);
  OnChange(change);
}

void StoreFeed::watch() {
  if (IsCalling)
    return;
  IsCalling = true;
  ++CallCount;
  Calls.call(Store, platform::watchCall(Terms.Prefix, Revision, WatchWait), "",
             bootNow() + WatchWait + AnswerSlack,
             [this, number = ++CallNumber](const CallResult &result) {
               if (number != CallNumber)
                 return;
               IsCalling = false;
               onWatch(result);
             });
}

void StoreFeed::onWatch(const CallResult &result) {
  if (result.Status == platform::StatusHistoryCompacted) {
    logLine(LineWeight::State, bootNow(), "store_history_gone", "revision={}",
            Revision);
    MustLoad = true;
    load("");
    return;
  }
  if (result.Status != platform::StatusOk) {
    // After a failed watch, the store's history may no longer contain all
    // missed changes; a full load returns the current state in any case.
    MustLoad = true;
    retry(result.Status == 0 ? result.Error
                             : fmt::format("watch: status {}", result.Status));
    return;
  }
  const auto changes = platform::decodeChanges(result.Body);
  if (!changes.ok()) {
    // A malformed change must not be skipped silently; load everything instead.
    MustLoad = true;
    retry(std::string(changes.status().message()));
    return;
  }
  Failures = 0;
  Health.note(true, "", bootNow());
  for (const platform::StoreChange &change : changes->Changes)
    applyChange(change);
  Revision = std::max(Revision, changes->StoreRevision);
  if (!changes->Changes.empty())
    OnBatchEnd();
  NextTimer.scheduleBy(
      bootNow() + (changes->Changes.empty() ? Duration() : Terms.GatherPause));
}

} // namespace waxwing
