/**
 * @file store_feed.cpp
 * A watch returns at the first change. A delay before the next watch batches
 * further changes, which limits the load of all VMs on the store.
 */
#include "node/store_feed.h"

#include "core/random_func.h"
#include "node/node_log.h"
#include "table/change_stages.h"

#include <algorithm>
#include <array>

namespace waxwing {
namespace {

/// Time after which the store ends a watch without changes; shorter than the
/// history of the store, which the next watch continues. A failure of the store
/// is detected by the probes of Cluster, not by the watch.
constexpr Duration WatchWait = seconds(15);
/// The same for a watch that continues one that failed: a store whose history
/// begins later may say so only at the end of the watch.
constexpr Duration ContinuedWatchWait = milliseconds(300);
/// Additional time for the response of a slow store.
constexpr Duration WatchResponseMargin = milliseconds(1500);
constexpr Duration LoadTimeout = milliseconds(2000);
/// Delay of the first watch after a load. A VM that has just started usually
/// gets a reader meanwhile, and changes need not be acted on sooner.
constexpr Duration DelayAfterLoad = milliseconds(600);
/// Limits on the doublings of InitialRetryDelay. A store that answers, but does
/// not serve, is called less often than one that cannot be reached.
constexpr int MaxRetryDoublings = 1;
constexpr int MaxRefusedRetryDoublings = 2;
/// Names of the paths, by value.
constexpr std::array<std::string_view, ChangePathCount> ChangePathNames{
    "load", "watch", "reader"};

Time randomResumeTime() {
  return bootNow() + Duration(static_cast<Duration::rep>(
                         randomNumber() % MaxResumeDelay.count()));
}

} // namespace

std::string_view changePathName(ChangePath path) {
  return ChangePathNames[static_cast<std::size_t>(path)];
}

StoreFeed::StoreFeed(boost::asio::io_context &loop, NodeStoreClient &store,
                     StoreHealth &health, StoreFeedOptions options)
    : Store(store), Health(health), Options(std::move(options)),
      NextCallTimer(loop, [this] {
        if (NeedsReload)
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

void StoreFeed::setRelayed(bool isRelayed) {
  if (IsRelayed == isRelayed)
    return;
  IsRelayed = isRelayed;
  if (IsRelayed) {
    // The relaying VM has shown that this state is complete.
    NeedsReload = false;
    NextCallTimer.cancel();
  } else if (!IsCallPending) {
    NextCallTimer.scheduleBy(randomResumeTime());
  }
}

void StoreFeed::beginEpoch() {
  ++CurrentCallId;
  IsCallPending = false;
  NeedsReload = true;
  NextCallTimer.scheduleBy(randomResumeTime());
}

bool StoreFeed::applyBatch(const ChangeBatch &batch) {
  // A batch from one epoch to the next lacks the removals of keys that its
  // sender did not know.
  if (!IsLoaded || batch.Base > Revision ||
      epochOf(batch.To) != epochOf(Revision))
    return false;
  if (batch.To <= Revision)
    return true;
  beginChanges(ChangePath::Reader);
  for (const platform::StoreChange &change : batch.Changes)
    applyChange(change);
  Revision = batch.To;
  if (!batch.Changes.empty())
    OnBatchEnd();
  return true;
}

void StoreFeed::beginChanges(ChangePath path) {
  Source = {path, bootNow() - completeAt()};
}

void StoreFeed::scheduleCall(Time at) {
  if (!IsRelayed)
    NextCallTimer.scheduleBy(at);
}

void StoreFeed::resume() {
  if (isWatching())
    restartWatch();
  else if (!IsCallPending && Failures > 0)
    scheduleCall(bootNow());
}

void StoreFeed::restartWatch() {
  if (!isWatching())
    return;
  ++CurrentCallId;
  IsCallPending = false;
  IsHistoryDoubtful = true;
  Store.closeIdle();
  NextCallTimer.scheduleBy(bootNow());
}

void StoreFeed::retry(const HttpCallResult &result, StoreCallKind kind,
                      const std::string &why) {
  const Time now = bootNow();
  ++Failures;
  Health.recordFailure(result, kind, why, now);
  logLine(LogPriority::Failure, now, "store_call_failed",
          "prefix={} why={} failures={}", Options.Prefix, sanitizeForLog(why),
          Failures);
  const int maxDoublings = result.Loss == CallLoss::None
                               ? MaxRefusedRetryDoublings
                               : MaxRetryDoublings;
  scheduleCall(now +
               InitialRetryDelay * (1 << std::min(Failures - 1, maxDoublings)));
}

void StoreFeed::load(const std::string &after) {
  if (IsCallPending)
    return;
  IsCallPending = true;
  ++CallCount;
  if (after.empty()) {
    // Changes that an unfinished load has applied still have to be passed on.
    LoadedRevisions.clear();
    LoadRevision = 0;
    LoadBegunAt = bootNow();
  }
  Store.call(platform::buildListRequest(Options.Prefix, after),
             bootNow() + LoadTimeout,
             [this, callId = ++CurrentCallId](const HttpCallResult &result) {
               if (callId != CurrentCallId)
                 return;
               IsCallPending = false;
               onPage(result);
             });
}

void StoreFeed::onPage(const HttpCallResult &result) {
  if (result.Status != platform::StatusOk) {
    retry(result, StoreCallKind::Prompt,
          result.Status == 0 ? result.Error
                             : fmt::format("load: status {}", result.Status));
    return;
  }
  const auto page = platform::decodeStorePage(result.Body, Store.epoch());
  if (!page.ok()) {
    retry(result, StoreCallKind::Prompt, std::string(page.status().message()));
    return;
  }
  const bool hasOtherPrefix =
      std::ranges::any_of(page->Items, [&](const platform::StoreItem &item) {
        return !item.Key.starts_with(Options.Prefix);
      });
  if (hasOtherPrefix) {
    retry(result, StoreCallKind::Prompt,
          "load: response has keys outside the prefix");
    return;
  }
  Failures = 0;
  beginChanges(ChangePath::Load);
  Health.recordAnswer(result.BegunAt, bootNow());
  if (LoadRevision == 0)
    LoadRevision = page->StoreAt;
  for (const platform::StoreItem &item : page->Items) {
    LoadedRevisions[item.Key] = item.Revision;
    platform::StoreChange change{item.Key, item.Value, item.Revision};
    if (applyChange(change) && IsLoaded)
      LoadedChanges.push_back(std::move(change));
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
  for (const auto &[key, revision] : KnownRevisions)
    if (!LoadedRevisions.contains(key) && revision <= LoadRevision)
      gone.push_back(key);
  // The removals happened at unknown earlier revisions.
  const StoreRevision newest = NewestChange;
  for (const std::string &key : gone) {
    platform::StoreChange change{key, std::nullopt, LoadRevision};
    if (applyChange(change))
      LoadedChanges.push_back(std::move(change));
  }
  NewestChange = newest;
  const StoreRevision before = Revision;
  Revision = std::max(Revision, LoadRevision);
  noteCompleteAt(LoadBegunAt);
  NeedsReload = false;
  IsHistoryDoubtful = false;
  IsLoaded = true;
  logLine(LogPriority::StateChange, bootNow(), "store_loaded",
          "prefix={} keys={} epoch={} revision={}", Options.Prefix,
          KnownRevisions.size(), epochOf(Revision), counterOf(Revision));
  if (OnBatchRead)
    OnBatchRead({before, Revision, std::exchange(LoadedChanges, {})});
  OnBatchEnd();
  scheduleCall(bootNow() + std::max(Options.BatchDelay, DelayAfterLoad));
}

bool StoreFeed::applyChange(const platform::StoreChange &change) {
  const auto known = KnownRevisions.find(change.Key);
  if (known != KnownRevisions.end() && known->second >= change.Revision)
    return false; // already applied
  // The state at Revision is complete, so an unknown key with an older change
  // was removed since.
  if (known == KnownRevisions.end() &&
      (!change.Value || change.Revision <= Revision))
    return false;
  if (change.Value)
    KnownRevisions[change.Key] = change.Revision;
  else
    KnownRevisions.erase(known);
  NewestChange = std::max(NewestChange, change.Revision);
  OnChange(change);
  return true;
}

void StoreFeed::watch() {
  if (IsCallPending)
    return;
  IsCallPending = true;
  WatchBegunAt = bootNow();
  WatchSentAt = Time::max();
  ++CallCount;
  const std::uint64_t callId = ++CurrentCallId;
  const Duration wait = IsHistoryDoubtful ? ContinuedWatchWait : WatchWait;
  Store.call(
      platform::buildWatchRequest(Options.Prefix, Revision, wait),
      bootNow() + wait + WatchResponseMargin,
      [this, callId](const HttpCallResult &result) {
        if (callId != CurrentCallId)
          return;
        IsCallPending = false;
        onWatch(result);
      },
      StoreCallKind::Waiting,
      [this, callId] {
        if (callId == CurrentCallId)
          WatchSentAt = bootNow();
      });
}

void StoreFeed::onWatch(const HttpCallResult &result) {
  if (result.Status == platform::StatusHistoryCompacted) {
    logLine(LogPriority::StateChange, bootNow(), "store_history_gone",
            "revision={}", counterOf(Revision));
    NeedsReload = true;
    load("");
    return;
  }
  if (result.Status != platform::StatusOk) {
    // The next watch continues from the same revision.
    IsHistoryDoubtful = true;
    retry(result, StoreCallKind::Waiting,
          result.Status == 0 ? result.Error
                             : fmt::format("watch: status {}", result.Status));
    return;
  }
  const auto changes = platform::decodeStoreChanges(result.Body, Store.epoch());
  if (!changes.ok()) {
    // A malformed change must not be skipped silently; all keys are loaded
    // instead.
    NeedsReload = true;
    retry(result, StoreCallKind::Waiting,
          std::string(changes.status().message()));
    return;
  }
  Failures = 0;
  IsHistoryDoubtful = false;
  beginChanges(ChangePath::Watch);
  // The store may have answered other calls while this one waited for a change.
  noteCompleteAt(std::max(result.BegunAt, watchedUntil()));
  Health.recordAnswer(result.BegunAt, bootNow(), StoreCallKind::Waiting);
  ChangeBatch batch{Revision, std::max(Revision, changes->StoreAt), {}};
  std::ranges::copy_if(changes->Changes, std::back_inserter(batch.Changes),
                       [this](const platform::StoreChange &change) {
                         return applyChange(change);
                       });
  Revision = batch.To;
  const bool isChanged = !changes->Changes.empty();
  if (OnBatchRead)
    OnBatchRead(batch);
  if (isChanged)
    OnBatchEnd();
  scheduleCall(bootNow() + (isChanged ? Options.BatchDelay : Duration()));
}

} // namespace waxwing
