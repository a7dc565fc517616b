/**
 * @file store_feed.cpp
 * One watch over all keys: calls are priced, so one that groups changes of
 * every kind is cheaper than one for each kind.
 */
#include "node/store_feed.h"

#include "node/node_log.h"

#include <algorithm>

namespace waxwing {
namespace {

/// The store answers a watch without changes after this long.
constexpr Duration WatchWait = seconds(4);
/// Answers may take this much longer when the store is slow.
constexpr Duration AnswerSlack = milliseconds(1200);
constexpr Duration LoadTimeout = milliseconds(2000);
/// Pause before the next watch, in which changes gather.
constexpr Duration GatherPause = milliseconds(120);
/// Pause after changes by this system itself, which others act upon at once.
constexpr Duration OwnGatherPause = milliseconds(5);
/// Pause after a failed call, doubled up to the longest.
constexpr Duration FirstRetry = milliseconds(100);
constexpr int MaxRetryDoublings = 3;

} // namespace

StoreFeed::StoreFeed(boost::asio::io_context &loop, CallClient &calls,
                     Endpoint store, std::string urgentPrefix)
    : Calls(calls), Store(std::move(store)),
      UrgentPrefix(std::move(urgentPrefix)), NextTimer(loop, [this] {
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

void StoreFeed::hurry() {
  if (!IsCalling && !MustLoad)
    NextTimer.setBy(bootNow());
}

void StoreFeed::noteContact(bool isAnswered) {
  const Time now = bootNow();
  if (isAnswered) {
    AnsweredAt = now;
    Failures = 0;
    if (IsTroubled) {
      IsTroubled = false;
      TroubleEndedAt = now;
      logLine(LineWeight::State, now, "store_regained", "revision={}",
              Revision);
    }
    return;
  }
  if (!IsTroubled) {
    IsTroubled = true;
    logLine(LineWeight::State, now, "store_lost",
            "revision={} last_answer_age_ms={}", Revision,
            std::chrono::duration_cast<milliseconds>(now - AnsweredAt).count());
  }
}

void StoreFeed::retry(const std::string &why) {
  const Time now = bootNow();
  ++Failures;
  noteContact(false);
  logLine(LineWeight::Notable, now, "store_call_failed", "why={} failures={}",
          logSafe(why), Failures);
  NextTimer.setBy(now +
                  FirstRetry * (1 << std::min(Failures, MaxRetryDoublings)));
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
  Calls.call(Store, platform::rangeCall("", after), "", bootNow() + LoadTimeout,
             [this](const CallResult &result) {
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
  noteContact(true);
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

/// Keys that the load did not show were removed meanwhile.
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
  logLine(LineWeight::State, bootNow(), "store_loaded", "keys={} revision={}",
          Known.size(), Revision);
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
  Calls.call(Store, platform::watchCall("", Revision, WatchWait), "",
             bootNow() + WatchWait + AnswerSlack,
             [this](const CallResult &result) {
               IsCalling = false;
               onWatch(result);
             });
}

void StoreFeed::onWatch(const CallResult &result) {
  if (result.Status == platform::StatusHistoryGone) {
    logLine(LineWeight::State, bootNow(), "store_history_gone", "revision={}",
            Revision);
    MustLoad = true;
    load("");
    return;
  }
  if (result.Status != platform::StatusOk) {
    // A watch that was cut may have missed changes that its history has lost;
    // a load shows the present state in any case.
    MustLoad = true;
    retry(result.Status == 0 ? result.Error
                             : fmt::format("watch: status {}", result.Status));
    return;
  }
  const auto changes = platform::decodeChanges(result.Body);
  if (!changes.ok()) {
    // A change that cannot be read must not be skipped unseen: load instead.
    MustLoad = true;
    retry(std::string(changes.status().message()));
    return;
  }
  noteContact(true);
  Duration pause = changes->Changes.empty() ? Duration() : GatherPause;
  for (const platform::StoreChange &change : changes->Changes)
    applyChange(change);
  if (std::ranges::any_of(changes->Changes, [&](const auto &change) {
        return change.Key.starts_with(UrgentPrefix);
      }))
    pause = OwnGatherPause;
  Revision = std::max(Revision, changes->StoreRevision);
  if (!changes->Changes.empty())
    OnBatchEnd();
  NextTimer.setBy(bootNow() + pause);
}

} // namespace waxwing
